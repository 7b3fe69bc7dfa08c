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

// plannedWorker returns the worker on which the plan under way places the first task of a workflow.
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

// TestUnstartedRunLeavesSilentWorker: a run whose start had not gone out when its worker fell silent waited
// until the worker's lease had surely run out, though nothing could begin there and others had room.
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
	// orderTimeout is after how long an order counts as unanswered, lookEvery how often busy workers are looked at here.
	orderTimeout = cottonlanding.Second
	pollInterval = 850 * cottonlanding.Millis(1)
)

// unresponsiveWorld plays a cell one of whose workers answers looks and none of the orders of some verbs.
type unresponsiveWorld struct {
	*world
	// worker is the one that is deaf, the first that is given a start once deafened.
	worker cottonlanding.WorkerID
	// unanswered are the verbs whose orders get no answer, err what becomes of them.
	unanswered []planner.Verb
	err        error
	errorDelay cottonlanding.Millis
	pending    []planner.Order
	polledAt   cottonlanding.Millis
}

// newUnresponsiveWorld returns a cell of which the worker that gets the next start answers no orders of some verbs.
func newUnresponsiveWorld(w *world, verbs ...planner.Verb) *unresponsiveWorld {
	return &unresponsiveWorld{world: w, unanswered: verbs, err: cottonlanding.ErrAmbiguous, errorDelay: orderTimeout}
}

func (d *unresponsiveWorld) answers(order planner.Order) bool {
	if d.worker == "" && order.Verb == planner.VerbStart {
		d.worker = order.Worker.Life.Worker
	}
	return order.Worker.Life.Worker != d.worker || !slices.Contains(d.unanswered, order.Verb)
}

// turn lets a turn pass. Orders that aren't heard are sent once they have got no answer.
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

// downFor lets turns pass until a task of a workflow runs, or much longer than it may be down.
func (d *unresponsiveWorld) downFor(id cottonlanding.WorkflowID) cottonlanding.Millis {
	since := d.now
	for d.now-since < 3*startWithin && !d.runs(id, 0) {
		d.turn()
	}
	return d.now - since
}

// interruptLasting has the worker of the only task of "lasting" leave, and plays until its run has ended.
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

// lastingWorld is a cell of leased workers, one of which also has the only task of "lasting".
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

// requireSingleRuns sends what came late, and checks that nothing ran twice.
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

// TestTaskLeavesWorkerThatIgnoresStarts: starts to a worker that answered looks and didn't list the run
// were repeated without end, while others had room.
func TestTaskLeavesWorkerThatIgnoresStarts(t *testing.T) {
	w := lastingWorld(t)
	w.interruptLasting()
	d := newUnresponsiveWorld(w, planner.VerbStart)
	require.Less(t, d.downFor("lasting"), startWithin)
	d.requireSingleRuns()
}

// TestLostTaskLeavesWorkerThatIgnoresStarts is the same for a task that was lost with a silent worker
// before, so that little of its time is left.
func TestLostTaskLeavesWorkerThatIgnoresStarts(t *testing.T) {
	w := lastingWorld(t)
	at := slices.IndexFunc(w.workers, func(info cottonlanding.WorkerInfo) bool { return w.runner.RunsOn(info.ID) == 2 })
	w.runner.Crash(w.workers[at].ID)
	d := newUnresponsiveWorld(w, planner.VerbStart)
	require.Less(t, d.downFor("lasting"), startWithin)
	d.requireSingleRuns()
}

// TestTaskLeavesWorkerThatIgnoresOrders: the task was tied for good to a worker that answered looks and
// neither starts nor stops.
func TestTaskLeavesWorkerThatIgnoresOrders(t *testing.T) {
	w := lastingWorld(t)
	w.interruptLasting()
	d := newUnresponsiveWorld(w, planner.VerbStart, planner.VerbStop)
	require.Less(t, d.downFor("lasting"), startWithin)
	d.requireSingleRuns()
}

// TestTaskLeavesWorkerThatRefusesLateStarts: starts that a worker refused as too late were repeated to it without end,
// those of short tasks as well, which nothing else moves.
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

// TestLateStartIsRetried: the clock that comes with the answer makes the next start one in time.
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

// TestQueuedStartKeepsItsWorker: a start that hasn't left a busy owner for seconds says nothing of its worker. To
// move the task each time it waits would be without end.
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
