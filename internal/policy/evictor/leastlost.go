package evictor

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// LeastLost evicts first the task that would lose the least processor time, and among equals the one
// with the fewest evictions.
type LeastLost struct{}

// Order implements cottonlanding.EvictionPolicy.
func (LeastLost) Order(victims []cottonlanding.TaskView) {
	slices.SortFunc(victims, func(a, b cottonlanding.TaskView) int {
		return cmp.Or(
			cmp.Compare(lostWork(a), lostWork(b)),
			cmp.Compare(a.Evictions, b.Evictions),
			cmp.Compare(a.ID.Job, b.ID.Job),
			cmp.Compare(a.ID.Index, b.ID.Index),
		)
	})
}

func lostWork(task cottonlanding.TaskView) int64 {
	return int64(task.Ran) * int64(task.Resources.CPU)
}
