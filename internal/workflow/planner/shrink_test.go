package planner_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
)

// resize sets the CPU capacity of all workers.
func (w *world) resize(cpu cottonlanding.Millicores) {
	w.workers = slices.Clone(w.workers)
	for at := range w.workers {
		w.workers[at].Capacity.CPU = cpu
	}
	w.cell.SetWorkers(slices.Clone(w.workers), w.now)
}

// sendStarts sends the due orders and returns the CPU of the starts of each worker.
func (w *world) sendStarts() map[cottonlanding.WorkerID]cottonlanding.Millicores {
	out := make(map[cottonlanding.WorkerID]cottonlanding.Millicores)
	for _, order := range w.cell.Orders(w.now) {
		if order.Obsolete() {
			w.cell.OrderAnswered(order, 0, cottonlanding.ErrUnavailable, w.now)
			continue
		}
		before := w.runner.Starts()
		reading, err := w.send(order)
		if w.runner.Starts() > before {
			out[order.Worker.Life.Worker] += 2000
		}
		w.cell.OrderAnswered(order, reading, err, w.now)
	}
	return out
}

// TestStartsFitShrunkenCapacity guards against starts that exceed the last listed capacity of their worker. It shrinks
// the capacity and restores it repeatedly, while tasks are placed or committed, and over a change of the owner. All
// tasks must be done in the end.
func TestStartsFitShrunkenCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSpreadWorld(t)
		for range 4 {
			w.turn(turnSpan)
		}
		const whole = 8000
		w.submit("b", "Bulk", cottonlanding.Step{Tasks: 16, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}, Estimate: 500})
		placed := rapid.SampledFrom([]string{"placed", "committed"}).Draw(t, "When")
		w.makePlan()
		if placed == "committed" {
			w.commit()
		}
		room := cottonlanding.Millicores(rapid.SampledFrom([]int{4000, 2000, 0}).Draw(t, "Room"))
		w.resize(room)
		w.commit()
		w.makePlan()
		for id, cpu := range w.sendStarts() {
			require.LessOrEqual(t, cpu, room, "worker %s", id)
		}
		if rapid.Bool().Draw(t, "TakeOver") {
			w.takeOver()
		}
		for range rapid.IntRange(1, 3).Draw(t, "Series") {
			w.resize(whole)
			w.turn(turnSpan)
			w.resize(room)
			w.turn(turnSpan)
		}
		w.resize(whole)
		w.settle()
		state, _ := w.cell.State("b")
		require.Equal(t, cottonlanding.WorkflowSucceeded, state)
		require.Empty(t, w.runner.Violations())
	})
}
