package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// A run that the next life of its worker lists is that life's own: it took a copy of the start that came
// late. Yet when it began, when it last moved on and its pace were kept from the life before. The
// tests have the first copy of a start come late, the second one begin at once, and the first
// one be taken by the next life.

// startTwice plays a task that has begun on the first worker, which falls silent after a span and is back with it
// two seconds later.
func startTwice(w *world, span cottonlanding.Millis) {
	w.settleStops()
	w.commit()
	w.orders(func() string { return "late" })
	require.Len(w.t, w.late, 1)
	for until := w.now + span; w.now < until; {
		w.turn(turnSpan)
	}
	require.Equal(w.t, 1, w.runner.Running())
	w.now += 2 * cottonlanding.Second
	w.restartWorker(0)
	w.relist()
	_, err := w.send(w.late[0])
	require.NoError(w.t, err)
	w.late = nil
	w.pollAll()
	require.Equal(w.t, 1, w.runner.Running())
}

func TestNextLifeRunRestartsProgress(t *testing.T) {
	w := newWorldWithBirths(t)
	w.submit("slow", "Urgent", quickOn("w1", 1))
	startTwice(w, 3*cottonlanding.Second)
	require.Zero(t, w.cell.Counts().Stuck)
}

// TestNextLifeRunKeepsLosses: a task is cleared of its losses once it has run for long in one life.
func TestNextLifeRunKeepsLosses(t *testing.T) {
	w := newWorldWithBirths(t)
	w.submit("slow", "Urgent", quickOn("w1", 1))
	w.commit()
	w.orders(func() string { return "" })
	w.restartWorker(0)
	w.relist()
	w.pollAll()
	require.Contains(t, w.cell.Fingerprint(w.now), "{1 1}")
	startTwice(w, 9*cottonlanding.Second)
	w.turn(turnSpan)
	require.Contains(t, w.cell.Fingerprint(w.now), "{1 1}", "what the life before ran for has cleared the task")
}

// TestLossOfNextLifeRunCounts: the next life ends at once, eleven seconds after the first one began the run.
// It counts as a loss; as a crash it doesn't, since the worker had just ended by itself.
func TestLossOfNextLifeRunCounts(t *testing.T) {
	w := newWorldWithBirths(t)
	w.submit("slow", "Urgent", quickOn("w1", 1))
	startTwice(w, 9*cottonlanding.Second)
	w.restartWorker(0)
	w.relist()
	w.pollAll()
	require.Contains(t, w.cell.Fingerprint(w.now), "{1 0}")
}
