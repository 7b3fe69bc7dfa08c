package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// TestRefusedStartIsNoCauseAfterALook is TestRefusedStartIsNoCause where a look is answered by the other
// life before the start is: the two go over connections of their own. The start was charged at the
// look, as one that had just begun, and nobody took that back when it was refused.
func TestRefusedStartIsNoCauseAfterALook(t *testing.T) {
	w := bornWorld(t)
	w.submit("innocent", "Urgent", quick(1))
	for range len(w.workers) - 1 {
		w.commit()
		starts := w.cell.Orders(w.now)
		require.Len(t, starts, 1)
		starts[0].SentAt = w.now
		w.now++
		look, found := w.cell.NextLook(starts[0].Worker.Life.Worker, w.now)
		require.True(t, found)
		w.cell.LookFailed(look, cottonlanding.ErrOtherLife, w.now)
		w.now++
		w.cell.Ordered(starts[0], 0, cottonlanding.ErrOtherLife, w.now)
		require.Zero(t, w.cell.Counts().Convicted)
	}
	w.play(3 * cottonlanding.Second)
	w.requireState("innocent", cottonlanding.WorkflowSucceeded)
	require.Empty(t, w.runner.Violations())
}

// TestStartThatWasTakenIsACause: only a start that surely had no effect is no cause. A copy of one that
// got no answer may have begun and ended the life before the next copy was refused.
func TestStartThatWasTakenIsACause(t *testing.T) {
	w := bornWorld(t)
	w.submit("culprit", "Urgent", quick(1))
	w.commit()
	first := w.cell.Orders(w.now)
	require.Len(t, first, 1)
	first[0].SentAt = w.now
	w.cell.Ordered(first[0], 0, cottonlanding.ErrAmbiguous, w.now)
	w.now += cottonlanding.Second / 2
	second := w.cell.Orders(w.now)
	require.Len(t, second, 1)
	second[0].SentAt = w.now
	look, found := w.cell.NextLook(second[0].Worker.Life.Worker, w.now)
	require.True(t, found)
	w.cell.LookFailed(look, cottonlanding.ErrOtherLife, w.now)
	w.cell.Ordered(second[0], 0, cottonlanding.ErrOtherLife, w.now)
	require.Contains(t, w.cell.Fingerprint(w.now), "{1 1}")
}
