package planner_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// TestStaleListEntryIsHarmless: an entry of an earlier life that is read late ends nothing, one of a life
// that hasn't answered yet doesn't either, and a worker gets no new task until its entry is of
// the life that answers: it may be of another kind.
func TestStaleListEntryIsHarmless(t *testing.T) {
	w := newWorldWithBirths(t)
	earlier := w.workers[0]
	w.restartWorker(0)
	w.pollAll() // the answer comes before the entry
	present := w.workers[0]
	w.workers[0] = earlier
	w.relist()
	w.submit("slow", "Urgent", quickOn("w1", 1))
	w.play(cottonlanding.Second)
	require.Zero(t, w.runner.Starts(), "the entry is of the life before")
	w.workers[0] = present
	w.relist()
	w.play(cottonlanding.Second)
	require.Equal(t, 1, w.runner.Starts())
	w.workers[0] = earlier
	w.relist()
	w.submit("more", "Urgent", quickOn("w1", 1))
	w.play(2 * cottonlanding.Second)
	w.requireState("more", cottonlanding.WorkflowSucceeded)
	w.workers[0].Born += 500 // of a life between, read late
	w.relist()
	w.play(cottonlanding.Second)
	require.True(t, w.runner.Runs(firstTask("slow")))
	require.Equal(t, 2, w.runner.Starts(), "the life that answers goes on")
	require.Empty(t, w.runner.Violations())
}

// TestClockRegressionShowsNextLife: where workers tell no births, a clock that has gone back tells of
// another life.
func TestClockRegressionShowsNextLife(t *testing.T) {
	w := newSpreadWorld(t)
	w.play(cottonlanding.Second)
	w.submit("before", "Urgent", quick(20))
	w.play(5 * cottonlanding.Second)
	for _, info := range w.workers {
		w.runner.Rebirth(info.ID, info.Address, 0)
	}
	w.submit("after", "Urgent", quick(8))
	w.play(10 * cottonlanding.Second)
	require.Empty(t, w.runner.Violations())
	w.requireState("after", cottonlanding.WorkflowSucceeded)
	starts := w.runner.Starts()
	for at := range w.workers {
		w.workers[at].State = cottonlanding.Leaving
	}
	w.relist()
	w.submit("late", "Urgent", quick(1))
	w.play(2 * cottonlanding.Second)
	require.Equal(t, starts, w.runner.Starts(), "entries are taken in as before")
}

// TestAnswersCrossingWithinMillisecond: a look is sent in the millisecond in which the answer to a
// start comes, before it, and its own answer shows a clock that is 1 ms behind. Where workers tell no
// births, that is no other life. It came about in a soak beside load: runs were given up and
// started again while they went on.
func TestAnswersCrossingWithinMillisecond(t *testing.T) {
	w := newSpreadWorld(t)
	w.play(cottonlanding.Second)
	w.submit("slow", "Urgent", quick(4))
	w.commit()
	next, _ := w.cell.NextPoll("w1", w.now)
	report, err := w.runner.Look(context.Background(), next.Worker, next.Look)
	require.NoError(t, err)
	orders := w.cell.Orders(w.now)
	require.NotEmpty(t, orders)
	for _, order := range orders {
		order.SentAt = w.now
		reading, err := w.send(order)
		require.NoError(t, err)
		w.cell.OrderAnswered(order, reading+1, err, w.now)
	}
	w.cell.PollAnswered(next, report, w.now, w.now)
	require.Zero(t, w.cell.Counts().Lost)
	w.play(5 * cottonlanding.Second)
	require.Empty(t, w.runner.Violations())
	require.Equal(t, 4, w.runner.Starts())
}

// TestPollAfterFailureIsPlain: after a look without an answer the next one carries neither a number of
// an end nor a lease, since another life may take it.
func TestPollAfterFailureIsPlain(t *testing.T) {
	w := newWorldWithBirths(t)
	w.submit("before", "Urgent", quickOn("w1", 3))
	w.play(2 * cottonlanding.Second)
	w.submit("slow", "Urgent", quickOn("w1", 1))
	w.play(cottonlanding.Second)
	next, _ := w.cell.NextPoll("w1", w.now)
	require.Positive(t, next.Look.LeaseUntil)
	w.cell.PollFailed(next, cottonlanding.ErrAmbiguous, w.now)
	w.now += cottonlanding.Second
	next, _ = w.cell.NextPoll("w1", w.now)
	require.Zero(t, next.Look.Seen)
	require.Zero(t, next.Look.LeaseUntil)
	report, err := w.runner.Look(context.Background(), next.Worker, next.Look)
	require.NoError(t, err)
	w.cell.PollAnswered(next, report, w.now, w.now)
	next, _ = w.cell.NextPoll("w1", w.now)
	require.Positive(t, next.Look.LeaseUntil)
}

// TestEndIsAcknowledgedOnce: once a worker has been told which ends it may forget, the number
// is not told again. A life that nobody has heard of yet would forget its own by it.
func TestEndIsAcknowledgedOnce(t *testing.T) {
	w := newWorldWithBirths(t)
	w.submit("before", "Urgent", quickOn("w1", 1))
	var acknowledged []uint64
	for range 60 {
		w.decide(turnSpan)
		next, _ := w.cell.NextPoll("w1", w.now)
		if next.Look.Seen > 0 {
			acknowledged = append(acknowledged, next.Look.Seen)
		}
		w.pollAll()
	}
	require.Equal(t, []uint64{1}, acknowledged)
}

// TestClockRegressionInStartAnswer: a worker crashes and is back between two looks, and the next life
// answers a start. Its clock shows that, before a look tells it to forget ends by the numbers
// of the life before. A clock that goes on casts none.
func TestClockRegressionInStartAnswer(t *testing.T) {
	w := newWorldWithBirths(t)
	w.submit("before", "Urgent", quickOn("w1", 1))
	w.play(cottonlanding.Second)
	w.submit("slow", "Urgent", quickOn("w1", 1))
	w.decide(turnSpan)
	w.submit("short", "Urgent", quickOn("w1", 1))
	for range 5 {
		w.decide(turnSpan)
	}
	next, _ := w.cell.NextPoll("w1", w.now)
	require.Positive(t, next.Look.LeaseUntil, "no doubt while the clock goes on")
	w.poll("w1", true) // lists the end of the short one
	w.commit()
	w.restartWorker(0)
	w.submit("after", "Urgent", quickOn("w1", 1))
	w.decide(turnSpan)
	next, _ = w.cell.NextPoll("w1", w.now)
	require.Zero(t, next.Look.Seen)
	w.play(2 * cottonlanding.Second)
	w.requireState("after", cottonlanding.WorkflowSucceeded)
	require.Empty(t, w.runner.Violations())
}

// TestSimultaneousCrashesAreOuterCause: workers that crash together and are back at once were never silent.
// Their crashes still speak for an outer cause: no innocent task is given up for three of them.
func TestSimultaneousCrashesAreOuterCause(t *testing.T) {
	w := newWorldWithBirths(t)
	for range 12 {
		w.addWorker()
		w.restartWorker(len(w.workers) - 1)
	}
	w.relist()
	w.play(cottonlanding.Second)
	w.submit("slow", "Urgent", quick(32))
	for range 3 {
		w.play(2 * turnSpan)
		for at := range w.workers {
			w.restartWorker(at)
		}
		w.pollAll()
		w.relist()
		w.play(3 * cottonlanding.Second)
	}
	w.requireState("slow", cottonlanding.WorkflowRunning)
	require.Empty(t, w.runner.Violations())
}
