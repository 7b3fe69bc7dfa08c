package planner_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// oddWorkers are workers of which another writer left entries: nobody answers at their addresses, whatever room they
// claim.
func oddWorkers(count int) []cottonlanding.WorkerInfo {
	var out []cottonlanding.WorkerInfo
	for number := range count {
		out = append(out, cottonlanding.WorkerInfo{
			ID: cottonlanding.WorkerID(fmt.Sprintf("odd%d", number)), Address: cottonlanding.Address(fmt.Sprintf("odd%d:1", number)),
			DataCentre: "d1", Rack: "r1-1", Service: "S", State: cottonlanding.Live,
			Capacity: cottonlanding.Resources{CPU: cottonlanding.MaxDeclaredCPU - 1, Memory: cottonlanding.MaxDeclaredMemory - 1,
				Accelerators: cottonlanding.MaxDeclaredAccelerators - 1},
		})
	}
	return out
}

// TestOddWorkersAttractNothing guards against entries of workers that don't exist, with the largest capacity, because of
// which tasks wait or run later than without them.
func TestOddWorkersAttractNothing(t *testing.T) {
	play := func(odd int) (doneAt map[cottonlanding.WorkflowID]cottonlanding.Millis) {
		w := newWorld(t)
		w.workers = append(w.workers, oddWorkers(odd)...)
		w.cell.SetWorkers(w.workers, w.now)
		doneAt = make(map[cottonlanding.WorkflowID]cottonlanding.Millis)
		filling := shortStep()
		filling.Fills, filling.Image = true, "f"
		serving := shortStep()
		serving.Lasting, serving.Image, serving.LatencyTarget = true, "s", 500
		for number := range 12 {
			w.submit(cottonlanding.WorkflowID(fmt.Sprintf("b%d", number)), "Urgent", shortStep())
		}
		w.submit("filling", "Bulk", filling)
		w.submit("lserving", "Bulk", serving)
		for range 300 {
			w.turn(100)
			for id := range w.accepted {
				if state, _ := w.cell.State(id); state.Final() && doneAt[id] == 0 {
					doneAt[id] = w.now
				}
			}
		}
		require.Empty(t, w.runner.Violations())
		require.Len(t, doneAt, 13, "all but the lasting workflow are done")
		require.Equal(t, 2, w.runner.Lasting())
		return doneAt
	}
	without := play(0)
	for _, odd := range []int{1, 40} {
		for id, at := range play(odd) {
			require.LessOrEqual(t, at, without[id]+cottonlanding.Second, "workflow %s beside %d odd workers", id, odd)
		}
	}
}
