package referrer

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/cottonlanding/cottonlanding"
)

// minAdvantage is how much more room another cell must have, as a fraction of its processors. Reports
// of other cells are half a second old, in which work for about as much comes and goes.
const minAdvantage = 0.05

// ByRoom refers workflows to cells with more room than their home. It is made for lasting workflows
// that fill four fifths of the workers: by their ids alone, a fifth more of them fall on one cell than
// on another, so that one is full and one half empty. It also serves a home whose workers are all
// unreachable.
type ByRoom struct{}

// Refer implements cottonlanding.ReferralPolicy. It draws a cell with the additional room as the
// weight, so that workflows that arrive together don't all go to one cell. The draw is a hash of the
// workflow's id, so that decisions are reproducible.
func (ByRoom) Refer(workflow cottonlanding.Workflow, home cottonlanding.CellView, others []cottonlanding.CellView) (cottonlanding.CellNumber, bool) {
	weights, sum := make([]float64, len(others)), 0.0
	for at, other := range others {
		if advantage := roomFor(workflow, other) - roomFor(workflow, home); other.Usable && (advantage > minAdvantage || !home.Usable) {
			weights[at] = max(advantage, minAdvantage)
			sum += weights[at]
		}
	}
	if sum == 0 {
		return 0, false
	}
	if home.Usable {
		sum += minAdvantage
	}
	draw := sum * float64(xxhash.Sum64String("refer "+string(workflow.ID))) / math.MaxUint64
	for at, weight := range weights {
		if draw -= weight; weight > 0 && draw < 0 {
			return others[at].Cell, true
		}
	}
	return 0, false
}

// roomFor returns the free capacity of a cell for the kind of tasks of a workflow.
func roomFor(workflow cottonlanding.Workflow, view cottonlanding.CellView) float64 {
	for _, step := range workflow.Steps {
		if step.Fills {
			return view.Spare
		}
	}
	return view.Free
}
