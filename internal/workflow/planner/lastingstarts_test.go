package planner_test

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// plannedWorker returns the worker on which the plan in flight places the first task of a workflow.
func (w *world) plannedWorker(id cottonlanding.WorkflowID) cottonlanding.WorkerID {
	for _, write := range w.plan.Writes {
		if write.Key != planner.StateKey(partition, id) {
			continue
		}
		var state struct{ Tasks []planner.TaskRow }
		require.NoError(w.t, json.Unmarshal(write.Value, &state))
		return state.Tasks[0].Life.Worker
	}
	require.Fail(w.t, "the plan doesn't place it")
	return ""
}

// TestUnstartedRunLeavesSilentWorker guards against a run that waits for the end of its worker's lease although its
// start had not been sent when the worker fell silent: nothing can begin there, and others have room.
func TestUnstartedRunLeavesSilentWorker(t *testing.T) {
	w := lastingWorld(t)
	w.interruptLasting()
	w.pollAll()
	w.makePlan()
	w.runner.Dark(w.plannedWorker("lasting"), true)
	w.pollAll()
	require.Less(t, w.downFor("lasting", 1, func() {}), cottonlanding.Second)
	require.Empty(t, w.runner.Violations())
}

const (
	// orderTimeout is after how long an order counts as unanswered, pollInterval how often busy workers are polled
	// here.
	orderTimeout = cottonlanding.Second
	pollInterval = 850 * cottonlanding.Millis(1)
)

// unresponsiveWorld is a world with one worker that answers polls, but not the orders of some verbs.
type unresponsiveWorld struct {
	*world
	// worker is the unresponsive one, the first that is given a start.
	worker cottonlanding.WorkerID
	// unanswered are the verbs whose orders get no answer, err is the outcome of these orders after errorDelay.
	unanswered []planner.Verb
	err        error
	errorDelay cottonlanding.Millis
	pending    []planner.Order
	polledAt   cottonlanding.Millis
}

// newUnresponsiveWorld returns a world in which the worker that gets the next start answers no orders of some
// verbs.
func newUnresponsiveWorld(w *world, verbs ...planner.Verb) *unresponsiveWorld {
	return &unresponsiveWorld{world: w, unanswered: verbs, err: cottonlanding.ErrAmbiguous, errorDelay: orderTimeout}
}

func (d *unresponsiveWorld) answers(order planner.Order) bool {
	if d.worker == "" && order.Verb == planner.VerbStart {
		d.worker = order.Worker.Life.Worker
	}
	return order.Worker.Life.Worker != d.worker || !slices.Contains(d.unanswered, order.Verb)
}

// turn lets a turn pass. Orders without an answer are kept, and arrive late.
func (d *unresponsiveWorld) turn() {
	d.now += turnSpan
	d.commit()
	for _, order := range d.cell.Orders(d.now) {
		order.SentAt = d.now
		if !d.answers(order) {
			d.pending = append(d.pending, order)
			continue
		}
		reading, err := d.send(order)
		d.cell.OrderAnswered(order, reading, err, d.now)
	}
	d.pending = slices.DeleteFunc(d.pending, func(order planner.Order) bool {
		if d.now-order.SentAt < d.errorDelay {
			return false
		}
		if errors.Is(d.err, cottonlanding.ErrAmbiguous) {
			d.late = append(d.late, order)
		}
		d.cell.OrderAnswered(order, 0, d.err, d.now)
		return true
	})
	if d.now-d.polledAt >= pollInterval {
		d.polledAt = d.now
		d.pollAll()
	}
}

// downFor lets turns pass until a task of a workflow runs, or for much longer than it may be down.
func (d *unresponsiveWorld) downFor(id cottonlanding.WorkflowID) cottonlanding.Millis {
	since := d.now
	for d.now-since < 3*startWithin && !d.runs(id, 0) {
		d.turn()
	}
	return d.now - since
}

// interruptLasting has the worker of the only task of "lasting" leave, and lets turns pass until its run has ended.
func (w *world) interruptLasting() {
	at := slices.IndexFunc(w.workers, func(info cottonlanding.WorkerInfo) bool { return w.runner.RunsOn(info.ID) == 2 })
	w.workers[at].State = cottonlanding.Leaving
	w.relist()
	for w.runner.Runs(firstTask("lasting")) {
		w.commit()
		w.now += turnSpan
		w.orders(func() string { return "" })
	}
}

// lastingWorld is a world of leased workers, one of which also has the only task of "lasting".
func lastingWorld(t require.TestingT) *world {
	w := newSpreadWorld(t)
	w.play(cottonlanding.Second)
	w.submit("longer", "Urgent", lasting(4, 1, 3000))
	w.play(cottonlanding.Second)
	w.submit("lasting", "Urgent", lasting(1, 1, 3000))
	w.play(cottonlanding.Second)
	require.Equal(t, 5, w.runner.Lasting())
	return w
}

// requireSingleRuns sends the late orders, and checks that nothing ran twice.
func (d *unresponsiveWorld) requireSingleRuns() {
	d.unanswered = nil
	for _, order := range d.late {
		_, _ = d.send(order)
	}
	for range 40 {
		d.turn()
	}
	require.Empty(d.t, d.runner.Violations())
}

// TestTaskLeavesWorkerThatIgnoresStarts guards against starts that are retried without end to a worker that answers
// polls and does not list the run, while others have room.
func TestTaskLeavesWorkerThatIgnoresStarts(t *testing.T) {
	w := lastingWorld(t)
	w.interruptLasting()
	d := newUnresponsiveWorld(w, planner.VerbStart)
	require.Less(t, d.downFor("lasting"), startWithin)
	d.requireSingleRuns()
}

// TestLostTaskLeavesWorkerThatIgnoresStarts guards against the same for a task that was lost with a silent worker
// before, so that little of its time is left.
func TestLostTaskLeavesWorkerThatIgnoresStarts(t *testing.T) {
	w := lastingWorld(t)
	at := slices.IndexFunc(w.workers, func(info cottonlanding.WorkerInfo) bool { return w.runner.RunsOn(info.ID) == 2 })
	w.runner.Crash(w.workers[at].ID)
	d := newUnresponsiveWorld(w, planner.VerbStart)
	require.Less(t, d.downFor("lasting"), startWithin)
	d.requireSingleRuns()
}

// TestTaskLeavesWorkerThatIgnoresOrders guards against a task that stays for good with a worker that answers polls,
// and neither starts nor stops.
func TestTaskLeavesWorkerThatIgnoresOrders(t *testing.T) {
	w := lastingWorld(t)
	w.interruptLasting()
	d := newUnresponsiveWorld(w, planner.VerbStart, planner.VerbStop)
	require.Less(t, d.downFor("lasting"), startWithin)
	d.requireSingleRuns()
}

// TestTaskLeavesWorkerThatRefusesLateStarts guards against starts that are retried without end to a worker that
// refuses them as too late, also those of short tasks, which nothing else moves.
func TestTaskLeavesWorkerThatRefusesLateStarts(t *testing.T) {
	for _, id := range []cottonlanding.WorkflowID{"lasting", "slow"} {
		t.Run(string(id), func(t *testing.T) {
			w := lastingWorld(t)
			w.interruptLasting()
			if id == "slow" {
				w.cell.Cancel("lasting", w.now, func(error) {})
				w.submit("slow", "Urgent", short(3000))
			}
			d := newUnresponsiveWorld(w, planner.VerbStart)
			d.err, d.errorDelay = cottonlanding.ErrLate, 0
			require.Less(t, d.downFor(id), 2*cottonlanding.Second)
			d.requireSingleRuns()
		})
	}
}

// TestLateStartIsRetried guards against a task that leaves its worker after one late start: the clock reading in
// the answer makes the next start one in time.
func TestLateStartIsRetried(t *testing.T) {
	w := lastingWorld(t)
	w.interruptLasting()
	d := newUnresponsiveWorld(w, planner.VerbStart)
	d.err, d.errorDelay = cottonlanding.ErrLate, 0
	for d.worker == "" {
		d.turn()
	}
	d.turn()
	d.unanswered = nil
	require.Less(t, d.downFor("lasting"), cottonlanding.Second)
	require.Equal(t, 6, w.runner.Starts())
	at := slices.IndexFunc(w.workers, func(info cottonlanding.WorkerInfo) bool { return info.ID == d.worker })
	require.Equal(t, 2, w.runner.RunsOn(w.workers[at].ID))
}

// TestQueuedStartKeepsItsWorker guards against a task that leaves its worker because its start has been queued in a
// busy owner for seconds. That says nothing about the worker, and the task would move without end.
func TestQueuedStartKeepsItsWorker(t *testing.T) {
	w := lastingWorld(t)
	w.interruptLasting()
	d := newUnresponsiveWorld(w, planner.VerbStart)
	d.errorDelay = startWithin
	for range 80 {
		d.turn()
	}
	require.Len(t, d.pending, 1)
	require.False(t, d.pending[0].Obsolete())
	require.Equal(t, d.worker, d.pending[0].Worker.Life.Worker)
}
