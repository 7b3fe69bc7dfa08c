package planner_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// manyWorkflows is more workflows than one plan holds.
	manyWorkflows = 100
	// idleFor is longer than any lease.
	idleFor = 10 * cottonlanding.Second
)

// TestPlacedRunOutlastsIdleLease guards against false losses: an idle worker has no lease and may hold back its
// answer for seconds. A run that is placed there and waits some turns for its commit behind many others must not
// count as lost.
func TestPlacedRunOutlastsIdleLease(t *testing.T) {
	w := newSpreadWorld(t)
	w.labelAll()
	w.addWorker()
	w.workers[4].Labels = []cottonlanding.Label{"New"}
	w.relist()
	w.play(idleFor)
	for number := range manyWorkflows {
		step := short(100)
		step.Requires = initialLabel
		w.submit(cottonlanding.WorkflowID(fmt.Sprintf("before%d", number)), "Urgent", step)
	}
	step := short(100)
	step.Requires = "New"
	w.submit("behind", "Urgent", step)
	for range 4 {
		w.decide(turnSpan)
	}
	w.play(2 * cottonlanding.Second)
	require.Zero(t, w.cell.Counts().Lost)
	require.Equal(t, manyWorkflows+1, w.runner.Starts())
	w.requireState("behind", cottonlanding.WorkflowSucceeded)
}

// TestPlacedRunLeavesSilentWorker: a run that was never sent must not wait for a worker that has been silent for
// longer than any lease.
func TestPlacedRunLeavesSilentWorker(t *testing.T) {
	w := newSpreadWorld(t)
	w.play(idleFor)
	w.submit("placed", "Urgent", short(100))
	w.now += turnSpan
	w.makePlan()
	for _, worker := range w.workers {
		w.runner.Dark(worker.ID, true)
	}
	w.pollAll()
	w.play(cottonlanding.Second)
	w.join()
	w.play(idleFor)
	w.requireState("placed", cottonlanding.WorkflowSucceeded)
}
