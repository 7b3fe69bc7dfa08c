package planner_test

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// plannedWorker returns the worker on which the plan under way places the first task of a workflow.
func (w *world) plannedWorker(id cottonlanding.WorkflowID) cottonlanding.WorkerID {
	for _, write := range w.plan.Writes {
		if write.Key != planner.StateKey(partition, id) {
			continue
		}
		var state struct{ Tasks []planner.TaskRow }
		require.NoError(w.t, json.Unmarshal(write.Value, &state))
		return state.Tasks[0].Life.Worker
	}
	require.Fail(w.t, "the plan doesn't place it")
	return ""
}

// replacedWorld is a cell of leased workers in which the only task of "lasting" was just placed anew, but not sent. It returns
// its new worker as well.
func replacedWorld(t require.TestingT) (*world, cottonlanding.WorkerID) {
	w := newSpreadWorld(t)
	w.play(cottonlanding.Second)
	w.submit("longer", "Urgent", lasting(4, 1, 3000))
	w.play(cottonlanding.Second)
	w.submit("lasting", "Urgent", lasting(1, 1, 3000))
	w.play(cottonlanding.Second)
	require.Equal(t, 5, w.runner.Lasting())
	at := slices.IndexFunc(w.workers, func(info cottonlanding.WorkerInfo) bool { return w.runner.RunsOn(info.ID) == 2 })
	w.workers[at].State = cottonlanding.Leaving
	w.relist()
	for w.runner.Runs(first("lasting")) {
		w.turn(turnSpan)
	}
	w.now += turnSpan
	w.begin()
	return w, w.plannedWorker("lasting")
}

// TestPlacedRunLeavesALeasedWorkerThatFallsSilent: a run whose start had not gone out when its worker fell silent waited
// until the worker's lease had surely run out, though nothing could begin there and others had room.
func TestPlacedRunLeavesALeasedWorkerThatFallsSilent(t *testing.T) {
	w, placed := replacedWorld(t)
	w.runner.Dark(placed, true)
	w.lookAll()
	require.Less(t, w.downFor("lasting", 1, func() {}), cottonlanding.Second)
	require.Empty(t, w.runner.Violations())
}
