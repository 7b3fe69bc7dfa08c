package driver

import (
	"fmt"
	"sync/atomic"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// maxEvacuationsAge is how old the list of evacuations may be when a start is sent. A connected host reads the list
	// every 1.5 s, and its age counts from the request. This age and a start, which takes at most callTimeout, are
	// together less than the 5 s after which nothing may start in an evacuated data centre.
	maxEvacuationsAge = 3500 * cottonlanding.Millis(1)
	// maxWorkerListAge is how old the list of workers may be when a start is sent, so that no start is sent later than
	// 2 s after its worker is listed as leaving; it may arrive up to callTimeout later. The list of a connected host is
	// up to 0.5 s and a call old; that of a host which lags behind with thousands of workers is seconds old.
	maxWorkerListAge = 1500 * cottonlanding.Millis(1)
)

// startValidator checks right before a start is sent whether it is still allowed. It uses the newest lists and doesn't
// take the cell's lock, which a decision may hold for long.
type startValidator struct {
	clock       cottonlanding.Clock
	listWorkers func() ([]cottonlanding.WorkerInfo, bool)
	listedAt    func() cottonlanding.Millis
	evacuations func() cottonlanding.Evacuations
	leaving     atomic.Pointer[leavingWorkers]
}

// leavingWorkers holds the ids of the leaving workers of one list.
type leavingWorkers struct {
	list []cottonlanding.WorkerInfo
	ids  map[cottonlanding.WorkerID]bool
}

func newStartValidator(deps Dependencies) *startValidator {
	return &startValidator{clock: deps.Clock, listWorkers: deps.ListWorkers, listedAt: deps.ListedAt, evacuations: deps.Evacuations}
}

// dataAges holds the ages of the data that starts depend on.
type dataAges struct {
	evacuations, list cottonlanding.Millis
}

func (v *startValidator) dataAges() dataAges {
	return v.dataAgesFor(v.evacuations())
}

// dataAgesFor is dataAges for evacuations that were read already.
func (v *startValidator) dataAgesFor(evacuations cottonlanding.Evacuations) dataAges {
	now := v.clock.Now()
	return dataAges{evacuations: evacuations.Age(now), list: now - v.listedAt()}
}

// stale reports whether starts have to wait until the data is read again.
func (a dataAges) stale() bool { return a.evacuations > maxEvacuationsAge || a.list > maxWorkerListAge }

// check returns planner.ErrObsoleteStart for a start that must not be sent any more, and ErrLate for one that has to
// wait for newer data.
func (v *startValidator) check(order planner.Order) error {
	evacuations := v.evacuations()
	if evacuations.Includes(order.DataCentre) {
		return fmt.Errorf("data centre %s is evacuated: %w", order.DataCentre, planner.ErrObsoleteStart)
	}
	if v.isLeaving(order.Worker.Life.Worker) {
		return fmt.Errorf("the worker is leaving: %w", planner.ErrObsoleteStart)
	}
	if age := v.dataAgesFor(evacuations); age.stale() {
		return fmt.Errorf("%w: evacuations were read %s ago, the list of workers %s ago", cottonlanding.ErrLate, age.evacuations, age.list)
	}
	return nil
}

// isLeaving reports whether the newest list shows a worker as leaving.
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
