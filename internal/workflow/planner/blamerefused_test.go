package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// TestRefusedStartAfterPollIsInnocent is TestRefusedStartIsNoCause where a look is answered by the other
// life before the start is: the two go over connections of their own. The start was charged at the
// look, as one that had just begun, and nobody took that back when it was refused.
func TestRefusedStartAfterPollIsInnocent(t *testing.T) {
	requireInnocent(t, func(w *world, start planner.Order) {
		w.pollOtherLife(start)
		w.now++
	})
}

// pollOtherLife has another life answer a look that was meant for the one to which a start was given.
func (w *world) pollOtherLife(start planner.Order) {
	poll, found := w.cell.NextPoll(start.Worker.Life.Worker, w.now)
	require.True(w.t, found)
	w.cell.PollFailed(poll, cottonlanding.ErrOtherLife, w.now)
}

// TestRefusedCopyOfTakenStartCounts: only a start that surely had no effect is no cause. A copy of one that
// got no answer may have begun and ended the life before the next copy was refused.
func TestRefusedCopyOfTakenStartCounts(t *testing.T) {
	w := newWorldWithBirths(t)
	w.submit("culprit", "Urgent", quick(1))
	w.commit()
	first := w.cell.Orders(w.now)
	require.Len(t, first, 1)
	first[0].SentAt = w.now
	w.cell.OrderAnswered(first[0], 0, cottonlanding.ErrAmbiguous, w.now)
	w.now += cottonlanding.Second / 2
	second := w.cell.Orders(w.now)
	require.Len(t, second, 1)
	second[0].SentAt = w.now
	w.pollOtherLife(second[0])
	w.cell.OrderAnswered(second[0], 0, cottonlanding.ErrOtherLife, w.now)
	require.Contains(t, w.cell.Fingerprint(w.now), "{1 0}", "it may have been the cause, and nobody knows that it began")
}
