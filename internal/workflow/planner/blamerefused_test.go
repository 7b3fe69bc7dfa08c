package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// TestRefusedStartAfterPollIsInnocent is TestRefusedStartIsInnocent where the other life answers a poll before the
// start, since the two use separate connections. The start was counted as a loss at the poll, as one that had just
// begun, and the refusal didn't retract that.
func TestRefusedStartAfterPollIsInnocent(t *testing.T) {
	requireInnocent(t, func(w *world, start planner.Order) {
		w.pollOtherLife(start)
		w.now++
	})
}

// pollOtherLife has another life answer a poll that was meant for the life to which a start was given.
func (w *world) pollOtherLife(start planner.Order) {
	poll, found := w.cell.NextPoll(start.Worker.Life.Worker, w.now)
	require.True(w.t, found)
	w.cell.PollFailed(poll, cottonlanding.ErrOtherLife, w.now)
}

// TestRefusedCopyOfTakenStartCounts: only a start that is certain to have had no effect is innocent. An unanswered
// copy may have begun the run and ended the life before the next copy was refused.
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
	require.Contains(t, w.cell.Fingerprint(w.now), "{1 0}", "the start may have been the cause, but it is unknown whether it began")
}
