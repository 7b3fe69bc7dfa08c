package placer

import "github.com/cottonlanding/cottonlanding"

// FirstFit picks the first worker. It is the baseline.
type FirstFit struct{}

// Place implements cottonlanding.PlacementPolicy.
func (FirstFit) Place(_ cottonlanding.TaskView, candidates []cottonlanding.WorkerView) int {
	if len(candidates) == 0 {
		return cottonlanding.NoWorker
	}
	return 0
}
