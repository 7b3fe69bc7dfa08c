package planner_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// TestStaleListEntryKeepsLife guards against trusting list entries too much: an entry of an earlier life that is
// read late ends nothing, nor does one of a life that hasn't answered yet. A worker gets no new task until its entry
// describes the life that answers, because another life may differ in service or resources.
func TestStaleListEntryKeepsLife(t *testing.T) {
	w := newWorldWithBirths(t)
	earlier := w.workers[0]
	w.restartWorker(0)
	w.pollAll() // the answer comes before the entry
	present := w.workers[0]
	w.workers[0] = earlier
	w.relist()
	w.submit("slow", "Urgent", quickOn("w1", 1))
	w.play(cottonlanding.Second)
	require.Zero(t, w.runner.Starts(), "the entry describes the previous life")
	w.workers[0] = present
	w.relist()
	w.play(cottonlanding.Second)
	require.Equal(t, 1, w.runner.Starts())
	w.workers[0] = earlier
	w.relist()
	w.submit("more", "Urgent", quickOn("w1", 1))
	w.play(2 * cottonlanding.Second)
	w.requireState("more", cottonlanding.WorkflowSucceeded)
	w.workers[0].Born += 500 // of a life between the two, read late
	w.relist()
	w.play(cottonlanding.Second)
	require.True(t, w.runner.Runs(firstTask("slow")))
	require.Equal(t, 2, w.runner.Starts(), "the life that answers must keep its run")
	require.Empty(t, w.runner.Violations())
}

// TestClockRegressionShowsNextLife: where workers report no births, a clock that went back shows another life.
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
	require.Equal(t, starts, w.runner.Starts(), "entries must be applied as before")
}

// TestCrossedAnswersKeepRuns guards against taking a sound life for ended: a poll is sent in the same
// millisecond in which the answer to a start arrives, just before it, so that its own answer shows a clock 1 ms
// behind. Without births, that must not look like another life: runs would be given up and started again while they
// go on.
func TestCrossedAnswersKeepRuns(t *testing.T) {
	w := newSpreadWorld(t)
	w.play(cottonlanding.Second)
	w.submit("slow", "Urgent", quick(4))
	w.commit()
	next, _ := w.cell.NextPoll("w1", w.now)
	report, err := w.runner.Poll(context.Background(), next.Worker, next.Poll)
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

// TestPollAfterFailureOmitsLeaseAndEnds: the poll after a failed one carries neither acknowledged ends nor a lease,
// because another life may take it.
func TestPollAfterFailureOmitsLeaseAndEnds(t *testing.T) {
	w := newWorldWithBirths(t)
	w.submit("before", "Urgent", quickOn("w1", 3))
	w.play(2 * cottonlanding.Second)
	w.submit("slow", "Urgent", quickOn("w1", 1))
	w.play(cottonlanding.Second)
	next, _ := w.cell.NextPoll("w1", w.now)
	require.Positive(t, next.Poll.LeaseUntil)
	w.cell.PollFailed(next, cottonlanding.ErrAmbiguous, w.now)
	w.now += cottonlanding.Second
	next, _ = w.cell.NextPoll("w1", w.now)
	require.Zero(t, next.Poll.Seen)
	require.Zero(t, next.Poll.LeaseUntil)
	report, err := w.runner.Poll(context.Background(), next.Worker, next.Poll)
	require.NoError(t, err)
	w.cell.PollAnswered(next, report, w.now, w.now)
	next, _ = w.cell.NextPoll("w1", w.now)
	require.Positive(t, next.Poll.LeaseUntil)
}

// TestEndIsAcknowledgedOnce: once a worker was told which ends it may forget, the number isn't sent again. A life
// that is still unknown would forget its own ends by it.
func TestEndIsAcknowledgedOnce(t *testing.T) {
	w := newWorldWithBirths(t)
	w.submit("before", "Urgent", quickOn("w1", 1))
	var acknowledged []uint64
	for range 60 {
		w.decide(turnSpan)
		next, _ := w.cell.NextPoll("w1", w.now)
		if next.Poll.Seen > 0 {
			acknowledged = append(acknowledged, next.Poll.Seen)
		}
		w.pollAll()
	}
	require.Equal(t, []uint64{1}, acknowledged)
}

// TestClockRegressionWithholdsAcknowledgement guards against acknowledging the ends of the wrong life: a worker crashes
// and is back between two polls, and the next life answers a start. Its clock must show that before a poll acknowledges
// ends by the numbers of the previous life. A clock that goes on must not.
func TestClockRegressionWithholdsAcknowledgement(t *testing.T) {
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
	require.Positive(t, next.Poll.LeaseUntil, "the life must stay confirmed while its clock goes on")
	w.poll("w1", true) // lists the end of the short one
	w.commit()
	w.restartWorker(0)
	w.submit("after", "Urgent", quickOn("w1", 1))
	w.decide(turnSpan)
	next, _ = w.cell.NextPoll("w1", w.now)
	require.Zero(t, next.Poll.Seen)
	w.play(2 * cottonlanding.Second)
	w.requireState("after", cottonlanding.WorkflowSucceeded)
	require.Empty(t, w.runner.Violations())
}

// TestSimultaneousCrashesAreOuterCause guards against blaming tasks for an outer cause: workers that crash together
// and are back at once were never silent, and three such crashes must not give up an innocent task.
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
