package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLossCountsOnceUnderTwoOwners guards against counting one crash twice: after an unanswered start and an
// unrelated crash, the owner changes while the run is being ruled out in the next life. The row still had it on the
// previous life, so that the next owner counted its loss once more.
func TestLossCountsOnceUnderTwoOwners(t *testing.T) {
	w := newWorldWithBirths(t)
	w.policy = policyNamed(t, "count") // this policy allows no task three losses
	w.takeOver()
	w.submit("slow", "Urgent", quickOn("w1", 1))
	for range 2 {
		w.settleStops()
		before := w.runner.Starts()
		w.commit()
		w.orders(func() string { return "unanswered" })
		require.Greater(t, w.runner.Starts(), before)
		w.restartWorker(0)
		w.relist()
		w.pollAll() // lost
		w.commit()
		w.takeOver()
		w.pollAll()
		require.Zero(t, w.cell.Counts().FailedByCrashes)
	}
	w.play(slowDuration + 5000)
	w.requireState("slow", "Succeeded")
	require.Empty(t, w.runner.Violations())
}
