package referrer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cottonlanding/cottonlanding"
)

// minFree is the fraction of a cell's processors that serving workflows leave free as long as another
// cell has as much. Short tasks need about a tenth, and where serving tasks hold more than four fifths
// of the processors, many workers have to run several images, of which few filling images are
// tolerated: at most 57 of 220 workers at 63 to 80 % held, 150 at 92 %.
const minFree = 0.22

// ByImage gathers the serving workflows of one image in one cell while that has room, and refers all
// others by room. It is made for many serving images whose tasks fill four fifths of the workers. In a
// cell with all of them, bounds on the tasks per worker mix them on its workers, and a worker with
// several images tolerates few filling ones. Each pair of a serving and a filling image has to be learnt
// as well: with thirty filling images these are 480 for sixteen serving ones, and 90 for three.
type ByImage struct {
	others ByRoom
}

// Refer implements cottonlanding.ReferralPolicy.
func (b ByImage) Refer(workflow cottonlanding.Workflow, home cottonlanding.CellView, others []cottonlanding.CellView) (cottonlanding.CellNumber, bool) {
	image, serves := servingImage(workflow)
	if !serves {
		return b.others.Refer(workflow, home, others)
	}
	all := append([]cottonlanding.CellView{home}, others...)
	all = slices.DeleteFunc(all, func(view cottonlanding.CellView) bool { return !view.Usable })
	if len(all) == 0 {
		return 0, false
	}
	slices.SortFunc(all, func(a, b cottonlanding.CellView) int {
		return cmp.Or(cmp.Compare(rendezvousHash(image, b.Cell), rendezvousHash(image, a.Cell)), cmp.Compare(a.Cell, b.Cell))
	})
	chosen := all[0]
	for _, view := range all {
		if view.Free >= minFree {
			chosen = view
			break
		}
		if view.Free > chosen.Free {
			chosen = view
		}
	}
	return chosen.Cell, chosen.Cell != home.Cell
}

// rendezvousHash orders the cells for an image, in the same way at every home.
func rendezvousHash(image cottonlanding.Image, cell cottonlanding.CellNumber) uint64 {
	return xxhash.Sum64String(string(image) + "@" + cell.String())
}

func servingImage(workflow cottonlanding.Workflow) (cottonlanding.Image, bool) {
	for _, step := range workflow.Steps {
		if step.Serves() {
			return step.Image, true
		}
	}
	return "", false
}
