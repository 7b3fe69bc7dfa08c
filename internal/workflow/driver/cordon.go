package driver

import (
	"fmt"
	"sync/atomic"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// oldestReading is how old what is known of evacuations may be for a start to be sent. A host
// in touch reads at least every two seconds, a start takes callTimeout at most: together less
// than the five seconds after which a start in an evacuated data centre breaks the promise.
const oldestReading = 3500 * cottonlanding.Millis(1)

// cordon answers right before a start is sent whether it still may, by the newest lists and
// without the cell's lock: a decision may hold that for as long as it takes.
type cordon struct {
	clock       cottonlanding.Clock
	listWorkers func() ([]cottonlanding.WorkerInfo, bool)
	evacuations func() cottonlanding.Evacuations
	leaving     atomic.Pointer[leavingWorkers]
}

// leavingWorkers holds who leaves by one list.
type leavingWorkers struct {
	list []cottonlanding.WorkerInfo
	ids  map[cottonlanding.WorkerID]bool
}

func newCordon(deps Dependencies) *cordon {
	return &cordon{clock: deps.Clock, listWorkers: deps.ListWorkers, evacuations: deps.Evacuations}
}

// check returns planner.ErrUnwanted for a start that must not be sent any more, and ErrLate
// for one that has to wait for newer figures.
func (c *cordon) check(order planner.Order) error {
	evacuations := c.evacuations()
	if evacuations.Cover(order.DataCentre) {
		return fmt.Errorf("data centre %s is evacuated: %w", order.DataCentre, planner.ErrUnwanted)
	}
	if age := evacuations.Age(c.clock.Now()); age > oldestReading {
		return fmt.Errorf("%w: what is known of evacuations is %s old", cottonlanding.ErrLate, age)
	}
	if c.leaves(order.Worker.Life.Worker) {
		return fmt.Errorf("the worker is leaving: %w", planner.ErrUnwanted)
	}
	return nil
}

// leaves reports whether a worker is leaving.
func (c *cordon) leaves(id cottonlanding.WorkerID) bool {
	list, known := c.listWorkers()
	if !known {
		return false
	}
	last := c.leaving.Load()
	if last == nil || !sameList(last.list, list) {
		last = &leavingWorkers{list: list, ids: make(map[cottonlanding.WorkerID]bool)}
		for _, info := range list {
			if info.State == cottonlanding.Leaving {
				last.ids[info.ID] = true
			}
		}
		c.leaving.Store(last)
	}
	return last.ids[id]
}
