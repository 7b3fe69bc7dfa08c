package planner_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
)

// restartTimeout is how soon a lasting task that was lost with its worker runs again if there is room: the rest of
// the lease, clock drift, and some decisions.
const restartTimeout = 8 * cottonlanding.Second

// crowdedWorld returns a cell of four workers, each with a lasting task that takes three quarters of it.
func crowdedWorld(t require.TestingT) *world { return crowdedWorldOf(t, "Urgent") }

// crowdedWorldOf is crowdedWorld with tasks of a queue.
func crowdedWorldOf(t require.TestingT, queue cottonlanding.QueueName) *world {
	w := newSpreadWorld(t)
	w.play(cottonlanding.Second)
	w.submit("lasting", queue, lasting(4, 1, 6000))
	w.play(cottonlanding.Second)
	require.Equal(t, 4, w.runner.Lasting())
	return w
}

// crash crashes a worker and plays some turns, in which the owner detects it.
func (w *world) crash(number int) {
	w.runner.Crash(w.workers[number].ID)
	w.play(4 * turnSpan)
}

// runsAll reports whether the first tasks of a workflow's first step all run.
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

// TestNewTasksLeaveReservedRoom guards against a new lasting task that takes the room of one that is lost with its
// worker, when the worker crashes and is back under another id before its lease has expired.
func TestNewTasksLeaveReservedRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := crowdedWorld(t)
		w.crash(rapid.IntRange(0, 3).Draw(t, "Worker"))
		w.join()
		w.submit("later", "Urgent", lasting(2, 0, cottonlanding.Millicores(rapid.IntRange(2500, 6000).Draw(t, "CPU"))))
		w.play(restartTimeout)
		require.True(t, w.runsAll("lasting", 4), "the lost task runs again")
		require.Empty(t, w.runner.Violations())
	})
}

// TestNewTasksLeaveRoomForStoppedOnes guards against a new lasting task that takes the room of one whose worker
// leaves, while that one is still being stopped.
func TestNewTasksLeaveRoomForStoppedOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := crowdedWorld(t)
		w.join()
		w.workers[rapid.IntRange(0, 3).Draw(t, "Worker")].State = cottonlanding.Leaving
		w.submit("later", "Urgent", lasting(2, 0, 6000))
		w.cell.SetWorkers(slices.Clone(w.workers), w.now)
		w.play(cottonlanding.Second)
		require.True(t, w.runsAll("lasting", 4), "the stopped task runs again")
	})
}

// TestNewTasksTakeUnreservedRoom guards against reservations that are too wide after a crash: room that is enough
// for both tasks, or too small for the lost one, is taken at once.
func TestNewTasksTakeUnreservedRoom(t *testing.T) {
	for name, step := range map[string]cottonlanding.Step{
		"enough for both":             lasting(1, 0, 6000),
		"too small for the lost task": lasting(3, 1, 2000),
		"short tasks":                 short(6000),
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
			require.True(t, w.runsAll("lasting", 4), "the lost task runs again")
		})
	}
}

// TestReservationsRespectPriority guards against reservations for less urgent tasks that block a more urgent new one.
func TestReservationsRespectPriority(t *testing.T) {
	w := crowdedWorldOf(t, "Bulk")
	w.crash(0)
	w.join()
	w.submit("later", "Urgent", lasting(1, 0, 6000))
	w.play(cottonlanding.Second)
	require.True(t, w.runsAll("later", 1))
}

// TestNewTasksTakeAmpleRoom guards against reservations where there is several times the room that is reserved and
// requested: a new task starts at once, even on a worker that the lost task could use.
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

// TestNewTasksStartWhileHalfIsFree guards against reservations while lasting tasks leave half of the room.
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

// TestReservationsCountOwnServiceOnly guards against counting the free room of another service's workers, which
// makes room look ample.
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
	require.True(t, w.runsAll("lasting", 4), "the lost task runs again")
}

// TestManyNewTasksLeaveReservedRoom guards against many new tasks that take the reserved room together, although
// each alone would leave enough.
func TestManyNewTasksLeaveReservedRoom(t *testing.T) {
	w := crowdedWorld(t)
	w.crash(0)
	for range 4 {
		w.addWorker()
	}
	w.join()
	w.submit("later", "Urgent", lasting(6, 0, 6000))
	w.play(restartTimeout)
	require.True(t, w.runsAll("lasting", 4), "the lost task runs again")
}

// TestReservedRoomPreventsPreemption guards against preempting runs for a task that may not take the room.
func TestReservedRoomPreventsPreemption(t *testing.T) {
	w := crowdedWorld(t)
	w.crash(0)
	w.join()
	w.submit("slow", "Bulk", short(7000))
	w.play(cottonlanding.Second)
	w.submit("later", "Urgent", lasting(1, 0, 6000))
	w.play(cottonlanding.Second)
	require.True(t, w.runsAll("slow", 1))
	require.Zero(t, w.cell.Counts().Preempted, "the short task is preempted")
}

// TestNewTaskYieldsWithinItsStep guards against a task that takes the room of another task of its step. In a step
// of five tasks, one per worker, the fifth never ran; a worker that joins after another left is for the task that
// ran before, however long the fifth has waited.
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
		require.True(t, w.runs("lasting", index), "task %d ran before and has to run again", index)
	}
}

// TestReservationsEnd guards against room that stays reserved after the lost task runs again or its workflow is
// cancelled.
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
