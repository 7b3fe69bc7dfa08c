package placer

import "github.com/cottonlanding/cottonlanding"

// Pack picks the worker with the smallest share of free processors, counting the task's own as free
// once more: large workers go before small ones with as little room. It is made for workers that
// lasting tasks almost fill, with little room on each: spread short tasks take the largest of it, and
// none is left for a large task. Best fit by what would be left does less well (docs/EXPERIMENTS.md).
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
