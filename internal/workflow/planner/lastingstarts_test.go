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

// TestPlacedRunLeavesALeasedWorkerThatFallsSilent: a run whose start had not gone out when its worker fell silent waited
// until the worker's lease had surely run out, though nothing could begin there and others had room.
func TestPlacedRunLeavesALeasedWorkerThatFallsSilent(t *testing.T) {
	w := lastingWorld(t)
	w.leaveLasting()
	w.pollAll()
	w.makePlan()
	w.runner.Dark(w.plannedWorker("lasting"), true)
	w.pollAll()
	require.Less(t, w.downFor("lasting", 1, func() {}), cottonlanding.Second)
	require.Empty(t, w.runner.Violations())
}

const (
	// answerWithin is after how long an order counts as unanswered, lookEvery how often busy workers are looked at here.
	answerWithin = cottonlanding.Second
	lookEvery    = 850 * cottonlanding.Millis(1)
)

// deaf plays a cell one of whose workers answers looks and none of the orders of some verbs.
type deaf struct {
	*world
	// worker is the one that is deaf, the first that is given a start once deafened.
	worker cottonlanding.WorkerID
	// unanswered are the verbs whose orders get no answer, err what becomes of them.
	unanswered []planner.Verb
	err        error
	takes      cottonlanding.Millis
	pending    []planner.Order
	lookedAt   cottonlanding.Millis
}

// newDeaf returns a cell of which the worker that gets the next start answers no orders of some verbs.
func newDeaf(w *world, verbs ...planner.Verb) *deaf {
	return &deaf{world: w, unanswered: verbs, err: cottonlanding.ErrAmbiguous, takes: answerWithin}
}

func (d *deaf) hears(order planner.Order) bool {
	if d.worker == "" && order.Verb == planner.VerbStart {
		d.worker = order.Worker.Life.Worker
	}
	return order.Worker.Life.Worker != d.worker || !slices.Contains(d.unanswered, order.Verb)
}

// turn lets a turn pass. Orders that aren't heard are sent once they have got no answer.
func (d *deaf) turn() {
	d.now += turnSpan
	d.commit()
	for _, order := range d.cell.Orders(d.now) {
		order.SentAt = d.now
		if !d.hears(order) {
			d.pending = append(d.pending, order)
			continue
		}
		reading, err := d.send(order)
		d.cell.OrderAnswered(order, reading, err, d.now)
	}
	d.pending = slices.DeleteFunc(d.pending, func(order planner.Order) bool {
		if d.now-order.SentAt < d.takes {
			return false
		}
		if errors.Is(d.err, cottonlanding.ErrAmbiguous) {
			d.late = append(d.late, order)
		}
		d.cell.OrderAnswered(order, 0, d.err, d.now)
		return true
	})
	if d.now-d.lookedAt >= lookEvery {
		d.lookedAt = d.now
		d.pollAll()
	}
}

// downFor lets turns pass until a task of a workflow runs, or much longer than it may be down.
func (d *deaf) downFor(id cottonlanding.WorkflowID) cottonlanding.Millis {
	since := d.now
	for d.now-since < 3*startWithin && !d.runs(id, 0) {
		d.turn()
	}
	return d.now - since
}

// leaveLasting has the worker of the only task of "lasting" leave, and plays until its run has ended.
func (w *world) leaveLasting() {
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

// requireOnce sends what came late, and checks that nothing ran twice.
func (d *deaf) requireOnce() {
	d.unanswered = nil
	for _, order := range d.late {
		_, _ = d.send(order)
	}
	for range 40 {
		d.turn()
	}
	require.Empty(d.t, d.runner.Violations())
}

// TestLastingTaskLeavesAWorkerThatLeavesItsStartsUnanswered: starts to a worker that answered looks and didn't list the run
// were repeated without end, while others had room.
func TestLastingTaskLeavesAWorkerThatLeavesItsStartsUnanswered(t *testing.T) {
	w := lastingWorld(t)
	w.leaveLasting()
	d := newDeaf(w, planner.VerbStart)
	require.Less(t, d.downFor("lasting"), startWithin)
	d.requireOnce()
}

// TestLostLastingTaskLeavesAWorkerThatLeavesItsStartsUnanswered is the same for a task that was lost with a silent worker
// before, so that little of its time is left.
func TestLostLastingTaskLeavesAWorkerThatLeavesItsStartsUnanswered(t *testing.T) {
	w := lastingWorld(t)
	at := slices.IndexFunc(w.workers, func(info cottonlanding.WorkerInfo) bool { return w.runner.RunsOn(info.ID) == 2 })
	w.runner.Crash(w.workers[at].ID)
	d := newDeaf(w, planner.VerbStart)
	require.Less(t, d.downFor("lasting"), startWithin)
	d.requireOnce()
}

// TestLastingTaskLeavesAWorkerThatAnswersNoOrder: the task was tied for good to a worker that answered looks and
// neither starts nor stops.
func TestLastingTaskLeavesAWorkerThatAnswersNoOrder(t *testing.T) {
	w := lastingWorld(t)
	w.leaveLasting()
	d := newDeaf(w, planner.VerbStart, planner.VerbStop)
	require.Less(t, d.downFor("lasting"), startWithin)
	d.requireOnce()
}

// TestTaskLeavesAWorkerThatFindsItsStartsLate: starts that a worker refused as too late were repeated to it without end,
// those of short tasks as well, which nothing else moves.
func TestTaskLeavesAWorkerThatFindsItsStartsLate(t *testing.T) {
	for _, id := range []cottonlanding.WorkflowID{"lasting", "slow"} {
		t.Run(string(id), func(t *testing.T) {
			w := lastingWorld(t)
			w.leaveLasting()
			if id == "slow" {
				w.cell.Cancel("lasting", w.now, func(error) {})
				w.submit("slow", "Urgent", short(3000))
			}
			d := newDeaf(w, planner.VerbStart)
			d.err, d.takes = cottonlanding.ErrLate, 0
			require.Less(t, d.downFor(id), 2*cottonlanding.Second)
			d.requireOnce()
		})
	}
}

// TestStartThatIsLateOnceIsRepeated: the clock that comes with the answer makes the next start one in time.
func TestStartThatIsLateOnceIsRepeated(t *testing.T) {
	w := lastingWorld(t)
	w.leaveLasting()
	d := newDeaf(w, planner.VerbStart)
	d.err, d.takes = cottonlanding.ErrLate, 0
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

// TestStartThatWaitsBehindOthersKeepsItsWorker: a start that hasn't left a busy owner for seconds says nothing of its worker. To
// move the task each time it waits would be without end.
func TestStartThatWaitsBehindOthersKeepsItsWorker(t *testing.T) {
	w := lastingWorld(t)
	w.leaveLasting()
	d := newDeaf(w, planner.VerbStart)
	d.takes = startWithin
	for range 80 {
		d.turn()
	}
	require.Len(t, d.pending, 1)
	require.False(t, d.pending[0].Obsolete())
	require.Equal(t, d.worker, d.pending[0].Worker.Life.Worker)
}
