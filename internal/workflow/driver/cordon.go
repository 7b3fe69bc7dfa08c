package driver

import (
	"fmt"
	"sync/atomic"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// oldestReading is how old what is known of evacuations may be for a start to be sent. A
	// host in touch reads each one and a half seconds, and a reading counts from when it was
	// asked for; a start takes callTimeout at most: together less than the five seconds after
	// which a start in an evacuated data centre breaks the promise.
	oldestReading = 3500 * cottonlanding.Millis(1)
	// oldestList is the same for the list of workers, of which a start must not come later
	// than two seconds after it says that the worker leaves. A host in touch is at half a
	// second and a call; one that is behind with thousands of workers is seconds late.
	oldestList = 1500 * cottonlanding.Millis(1)
)

// cordon answers right before a start is sent whether it still may, by the newest lists and
// without the cell's lock: a decision may hold that for as long as it takes.
type cordon struct {
	clock       cottonlanding.Clock
	listWorkers func() ([]cottonlanding.WorkerInfo, bool)
	listedAt    func() cottonlanding.Millis
	evacuations func() cottonlanding.Evacuations
	leaving     atomic.Pointer[leavingWorkers]
}

// leavingWorkers holds who leaves by one list.
type leavingWorkers struct {
	list []cottonlanding.WorkerInfo
	ids  map[cottonlanding.WorkerID]bool
}

func newCordon(deps Dependencies) *cordon {
	return &cordon{clock: deps.Clock, listWorkers: deps.ListWorkers, listedAt: deps.ListedAt, evacuations: deps.Evacuations}
}

// ages is how old what is known is.
type ages struct {
	evacuations, list cottonlanding.Millis
}

func (c *cordon) ages() ages {
	return c.agesWith(c.evacuations())
}

// agesWith is ages for evacuations that were asked for already.
func (c *cordon) agesWith(evacuations cottonlanding.Evacuations) ages {
	now := c.clock.Now()
	return ages{evacuations: evacuations.Age(now), list: now - c.listedAt()}
}

// tooOld reports whether nothing may be started until it is read again.
func (a ages) tooOld() bool { return a.evacuations > oldestReading || a.list > oldestList }

// check returns planner.ErrUnwanted for a start that must not be sent any more, and ErrLate
// for one that has to wait for newer figures.
func (c *cordon) check(order planner.Order) error {
	evacuations := c.evacuations()
	if evacuations.Includes(order.DataCentre) {
		return fmt.Errorf("data centre %s is evacuated: %w", order.DataCentre, planner.ErrObsoleteStart)
	}
	if c.leaves(order.Worker.Life.Worker) {
		return fmt.Errorf("the worker is leaving: %w", planner.ErrObsoleteStart)
	}
	if known := c.agesWith(evacuations); known.tooOld() {
		return fmt.Errorf("%w: evacuations were read %s ago, the list %s", cottonlanding.ErrLate, known.evacuations, known.list)
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
