package referrer

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/cottonlanding/cottonlanding"
)

// minAdvantage is how much more room another cell must have, as a part of its workers. What is
// known of others is half a second old, in which work for about as much comes and goes.
const minAdvantage = 0.05

// ByRoom refers workflows to cells with more room than their home. Its load is lasting
// workflows that fill four fifths of the workers: by their ids alone, a fifth more of them
// fall on one cell than on another, so that one is full and one half empty. It is also a
// home whose workers are all out of reach.
type ByRoom struct{}

// Refer implements cottonlanding.ReferralPolicy. Cells are drawn by how much more room
// they have, so that not all that comes at once goes to the same; the draw follows from
// the workflow's id, so that decisions repeat.
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

// roomFor returns the room of a cell for a workflow's kind of tasks.
func roomFor(workflow cottonlanding.Workflow, view cottonlanding.CellView) float64 {
	for _, step := range workflow.Steps {
		if step.Fills {
			return view.Spare
		}
	}
	return view.Free
}
