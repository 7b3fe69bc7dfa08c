package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// These tests guard against applying what one life showed of a run to the next life that lists it: when it began,
// when it last progressed and its pace. The first copy of a start is late, the second one begins at once, and the
// next life takes the first one.

// restartDuringRun lets a task begin on the first worker, which restarts two seconds after a span. Its next life takes
// the late first start of the task.
func restartDuringRun(w *world, span cottonlanding.Millis) {
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

// TestNextLifeRunRestartsProgress: a run that the next life has just begun must not count as stuck.
func TestNextLifeRunRestartsProgress(t *testing.T) {
	w := newWorldWithBirths(t)
	w.submit("slow", "Urgent", quickOn("w1", 1))
	restartDuringRun(w, 3*cottonlanding.Second)
	require.Zero(t, w.cell.Counts().Stuck)
}

// TestNextLifeRunKeepsLosses: a task's losses are cleared once it has run for recentWindow within one life.
func TestNextLifeRunKeepsLosses(t *testing.T) {
	w := newWorldWithBirths(t)
	w.submit("slow", "Urgent", quickOn("w1", 1))
	w.commit()
	w.orders(func() string { return "" })
	w.restartWorker(0)
	w.relist()
	w.pollAll()
	require.Contains(t, w.cell.Fingerprint(w.now), "{1 1}")
	restartDuringRun(w, 9*cottonlanding.Second)
	w.turn(turnSpan)
	require.Contains(t, w.cell.Fingerprint(w.now), "{1 1}", "the run time on the previous life must not clear the task")
}

// TestLossOfNextLifeRunCounts: the next life ends at once, eleven seconds after the previous one began the run. That
// counts as a loss, but not as a crash, because the worker had just ended on its own.
func TestLossOfNextLifeRunCounts(t *testing.T) {
	w := newWorldWithBirths(t)
	w.submit("slow", "Urgent", quickOn("w1", 1))
	restartDuringRun(w, 9*cottonlanding.Second)
	w.restartWorker(0)
	w.relist()
	w.pollAll()
	require.Contains(t, w.cell.Fingerprint(w.now), "{1 0}")
}
