package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// pendingStarts returns the starts of a workflow that the cell has handed out and that are still to be sent, as
// behind other orders to the same worker.
func pendingStarts(w *world) []planner.Order {
	w.turn(100)
	w.turn(100)
	w.submit("w", "Bulk", cottonlanding.Step{Tasks: 3, Resources: cottonlanding.Resources{CPU: 1000}})
	w.now += 100
	w.commit()
	orders := w.cell.Orders(w.now)
	require.NotEmpty(w.t, orders)
	for _, order := range orders {
		require.Equal(w.t, planner.VerbStart, order.Verb)
		require.False(w.t, order.Obsolete())
	}
	return orders
}

// TestStartToLeavingWorkerIsObsolete guards against sending a queued start after its worker is known to leave.
func TestStartToLeavingWorkerIsObsolete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		orders := pendingStarts(w)
		for i := range w.workers {
			w.workers[i].State = cottonlanding.Leaving
		}
		w.cell.SetWorkers(w.workers, w.now)
		w.now += 100
		w.commit()
		for _, order := range orders {
			require.True(t, order.Obsolete(), "the start to a leaving worker is still valid")
		}
	})
}
