package orderer

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// FIFO places the task first that has waited longest. It is the baseline.
type FIFO struct{}

// Order implements cottonlanding.AdmissionPolicy.
func (FIFO) Order(queued []cottonlanding.TaskView, _ []cottonlanding.TeamUsage) {
	slices.SortFunc(queued, compareQueued)
}

func compareQueued(a, b cottonlanding.TaskView) int {
	return cmp.Or(
		cmp.Compare(a.Queued, b.Queued),
		cmp.Compare(a.ID.Job, b.ID.Job),
		cmp.Compare(a.ID.Index, b.ID.Index),
	)
}
