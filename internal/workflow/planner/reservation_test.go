package planner_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
)

// restartTimeout is how soon a lasting task runs again that was lost with its worker, if room
// for it has come meanwhile: the rest of its lease, its drift, and some turns.
const restartTimeout = 8 * cottonlanding.Second

// crowdedWorld is a cell of four workers, each with a lasting task that takes three quarters of it.
func crowdedWorld(t require.TestingT) *world { return crowdedWorldOf(t, "Urgent") }

// crowdedWorldOf is dueWorld with tasks of a queue.
func crowdedWorldOf(t require.TestingT, queue cottonlanding.QueueName) *world {
	w := newSpreadWorld(t)
	w.play(cottonlanding.Second)
	w.submit("lasting", queue, lasting(4, 1, 6000))
	w.play(cottonlanding.Second)
	require.Equal(t, 4, w.runner.Lasting())
	return w
}

// crash ends a worker without a word, and lets its owner notice.
func (w *world) crash(number int) {
	w.runner.Crash(w.workers[number].ID)
	w.play(4 * turnSpan)
}

// runsAll reports whether the first tasks of a workflow's first step run, up to a number of them.
func (w *world) runsAll(id cottonlanding.WorkflowID, tasks int) bool {
	for index := range tasks {
		if !w.runs(id, index) {
			return false
		}
	}
	return true
}

// runs reports whether a task of a workflow's first step runs.
func (w *world) runs(id cottonlanding.WorkflowID, index int) bool {
	return w.runner.Runs(cottonlanding.TaskRef{Workflow: id, Index: index})
}

// TestNewTasksLeaveReservedRoom plays a worker that crashes and is back under another id before
// its lease has run out. Its room goes to the lasting task that is lost with it, not to one that
// comes meanwhile and would hold it for good.
func TestNewTasksLeaveReservedRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := crowdedWorld(t)
		w.crash(rapid.IntRange(0, 3).Draw(t, "Worker"))
		w.join()
		w.submit("later", "Urgent", lasting(2, 0, cottonlanding.Millicores(rapid.IntRange(2500, 6000).Draw(t, "CPU"))))
		w.play(restartTimeout)
		require.True(t, w.runsAll("lasting", 4), "what was lost runs again")
		require.Empty(t, w.runner.Violations())
	})
}

// TestNewTasksLeaveRoomForStoppedOnes is the same for tasks whose worker leaves: they have to be
// stopped first, which takes some turns.
func TestNewTasksLeaveRoomForStoppedOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := crowdedWorld(t)
		w.join()
		w.workers[rapid.IntRange(0, 3).Draw(t, "Worker")].State = cottonlanding.Leaving
		w.submit("later", "Urgent", lasting(2, 0, 6000))
		w.cell.SetWorkers(slices.Clone(w.workers), w.now)
		w.play(cottonlanding.Second)
		require.True(t, w.runsAll("lasting", 4), "what was stopped runs again")
	})
}

// TestNewTasksTakeUnreservedRoom plays the same crash where less is due: room that is enough for
// both, and a rest that is too small for what was lost, are taken at once.
func TestNewTasksTakeUnreservedRoom(t *testing.T) {
	for name, step := range map[string]cottonlanding.Step{
		"enough for both":      lasting(1, 0, 6000),
		"too small a rest":     lasting(3, 1, 2000),
		"tasks that end alone": short(6000),
	} {
		t.Run(name, func(t *testing.T) {
			w := crowdedWorld(t)
			if name == "enough for both" {
				w.addWorker()
				w.addWorker()
			}
			w.crash(0)
			w.join()
			w.submit("later", "Urgent", step)
			begun := false
			for range 20 {
				w.turn(turnSpan)
				begun = begun || w.runsAll("later", step.Tasks)
			}
			require.True(t, begun)
			w.play(restartTimeout)
			require.True(t, w.runsAll("lasting", 4), "what was lost runs again")
		})
	}
}

// TestReservationsRespectPriority: a newcomer doesn't stand back for what is less urgent.
func TestReservationsRespectPriority(t *testing.T) {
	w := crowdedWorldOf(t, "Bulk")
	w.crash(0)
	w.join()
	w.submit("later", "Urgent", lasting(1, 0, 6000))
	w.play(cottonlanding.Second)
	require.True(t, w.runsAll("later", 1))
}

// TestNewTasksTakeAmpleRoom: where there is several times the room that is due and asked
// for, a newcomer takes some of it at once, also on a worker that what was lost could use.
func TestNewTasksTakeAmpleRoom(t *testing.T) {
	w := crowdedWorld(t)
	w.crash(0)
	w.addWorker()
	w.workers[4].Labels = []cottonlanding.Label{"New"}
	w.cell.SetWorkers(slices.Clone(w.workers), w.now)
	small := lasting(1, 0, 1000)
	small.Requires = "New"
	w.submit("later", "Urgent", small)
	w.play(cottonlanding.Second)
	require.True(t, w.runsAll("later", 1))
}

// TestNewTasksStartWhileHalfIsFree: while lasting tasks leave half of the room, nothing waits for
// what is due.
func TestNewTasksStartWhileHalfIsFree(t *testing.T) {
	w := crowdedWorld(t)
	w.crash(0)
	w.crash(1)
	w.join()
	w.join()
	w.submit("later", "Urgent", lasting(1, 0, 6000))
	w.play(cottonlanding.Second)
	require.True(t, w.runsAll("later", 1))
}

// TestReservationsCountOwnServiceOnly: what workers of another service have left helps nobody.
func TestReservationsCountOwnServiceOnly(t *testing.T) {
	w := crowdedWorld(t)
	for range 4 {
		w.addWorker()
		w.workers[len(w.workers)-1].Service = "Other"
	}
	w.cell.SetWorkers(slices.Clone(w.workers), w.now)
	w.play(cottonlanding.Second)
	w.crash(0)
	w.join()
	w.submit("later", "Urgent", lasting(1, 0, 6000))
	w.play(restartTimeout)
	require.True(t, w.runsAll("lasting", 4), "what was lost runs again")
}

// TestManyNewTasksLeaveReservedRoom: many that come at once leave room too, though each alone would.
func TestManyNewTasksLeaveReservedRoom(t *testing.T) {
	w := crowdedWorld(t)
	w.crash(0)
	for range 4 {
		w.addWorker()
	}
	w.join()
	w.submit("later", "Urgent", lasting(6, 0, 6000))
	w.play(restartTimeout)
	require.True(t, w.runsAll("lasting", 4), "what was lost runs again")
}

// TestReservedRoomPreventsPreemption: nothing is stopped for a task that isn't given the room.
func TestReservedRoomPreventsPreemption(t *testing.T) {
	w := crowdedWorld(t)
	w.crash(0)
	w.join()
	w.submit("slow", "Bulk", short(7000))
	w.play(cottonlanding.Second)
	w.submit("later", "Urgent", lasting(1, 0, 6000))
	w.play(cottonlanding.Second)
	require.True(t, w.runsAll("slow", 1))
	require.Zero(t, w.cell.Counts().Evicted, "it isn't stopped")
}

// TestNewTaskYieldsWithinItsStep plays a step of five tasks, one to a worker, of
// which the fifth never ran. Some seconds after another has lost its worker one more worker comes:
// it is for the task that has run, however long the fifth has waited.
func TestNewTaskYieldsWithinItsStep(t *testing.T) {
	w := newSpreadWorld(t)
	w.play(cottonlanding.Second)
	w.submit("lasting", "Urgent", lasting(5, 1, 6000))
	w.play(cottonlanding.Second)
	ran := slices.DeleteFunc([]int{0, 1, 2, 3, 4}, func(index int) bool { return !w.runs("lasting", index) })
	require.Len(t, ran, 4)
	w.leave(3)
	w.play(2 * cottonlanding.Second)
	w.join()
	for _, index := range ran {
		require.True(t, w.runs("lasting", index), "task %d has run and runs again", index)
	}
}

// TestReservationsEnd: once what was lost runs again, and once its workflow is cancelled, the
// rest is others'.
func TestReservationsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := crowdedWorld(t)
		w.crash(0)
		w.join()
		w.submit("later", "Urgent", lasting(1, 0, 6000))
		if rapid.Bool().Draw(t, "Cancelled") {
			w.cell.Cancel("lasting", w.now, func(error) {})
		} else {
			w.play(restartTimeout)
			w.join()
		}
		w.play(cottonlanding.Second)
		require.True(t, w.runsAll("later", 1))
	})
}
