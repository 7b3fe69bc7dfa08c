package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLossCountsOnceUnderTwoOwners: a start without an answer and a crash from outside, and another owner
// while the run is ruled out in the next life, which the row had as placed on the life before. The
// next owner lost it with that life once more, so that one crash counted for two.
func TestLossCountsOnceUnderTwoOwners(t *testing.T) {
	w := newWorldWithBirths(t)
	w.policy = policyNamed(t, "count") // three losses are allowed to none
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
