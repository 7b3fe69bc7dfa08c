package placer

import "github.com/cottonlanding/cottonlanding"

// Pack picks the worker of whose processors the smallest share is free, counting the
// task's own as free once more: large workers go before small ones with as little room.
// Its load is workers that lasting tasks fill almost, with small rooms everywhere: spread
// short tasks take the largest of those, and none is left for a large one. Plain best fit,
// by what would be left, does less well (docs/EXPERIMENTS.md).
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
