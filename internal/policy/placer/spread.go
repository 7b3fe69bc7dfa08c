package placer

import "github.com/cottonlanding/cottonlanding"

// Spread picks the worker whose most used resource would be the least used.
type Spread struct{}

// Place implements cottonlanding.PlacementPolicy.
func (Spread) Place(task cottonlanding.TaskView, candidates []cottonlanding.WorkerView) int {
	best, lowest := cottonlanding.NoWorker, 0.0
	for i, candidate := range candidates {
		used := candidate.Capacity.Minus(candidate.Free).Plus(task.Resources)
		utilization := maxUtilization(used, candidate.Capacity)
		if best == cottonlanding.NoWorker || utilization < lowest {
			best, lowest = i, utilization
		}
	}
	return best
}

// maxUtilization returns the largest share of any resource that is in use.
func maxUtilization(used, capacity cottonlanding.Resources) float64 {
	return max(
		ratio(int64(used.CPU), int64(capacity.CPU)),
		ratio(int64(used.Memory), int64(capacity.Memory)),
		ratio(int64(used.Accelerators), int64(capacity.Accelerators)),
	)
}

func ratio(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}
