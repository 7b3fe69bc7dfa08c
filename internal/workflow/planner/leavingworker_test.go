package planner_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
)

// unlist removes a worker from the list; the worker itself keeps running.
func (w *world) unlist(number int) {
	w.cell.SetWorkers(slices.Delete(slices.Clone(w.workers), number, number+1), w.now)
}

// requireOrdersElsewhere plays some turns in which a worker must get no order.
func (w *world) requireOrdersElsewhere(number int) {
	for range 3 {
		w.now += turnSpan
		w.commit()
		for _, order := range w.cell.Orders(w.now) {
			require.NotEqual(w.t, w.workers[number].ID, order.Worker.Life.Worker, "%s of %s", order.Verb, order.Start.Task)
			reading, err := w.send(order)
			w.cell.OrderAnswered(order, reading, err, w.now)
		}
		w.pollAll()
	}
}

// TestUnlistedWorkerFinishesItsRuns plays a worker whose list entry is removed while it continues, as some do without
// announcing that they leave. It must get nothing new, its runs must end there, and no task may run twice.
func TestUnlistedWorkerFinishesItsRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSpreadWorld(t)
		w.submit("before", "Urgent", cottonlanding.Step{Tasks: 8, Estimate: 500,
			Resources: cottonlanding.Resources{CPU: 3000, Memory: cottonlanding.Gigabyte}})
		w.turn(turnSpan)
		w.turn(turnSpan)
		running := w.runner.Running()
		require.Equal(t, 8, running)
		w.unlist(0)
		w.submit("after", "Urgent", cottonlanding.Step{Tasks: 6, Estimate: 500,
			Resources: cottonlanding.Resources{CPU: 1000, Memory: cottonlanding.Gigabyte}})
		w.requireOrdersElsewhere(0)
		w.settle()
		for _, id := range []cottonlanding.WorkflowID{"before", "after"} {
			state, found := w.cell.State(id)
			require.True(t, found)
			require.Equal(t, cottonlanding.WorkflowSucceeded, state)
		}
		require.Empty(t, w.runner.Violations())
	})
}

// TestLeavingWorkerFinishesItsRuns plays a worker that has announced that it is leaving. It must get nothing new, and
// runs that end on their own may do so there.
func TestLeavingWorkerFinishesItsRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSpreadWorld(t)
		w.submit("before", "Urgent", cottonlanding.Step{Tasks: 4, Estimate: 500,
			Resources: cottonlanding.Resources{CPU: 3000, Memory: cottonlanding.Gigabyte}})
		w.turn(turnSpan)
		w.turn(turnSpan)
		require.Equal(t, 4, w.runner.Running())
		w.workers[0].State = cottonlanding.Leaving
		w.cell.SetWorkers(slices.Clone(w.workers), w.now)
		w.submit("after", "Urgent", cottonlanding.Step{Tasks: 6, Estimate: 500,
			Resources: cottonlanding.Resources{CPU: 1000, Memory: cottonlanding.Gigabyte}})
		w.requireOrdersElsewhere(0)
		w.settle()
		require.Empty(t, w.runner.Violations())
		state, _ := w.cell.State("before")
		require.Equal(t, cottonlanding.WorkflowSucceeded, state)
	})
}
