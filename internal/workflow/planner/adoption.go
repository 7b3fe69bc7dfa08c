package planner

import (
	"maps"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// adoption is a life that may have adopted leases from calls to an earlier one, and the instant by which they end. The
// zero value is none.
type adoption struct {
	born  cottonlanding.Birth
	until cottonlanding.Millis
}

// adoptedLease is the stored form of an adoption.
type adoptedLease struct {
	Born  cottonlanding.Birth
	Until cottonlanding.TableInstant
}

const (
	// maxAdoptionsBytes bounds the size of the adopted leases in the row. The lives that are left out get no start until
	// theirs have ended.
	maxAdoptionsBytes = 20 * 1024
	// adoptionOverheadBytes is the size of an adopted lease without the worker's id.
	adoptionOverheadBytes = 52
	// adoptionTolerance is by how much the stored end of adopted leases may be later than needed.
	adoptionTolerance = cottonlanding.Second
)

// requiredAdoptions returns the adopted leases that the row should hold.
func (c *Cell) requiredAdoptions(now cottonlanding.Millis) map[cottonlanding.WorkerID]adoption {
	out := make(map[cottonlanding.WorkerID]adoption)
	if c.bounds.clock == nil {
		return out
	}
	size := 0
	add := func(id cottonlanding.WorkerID, adopted adoption) {
		if adopted.until <= now {
			return
		}
		if size += len(id) + adoptionOverheadBytes; size <= maxAdoptionsBytes {
			out[id] = adopted
		}
	}
	for _, w := range c.sortedWorkers() {
		add(w.info.ID, w.adopted)
	}
	for _, id := range slices.Sorted(maps.Keys(c.forgotten)) {
		if c.workers[id] == nil {
			add(id, c.forgotten[id].adopted)
		}
	}
	return out
}

// adoptionsRow returns the stored form of adopted leases.
func (c *Cell) adoptionsRow(adoptions map[cottonlanding.WorkerID]adoption) map[cottonlanding.WorkerID]adoptedLease {
	out := make(map[cottonlanding.WorkerID]adoptedLease, len(adoptions))
	for id, adopted := range adoptions {
		out[id] = adoptedLease{adopted.born, c.bounds.clock.Latest(adopted.until)}
	}
	return out
}

// covers reports whether stored leases are those of the same life and end no earlier than needed.
func (a adoption) covers(needed adoption) bool {
	return a.born == needed.born && a.until >= needed.until
}

// adoptionsChanged reports whether the row doesn't hold the adopted leases that it should, or much longer ones.
func (c *Cell) adoptionsChanged(now cottonlanding.Millis) bool {
	for id, needed := range c.requiredAdoptions(now) {
		if stored := c.bounds.adoptions[id]; !stored.covers(needed) || stored.until > needed.until+adoptionTolerance {
			return true
		}
	}
	return false
}

// adoptionStored reports whether a successor knows until when the worker's life may hold adopted leases.
func (c *Cell) adoptionStored(w *worker, now cottonlanding.Millis) bool {
	return w.adopted.until <= now || c.bounds.adoptions[w.info.ID].covers(w.adopted)
}

// loadAdoptions loads the adopted leases of a row that an earlier owner has written.
func (c *Cell) loadAdoptions(written boundsRow, now cottonlanding.Millis) {
	c.bounds.adoptions = make(map[cottonlanding.WorkerID]adoption)
	if c.bounds.adoptionsUnknown = !c.boundsUsable(written, c.setup.AdoptionsKeptSince, now); c.bounds.adoptionsUnknown {
		return
	}
	for id, lease := range written.Adopted {
		c.bounds.adoptions[id] = adoption{lease.Born, c.bounds.clock.Until(lease.Until)}
	}
}

// adoptedExtension returns by how much longer than a granted lease an adopted one may last.
func (c *Cell) adoptedExtension() cottonlanding.Millis {
	return max(0, c.timing.MaxLease-c.timing.Lease)
}

// inheritAdoption extends the bound of a worker by the leases that its life may have adopted under earlier owners.
func (c *Cell) inheritAdoption(w *worker, now cottonlanding.Millis) {
	if c.bounds.adoptionsUnknown {
		w.bound.until += c.adoptedExtension()
		w.adopted = adoption{until: w.bound.until} // the next owner must know
		return
	}
	adopted := c.bounds.adoptions[w.info.ID]
	if before, found := c.forgotten[w.info.ID]; found {
		adopted = before.adopted
	}
	if adopted.until > now {
		w.adopted = adopted
		w.bound = w.bound.latest(bound{adopted.until, boundByNextLife, c.bounds.epoch, now})
	}
}
