package evictor

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// Youngest evicts first the task that has run for the shortest time. It is the baseline.
type Youngest struct{}

// Order implements cottonlanding.EvictionPolicy.
func (Youngest) Order(victims []cottonlanding.TaskView) {
	slices.SortFunc(victims, func(a, b cottonlanding.TaskView) int {
		return cmp.Or(
			cmp.Compare(a.Ran, b.Ran),
			cmp.Compare(a.ID.Job, b.ID.Job),
			cmp.Compare(a.ID.Index, b.ID.Index),
		)
	})
}
