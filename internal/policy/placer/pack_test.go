package placer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/placer"
)

// workers returns workers of 64 cores, every third of 96, with the given free processors.
func workers(free ...cottonlanding.Millicores) []cottonlanding.WorkerView {
	var out []cottonlanding.WorkerView
	for i, cpu := range free {
		capacity := cottonlanding.Resources{CPU: 64_000, Memory: 250 * cottonlanding.Gigabyte}
		if i%3 == 2 {
			capacity.CPU = 96_000
		}
		out = append(out, cottonlanding.WorkerView{Capacity: capacity, Free: cottonlanding.Resources{CPU: cpu, Memory: capacity.Memory}})
	}
	return out
}

// largestFreeAfter places tasks one by one where they fit, and returns the largest free capacity of a
// worker afterwards.
func largestFreeAfter(policy cottonlanding.PlacementPolicy, views []cottonlanding.WorkerView, tasks int, cpu cottonlanding.Millicores) cottonlanding.Millicores {
	task := cottonlanding.TaskView{Resources: cottonlanding.Resources{CPU: cpu}}
	for range tasks {
		var at []int
		var fitting []cottonlanding.WorkerView
		for i, view := range views {
			if view.Free.CPU >= cpu {
				at, fitting = append(at, i), append(fitting, view)
			}
		}
		views[at[policy.Place(task, fitting)]].Free.CPU -= cpu
	}
	largest := cottonlanding.Millicores(0)
	for _, view := range views {
		largest = max(largest, view.Free.CPU)
	}
	return largest
}

// TestPackLimitsFragmentation guards against short tasks that fragment the free capacity. Workers have
// 2 to 14 cores free beside lasting tasks; with five short tasks of 3 cores placed, a task of 12 cores
// still fits.
func TestPackLimitsFragmentation(t *testing.T) {
	free := []cottonlanding.Millicores{4000, 6000, 13_000, 3500, 14_000, 5000, 2000, 6500}
	require.GreaterOrEqual(t, largestFreeAfter(placer.Pack{}, workers(free...), 5, 3000), cottonlanding.Millicores(12_000))
	require.Less(t, largestFreeAfter(placer.Spread{}, workers(free...), 5, 3000), cottonlanding.Millicores(12_000), "Spread fragments all of it")
}

// TestPackPrefersLargeWorkers guards against filling a small worker before a large one with as much
// room.
func TestPackPrefersLargeWorkers(t *testing.T) {
	require.Equal(t, 2, placer.Pack{}.Place(cottonlanding.TaskView{Resources: cottonlanding.Resources{CPU: 13_000}}, workers(20_000, 20_000, 20_000)))
}
