package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// checkpointWorld is a world whose workers list checkpoints.
func checkpointWorld(t require.TestingT) *world {
	w := newSpreadWorld(t)
	w.checkpoints = newCheckpointRecorder()
	for range 3 {
		w.turn(turnSpan)
	}
	return w
}

// checkpointingStep is quick for a step with checkpoints.
func checkpointingStep(tasks int) cottonlanding.Step {
	step := quick(tasks)
	step.Checkpoints = true
	return step
}

// checkpointingGang is checkpointingStep for a gang.
func checkpointingGang(tasks int) cottonlanding.Step {
	step := checkpointingStep(tasks)
	step.Gang = true
	return step
}

// loadRow has the next owner load one workflow in a given state.
func (w *world) loadRow(id cottonlanding.WorkflowID, state string, steps ...cottonlanding.Step) {
	w.submitCheckpointing(id, steps...)
	w.commit()
	row := w.rows[planner.StateKey(partition, id)]
	row.Value = []byte(state)
	w.rows[row.Key] = row
	w.takeOver()
}

// TestOnlyCheckpointingStepsResume guards against starts that pass a checkpoint to a task whose step has none.
// Workers may list a text for each run, and rows may hold one, which was kept and passed to the next start all the
// same.
func TestOnlyCheckpointingStepsResume(t *testing.T) {
	t.Run("listed", func(t *testing.T) {
		w := checkpointWorld(t)
		w.submitCheckpointing("again", quick(2), checkpointingStep(1))
		w.play(10 * cottonlanding.Second)
		require.Empty(t, w.checkpoints.faults)
		require.NotEmpty(t, w.checkpoints.startedWith[cottonlanding.RunKey{Task: cottonlanding.TaskRef{Workflow: "again", Step: 1}, Number: 2}])
	})
	t.Run("in the row", func(t *testing.T) {
		w := checkpointWorld(t)
		w.loadRow("b", `{"State":"Running","Begun":true,"Rounds":1,"Tasks":[["",1,"",0,"text"]]}`, quick(1))
		w.play(5 * cottonlanding.Second)
		require.Empty(t, w.checkpoints.faults)
		require.Equal(t, 1, w.runner.Starts())
	})
}

// addListed records a checkpoint as one that a run of the task has listed.
func (b *checkpointRecorder) addListed(task cottonlanding.TaskRef, text cottonlanding.Checkpoint) {
	b.listed[task] = map[cottonlanding.Checkpoint]bool{text: true}
}

// ordersExcept sends all due orders but those that are lost.
func (w *world) ordersExcept(lost func(planner.Order) bool) {
	for _, order := range w.cell.Orders(w.now) {
		order.SentAt = w.now
		w.checkpoints.recordOrder(order)
		var reading cottonlanding.Reading
		err := error(cottonlanding.ErrAmbiguous)
		if !lost(order) {
			reading, err = w.send(order)
		}
		w.cell.OrderAnswered(order, reading, err, w.now)
	}
}

// requireRetried has the next owner take over, and checks that it retries the lost starts with the right
// checkpoints.
func requireRetried(t *testing.T, w *world, starts int) {
	w.takeOver()
	w.play(2 * cottonlanding.Second)
	require.Equal(t, starts, w.runner.Starts())
	require.Empty(t, w.checkpoints.faults)
}

// turnWithoutStart is turn with the starts of one task lost.
func (w *world) turnWithoutStart(task cottonlanding.TaskRef) {
	w.now += turnSpan
	w.commit()
	w.ordersExcept(func(order planner.Order) bool { return order.Start.Task == task })
	w.pollAll()
}

// TestGangSharesOneCheckpoint guards against members of a gang that are started with different checkpoints, each
// with the one it was listed with last. The checkpoint of any member serves the gang, but all members must get the
// same one.
func TestGangSharesOneCheckpoint(t *testing.T) {
	w := checkpointWorld(t)
	w.submitCheckpointing("again", checkpointingGang(2))
	w.play(10 * cottonlanding.Second)
	require.Empty(t, w.checkpoints.faults)
	text := w.checkpoints.startedWith[cottonlanding.RunKey{Task: firstTask("again"), Number: 2}]
	require.Contains(t, text, "again.0.0.1#1", "the second member's worker is polled last")
	state, _ := w.cell.State("again")
	require.Equal(t, cottonlanding.WorkflowSucceeded, state)
}

// TestGangRowsWithDifferentCheckpoints guards against the same after a change of owner: rows of earlier owners hold
// a checkpoint for each member. Whether the gang waits or some of its starts may have been sent, the next owner
// passes one of them to all.
func TestGangRowsWithDifferentCheckpoints(t *testing.T) {
	for name, tasks := range map[string]string{
		"waiting":        `["",1],["",1,"",0,"two"],["",1,"",0,"three"]`,
		"one checkpoint": `["",1,"",0,"two"],["",1],["",1]`,
		"placed":         `["A",1,"w1"],["A",1,"w2",0,"two"],["A",1,"w3",0,"three"]`,
	} {
		t.Run(name, func(t *testing.T) {
			w := checkpointWorld(t)
			w.checkpoints.addListed(cottonlanding.TaskRef{Workflow: "gang", Index: 1}, "two")
			w.checkpoints.addListed(cottonlanding.TaskRef{Workflow: "gang", Index: 2}, "three")
			w.loadRow("gang", `{"State":"Running","Begun":true,"Rounds":1,"Tasks":[`+tasks+`]}`, checkpointingGang(3))
			w.play(5 * cottonlanding.Second)
			require.Empty(t, w.checkpoints.faults)
			require.NotEmpty(t, w.checkpoints.startedWith)
			for _, text := range w.checkpoints.startedWith {
				require.EqualValues(t, "two", text)
			}
		})
	}
}

// newPartlyStartedWorld returns a world in which one member of a gang is running and has listed checkpoints, and
// each start of the other was lost. firstRow is the row of the gang's first task.
func newPartlyStartedWorld(t require.TestingT, firstRow string) *world {
	w := checkpointWorld(t)
	w.checkpoints.addListed(firstTask("slow"), "one")
	w.loadRow("slow", `{"State":"Running","Begun":true,"Rounds":1,"Tasks":[`+firstRow+`,["",1]]}`, checkpointingGang(2))
	for range 20 {
		w.turnWithoutStart(cottonlanding.TaskRef{Workflow: "slow", Index: 1})
	}
	require.Equal(t, 1, w.runner.Starts())
	require.Greater(t, len(w.checkpoints.listed[firstTask("slow")]), 1, "the member that has begun lists checkpoints")
	return w
}

// TestRetriedStartKeepsCheckpoint guards against a retried start that passes another checkpoint than the first one
// did: members that are running have listed newer ones meanwhile, but all members must get the same.
func TestRetriedStartKeepsCheckpoint(t *testing.T) {
	w := newPartlyStartedWorld(t, `["",1,"",0,"one"]`)
	w.play(2 * cottonlanding.Second)
	require.Equal(t, 2, w.runner.Starts())
	require.Empty(t, w.checkpoints.faults)
}

// TestRetriedStartOfFinishedGangKeepsCheckpoint guards against a retried start without the checkpoint of its
// earlier copies: a gang is done with its first member that is, and its checkpoints are dropped while the start of
// another member has no answer.
func TestRetriedStartOfFinishedGangKeepsCheckpoint(t *testing.T) {
	w := checkpointWorld(t)
	w.checkpoints.addListed(firstTask("gang"), "one")
	after := quick(10)
	after.After = []int{0}
	w.loadRow("gang", `{"State":"Running","Begun":true,"Rounds":1,"Tasks":[["",1,"",0,"one"],["",1,"",0,"one"]]}`, checkpointingGang(2), after)
	for range 20 {
		w.turnWithoutStart(cottonlanding.TaskRef{Workflow: "gang", Index: 1})
	}
	require.Greater(t, w.runner.Starts(), 1, "the step after the gang has begun")
	require.Empty(t, w.checkpoints.faults)
}

// TestNextOwnerRetriesStartWithCheckpoint guards against a next owner that retries a start with the newest
// checkpoint because the row holds no other. The members that are running may have been started with an older one
// or none, and the first member, whose row has the checkpoints, may have ended by then.
func TestNextOwnerRetriesStartWithCheckpoint(t *testing.T) {
	for name, one := range map[string]struct {
		firstRow string
		ends     bool
	}{
		"with a checkpoint":      {firstRow: `["",1,"",0,"one"]`},
		"without":                {firstRow: `["",1]`},
		"first member has ended": {firstRow: `["",1,"",0,"one"]`, ends: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newPartlyStartedWorld(t, one.firstRow)
			if one.ends {
				run := cottonlanding.RunKey{Task: firstTask("slow"), Number: 2}
				require.NoError(t, w.runner.Stop(t.Context(), cottonlanding.WorkerRef{Life: cottonlanding.Life{Worker: "w1"}}, run, w.epoch))
				w.turnWithoutStart(cottonlanding.TaskRef{Workflow: "slow", Index: 1})
			}
			w.cell.MarkDirty("slow")
			w.commit()
			requireRetried(t, w, 2)
		})
	}
}

// TestCheckpointsOfFinishedGangAreDropped guards against a checkpoint that stays in the row of a task that is never
// started again, for as long as its workflow: a member that ends after its gang is done lists one all the same.
func TestCheckpointsOfFinishedGangAreDropped(t *testing.T) {
	w := checkpointWorld(t)
	after := quick(10)
	after.After = []int{0}
	w.submitCheckpointing("gang", checkpointingGang(2), after)
	ended := cottonlanding.TaskRef{Workflow: "gang", Index: 1}
	for len(w.checkpoints.listed[ended]) == 0 || w.runner.Runs(ended) {
		w.turn(turnSpan)
	}
	w.turn(turnSpan)
	w.touchAll()
	require.NotContains(t, string(w.rows[planner.StateKey(partition, "gang")].Value), "#1/")
}

// TestNextOwnerTellsLivesApartByBirth guards against a checkpoint that is passed to the very run that made it. A
// worker crashes and is back under its id, and the owner changes meanwhile. An owner that cannot tell the two lives
// apart does not find the run in the list, assumes that its start was lost, and retries it with the checkpoint of
// the row. The birth in the row tells the lives apart: the run has ended, and the checkpoint goes to the next one.
func TestNextOwnerTellsLivesApartByBirth(t *testing.T) {
	w := newWorldWithBirths(t)
	w.checkpoints = newCheckpointRecorder()
	w.submitCheckpointing("slow", checkpointingStep(1))
	w.play(2 * cottonlanding.Second)
	w.touchAll()
	for at := range w.workers {
		w.restartWorker(at)
	}
	w.takeOver()
	w.play(2 * cottonlanding.Second)
	require.Empty(t, w.checkpoints.faults)
	require.Empty(t, w.checkpoints.startedWith[cottonlanding.RunKey{Task: firstTask("slow"), Number: 1}])
	require.NotEmpty(t, w.checkpoints.startedWith[cottonlanding.RunKey{Task: firstTask("slow"), Number: 2}])
}

// TestNextOwnerRetriesStartWithoutBirths guards against the same where workers report no births. The start is
// retried, since the two lives cannot be told apart, but with the checkpoint of the first start, here none, and not
// with one that this run has made since.
func TestNextOwnerRetriesStartWithoutBirths(t *testing.T) {
	w := checkpointWorld(t)
	w.submitCheckpointing("slow", checkpointingStep(1))
	w.play(2 * cottonlanding.Second)
	w.touchAll()
	for _, info := range w.workers {
		w.runner.Add(info.ID, 0)
	}
	w.takeOver()
	w.play(2 * cottonlanding.Second)
	require.Empty(t, w.checkpoints.faults)
	require.Empty(t, w.checkpoints.startedWith[cottonlanding.RunKey{Task: firstTask("slow"), Number: 1}])
}
