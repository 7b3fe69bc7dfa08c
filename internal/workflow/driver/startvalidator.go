package driver

import (
	"fmt"
	"sync/atomic"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// maxEvacuationsAge is how old what is known of evacuations may be for a start to be sent. A
	// host in touch reads each one and a half seconds, and a reading counts from when it was
	// asked for; a start takes callTimeout at most: together less than the five seconds after
	// which a start in an evacuated data centre breaks the promise.
	maxEvacuationsAge = 3500 * cottonlanding.Millis(1)
	// maxWorkerListAge is the same for the list of workers, of which a start must not come later
	// than two seconds after it says that the worker leaves. A host in touch is at half a
	// second and a call; one that is behind with thousands of workers is seconds late.
	maxWorkerListAge = 1500 * cottonlanding.Millis(1)
)

// startValidator answers right before a start is sent whether it still may, by the newest lists and
// without the cell's lock: a decision may hold that for as long as it takes.
type startValidator struct {
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

func newStartValidator(deps Dependencies) *startValidator {
	return &startValidator{clock: deps.Clock, listWorkers: deps.ListWorkers, listedAt: deps.ListedAt, evacuations: deps.Evacuations}
}

// dataAges is how old what is known is.
type dataAges struct {
	evacuations, list cottonlanding.Millis
}

func (v *startValidator) dataAges() dataAges {
	return v.dataAgesFor(v.evacuations())
}

// dataAgesFor is ages for evacuations that were asked for already.
func (v *startValidator) dataAgesFor(evacuations cottonlanding.Evacuations) dataAges {
	now := v.clock.Now()
	return dataAges{evacuations: evacuations.Age(now), list: now - v.listedAt()}
}

// stale reports whether nothing may be started until it is read again.
func (a dataAges) stale() bool { return a.evacuations > maxEvacuationsAge || a.list > maxWorkerListAge }

// check returns planner.ErrUnwanted for a start that must not be sent any more, and ErrLate
// for one that has to wait for newer figures.
func (v *startValidator) check(order planner.Order) error {
	evacuations := v.evacuations()
	if evacuations.Includes(order.DataCentre) {
		return fmt.Errorf("data centre %s is evacuated: %w", order.DataCentre, planner.ErrObsoleteStart)
	}
	if v.isLeaving(order.Worker.Life.Worker) {
		return fmt.Errorf("the worker is leaving: %w", planner.ErrObsoleteStart)
	}
	if age := v.dataAgesFor(evacuations); age.stale() {
		return fmt.Errorf("%w: evacuations were read %s ago, the list %s", cottonlanding.ErrLate, age.evacuations, age.list)
	}
	return nil
}

// isLeaving reports whether a worker is leaving.
func (v *startValidator) isLeaving(id cottonlanding.WorkerID) bool {
	list, known := v.listWorkers()
	if !known {
		return false
	}
	cached := v.leaving.Load()
	if cached == nil || !sameList(cached.list, list) {
		cached = &leavingWorkers{list: list, ids: make(map[cottonlanding.WorkerID]bool)}
		for _, info := range list {
			if info.State == cottonlanding.Leaving {
				cached.ids[info.ID] = true
			}
		}
		v.leaving.Store(cached)
	}
	return cached.ids[id]
}
