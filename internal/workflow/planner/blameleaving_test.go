package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// These tests guard against unbounded starts of a task that crashes workers which have announced that they leave. The
// loss of such a life counts if the task had just begun there. Where the owner can't know when the task began, it may
// have been just before the end: the owner took over later, the life delayed the start, or the start was sent after a
// failed poll. The tests end the first worker's leaving life again and again.

// stopTurns is how many turns let a restarted worker answer and acknowledge the stops of old runs; nothing is
// committed.
const stopTurns = 30

// settleStops lets old runs be ruled out without a new start.
func (w *world) settleStops() {
	for range stopTurns {
		w.now += turnSpan
		w.orders(func() string { return "" })
		w.pollAll()
	}
}

// restartLeavingWorker has the first worker's leaving life followed by another one.
func (w *world) restartLeavingWorker() {
	w.now += crashDelay
	require.NotEmpty(w.t, w.runner.TakeCrashed())
	w.answerFromNextLife()
	w.settleStops()
}

// TestLossOfLeavingLifeCountsForNextOwner: the owner changes after the start, so that it is unknown when the task
// began.
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

// TestStartAfterFailedPollCounts: the start is sent after a poll has failed.
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

// TestStartDelayedByLeavingLifeCounts: the leaving life executes the start one second late.
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
