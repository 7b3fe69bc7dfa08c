package planner_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// firstBirth is the birth of the first life of every worker that reports births.
const firstBirth cottonlanding.Birth = 1_750_000_000_000

// quick returns a step of tasks that run for a fraction of a second.
func quick(tasks int) cottonlanding.Step {
	return cottonlanding.Step{Tasks: tasks, Estimate: 300, Resources: cottonlanding.Resources{CPU: 1000, Memory: cottonlanding.Gigabyte}}
}

// quickOn is quick for tasks that only workers with a label may run.
func quickOn(label cottonlanding.Label, tasks int) cottonlanding.Step {
	step := quick(tasks)
	step.Requires = label
	return step
}

// restartWorker crashes a worker, which is back at once under its id and address with another birth and has written
// its entry.
func (w *world) restartWorker(number int) {
	info := &w.workers[number]
	if info.Born == 0 {
		info.Born = firstBirth
	}
	info.Born += 1000
	w.runner.Rebirth(info.ID, info.Address, info.Born)
}

// dropLateOrders forgets the late orders that were given to an ended life, because a worker loses delayed orders when
// it crashes.
func (w *world) dropLateOrders() {
	w.late = slices.DeleteFunc(w.late, func(order planner.Order) bool {
		at := slices.IndexFunc(w.workers, func(info cottonlanding.WorkerInfo) bool { return info.ID == order.Worker.Life.Worker })
		return w.workers[at].Born > order.Worker.Life.Born
	})
}

// relist publishes the current entries.
func (w *world) relist() {
	w.workers = append([]cottonlanding.WorkerInfo(nil), w.workers...)
	w.cell.SetWorkers(w.workers, w.now)
}

// stableAfter is how long a life must have lasted for its end to count against a task.
const stableAfter = 10 * cottonlanding.Second

// newWorldWithBirths returns a world whose workers report births some time ago, each labelled with its id.
func newWorldWithBirths(t require.TestingT) *world {
	w := newSpreadWorld(t)
	for at := range w.workers {
		w.workers[at].Labels = []cottonlanding.Label{cottonlanding.Label(w.workers[at].ID)}
		w.restartWorker(at)
	}
	w.now += stableAfter
	w.takeOver()
	for range 3 {
		w.turn(turnSpan)
	}
	return w
}

// TestEndsOfNextLifeAreRecorded guards against starting tasks again that were done on a restarted worker. A worker
// that crashes and is back under its id numbers its ends from 1 again. The owner kept the number of the last recorded
// end by worker id, so that it skipped the ends of the new life, took the missing runs for gone and started their
// tasks again, and its next poll told the worker that those ends were recorded.
func TestEndsOfNextLifeAreRecorded(t *testing.T) {
	w := newWorldWithBirths(t)
	w.submit("before", "Urgent", quick(20))
	w.play(5 * cottonlanding.Second)
	w.restartWorker(0)
	w.relist()
	w.play(cottonlanding.Second)
	w.submit("after", "Urgent", quickOn("w1", 5))
	w.play(5 * cottonlanding.Second)
	require.Empty(t, w.runner.Violations())
	state, _ := w.cell.State("after")
	require.Equal(t, cottonlanding.WorkflowSucceeded, state)
}

// TestTaskOnRestartedWorkerIsDone guards against starting a task again and again on a restarted worker, from the same
// cause: each repeat adds one end, until the numbers of the new life have caught up with those of the previous one. One
// start must do, also for a task that only that worker may run.
func TestTaskOnRestartedWorkerIsDone(t *testing.T) {
	w := newWorldWithBirths(t)
	w.submit("before", "Urgent", quickOn("w1", 40))
	w.play(60 * cottonlanding.Second)
	state, _ := w.cell.State("before")
	require.Equal(t, cottonlanding.WorkflowSucceeded, state)
	w.restartWorker(0)
	w.relist()
	w.play(cottonlanding.Second)
	before := w.runner.Starts()
	w.submit("after", "Urgent", quickOn("w1", 1))
	w.play(10 * cottonlanding.Second)
	state, _ = w.cell.State("after")
	require.Equal(t, cottonlanding.WorkflowSucceeded, state, "after %d starts", w.runner.Starts()-before)
	require.Equal(t, 1, w.runner.Starts()-before)
}

// TestRestartsAmongFaults ends lives at random, which are back under their ids at once or later, with lost and late
// orders and answers, silent workers, entries that are read late and changes of owner. No task may run twice, and
// every accepted workflow must end.
func TestRestartsAmongFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorldWithBirths(t)
		w.runner.CutLeases(w.timing.Lease + 4*cottonlanding.Second)
		w.timing.MaxLease = w.timing.Lease + 4*cottonlanding.Second
		w.takeOver()
		submitted := 0
		fault := func() string {
			return rapid.SampledFrom([]string{"", "", "", "lost", "late", "unanswered"}).Draw(t, "Fault")
		}
		worker := func() int { return rapid.IntRange(0, len(w.workers)-1).Draw(t, "Worker") }
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				submitted++
				w.submit(cottonlanding.WorkflowID(fmt.Sprintf("b%d", submitted)), "Urgent", quick(rapid.IntRange(1, 4).Draw(t, "Tasks")))
			},
			"wait":   func(t *rapid.T) { w.now += cottonlanding.Millis(rapid.IntRange(10, 1500).Draw(t, "Wait")) },
			"commit": func(*rapid.T) { w.commit() },
			"orders": func(*rapid.T) { w.orders(fault) },
			"rebirth": func(*rapid.T) {
				w.restartWorker(worker())
				w.dropLateOrders()
			},
			"relist":  func(*rapid.T) { w.relist() },
			"look":    func(t *rapid.T) { w.poll(w.workers[worker()].ID, rapid.IntRange(0, 3).Draw(t, "Answered") > 0) },
			"lookAll": func(*rapid.T) { w.pollAll() },
			"dark":    func(t *rapid.T) { w.runner.Dark(w.workers[worker()].ID, rapid.Bool().Draw(t, "Dark")) },
			"takeOver": func(*rapid.T) {
				w.takeOver()
			},
			"late": func(t *rapid.T) {
				if len(w.late) > 0 {
					at := rapid.IntRange(0, len(w.late)-1).Draw(t, "Which")
					_, _ = w.send(w.late[at])
					w.late = slices.Delete(w.late, at, at+1)
				}
			},
			"": func(t *rapid.T) { require.Empty(t, w.runner.Violations()) },
		})
		for _, worker := range w.workers {
			w.runner.Dark(worker.ID, false)
		}
		w.relist()
		w.settle()
		require.Empty(t, w.runner.Violations())
		require.Zero(t, w.runner.Running())
		for id := range w.accepted {
			state, found := w.cell.State(id)
			require.True(t, found, "workflow %s is lost", id)
			require.True(t, state.Final(), "workflow %s is still %s", id, state)
		}
	})
}
