package placer

import "github.com/cottonlanding/cottonlanding"

// Pack picks the worker with the smallest (free + task) / capacity, in processors. Adding the task's
// processors prefers the larger of two workers with the same share of free ones. Pack is made for
// workers that lasting tasks almost fill: short tasks that are spread would use up the largest gaps and
// leave none for a large task. Best fit by what would be left does less well (docs/EXPERIMENTS.md).
type Pack struct{}

// Place implements cottonlanding.PlacementPolicy.
func (Pack) Place(task cottonlanding.TaskView, candidates []cottonlanding.WorkerView) int {
	best, least := cottonlanding.NoWorker, 0.0
	for i, candidate := range candidates {
		free := ratio(int64(candidate.Free.CPU+task.Resources.CPU), int64(candidate.Capacity.CPU))
		if best == cottonlanding.NoWorker || free < least {
			best, least = i, free
		}
	}
	return best
}
