package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// A life that was known to leave counts for the loss of a task if the task had just begun there. Where
// the owner can't know when the task began, it may have been just before: the owner came later, the
// life held the start back, or the start went out after a look had got no answer. In each of
// these ways a task that crashes its workers was started without bound. The tests end the first
// worker's life, which has said that it leaves, time after time.

// stopTurns let a worker that is back answer, and have old runs ruled out; nothing is committed.
const stopTurns = 30

// settleStops lets what is to be ruled out be so, without a new start.
func (w *world) settleStops() {
	for range stopTurns {
		w.now += turnSpan
		w.orders(func() string { return "" })
		w.pollAll()
	}
}

// restartLeavingWorker has the first worker's life, which has said that it leaves, be followed by another.
func (w *world) restartLeavingWorker() {
	w.now += crashDelay
	require.NotEmpty(w.t, w.runner.TakeCrashed())
	w.answerFromNextLife()
	w.settleStops()
}

func TestLossOfLeavingLifeCountsForNextOwner(t *testing.T) {
	w := newFaultyTask(t)
	for range crashesPlayed {
		w.commit()
		w.orders(func() string { return "" })
		w.setState(cottonlanding.Leaving)
		w.takeOver()
		if w.final("culprit") {
			break
		}
		w.restartLeavingWorker()
	}
	w.requireGivenUp()
}

func TestStartAfterFailedPollCounts(t *testing.T) {
	w := newFaultyTask(t)
	for range crashesPlayed {
		w.commit()
		orders := w.cell.Orders(w.now)
		w.poll("w1", false)
		for _, order := range orders { // they have waited behind others
			w.now += crashDelay
			order.SentAt = w.now
			reading, err := w.send(order)
			w.cell.OrderAnswered(order, reading, err, w.now)
		}
		w.setState(cottonlanding.Leaving)
		if w.final("culprit") {
			break
		}
		w.restartLeavingWorker()
	}
	w.requireGivenUp()
}

func TestStartDelayedByLeavingLifeCounts(t *testing.T) {
	w := newFaultyTask(t)
	for range crashesPlayed {
		w.commit()
		w.orders(func() string { return "late" })
		w.setState(cottonlanding.Leaving)
		w.now += cottonlanding.Second
		w.pollAll()
		for _, order := range w.late {
			_, _ = w.send(order)
		}
		w.late = nil
		if w.final("culprit") {
			break
		}
		w.restartLeavingWorker()
	}
	w.requireGivenUp()
}

// final reports whether a workflow has ended.
func (w *world) final(id cottonlanding.WorkflowID) bool {
	state, _ := w.cell.State(id)
	return state.Final()
}
