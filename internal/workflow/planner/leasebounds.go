package planner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A worker that falls silent is granted nothing more, so that its owner knows until when its leases
// last. The next owner knows only that the one before may have renewed them until its own end, and
// would wait for a whole lease from there: each change of owner would begin the wait of the tasks
// anew that were lost with the worker. So an owner writes the bounds of silent workers down, by the
// table's clock.
//
// The leases of an owner last for LeaseTail after it surely owned the cell at most, so that the next
// one needn't count on a whole lease from the last renewal of one that was cut off.
//
// While a bound stands, the worker is granted no lease: an owner that hears from the worker first
// takes the bound off. Owners of older code don't know of the row and grant leases all the same, so that
// a row is used only if all owners since know of it.

const (
	// boundDelay is how long a worker is silent before its bound is written: a look that fails once
	// costs no writes, and holds up no renewal.
	boundDelay = pollRetryInterval
	// maxBounds is how many bounds are written at most. Later owners wait for the others' whole leases.
	maxBounds = 400
	// maxBoundsBytes bounds the row.
	maxBoundsBytes = 32 * 1024
	// boundOverheadBytes is what a bound takes besides the worker's id.
	boundOverheadBytes = 24
)

// boundsRow is the value of the row of lease bounds.
type boundsRow struct {
	// Epoch is that of the owner which wrote it.
	Epoch cottonlanding.Epoch
	// Written is what the table's clock showed at least.
	Written cottonlanding.TableInstant
	// Older is when the leases of all owners before that one have ended, zero if its own may last for longer than
	// LeaseTail.
	Older cottonlanding.TableInstant `json:",omitempty"`
	Until map[cottonlanding.WorkerID]cottonlanding.TableInstant
	// Down is since when lasting tasks are down.
	Down downInstants `json:",omitempty"`
}

// leaseBounds are the bounds that are written.
type leaseBounds struct {
	// clock is the newest reading of the table's clock, nil while there is none.
	clock *cottonlanding.TableReading
	// stored is what the row holds, planned what it will hold once the plan under way is committed, nil if
	// that leaves it as it is.
	stored, planned map[cottonlanding.WorkerID]cottonlanding.TableInstant
	// version is that of the row, epoch that of the owner which wrote it.
	version cottonlanding.Version
	epoch   cottonlanding.Epoch
	// older is when the leases of all owners before have ended, zero if nothing is known but BeforeUntil. ownedUntil is
	// until when this owner surely owns the cell, zero if it wasn't told.
	older, ownedUntil cottonlanding.Millis
	// down is what the row holds of tasks that are down.
	down downRecord
	// tableSlow says that commits take long: a bound couldn't be taken off in time for the next lease.
	tableSlow bool
	// unusable is what the row holds if that can't be used here; unread says that it isn't known, so that it may be any
	// worker's bound.
	unusable   map[cottonlanding.WorkerID]cottonlanding.TableInstant
	unreadable bool
}

// LeaseBoundsKey names the row that holds the lease bounds of a cell.
func LeaseBoundsKey(p cottonlanding.Partition) cottonlanding.Key { return p.Key("LeaseBounds") }

// SetTableClock takes in the newest reading of the table's clock. Without any, no bounds are written or read.
func (c *Cell) SetTableClock(reading cottonlanding.TableReading) { c.bounds.clock = &reading }

// SetOwnedUntil takes in until when the owner surely owns the cell. Its leases last for LeaseTail longer at most.
func (c *Cell) SetOwnedUntil(until cottonlanding.Millis) {
	if until > 0 {
		c.bounds.ownedUntil = until
	}
}

// SetTableSlow takes in whether commits take long. No bound is added then.
func (c *Cell) SetTableSlow(slow bool) { c.bounds.tableSlow = slow }

// capsLeases reports whether leases are bounded by until when the owner surely owns the cell.
func (c *Cell) capsLeases() bool {
	return c.bounds.ownedUntil > 0 && c.timing.MaxLeasePastOwnership > 0
}

// leaseSpan returns how long after the last reading of a worker's clock a lease lasts that is granted now.
func (c *Cell) leaseSpan(w *worker, now cottonlanding.Millis) cottonlanding.Millis {
	span := now - w.readAt + c.timing.Lease
	if !c.capsLeases() {
		return span
	}
	return min(span, c.bounds.ownedUntil+c.timing.MaxLeasePastOwnership-w.readAt)
}

// mayOutlast reports whether leases on a worker may last for longer than one that is granted now, since another life of it
// has just taken over. Should it end as well, its tasks would have to wait for that.
func (c *Cell) mayOutlast(w *worker, now cottonlanding.Millis) bool {
	return w.leaseBound > now+withDriftMargin(c.timing.maxLeaseSpan())
}

// maxLeaseSpan is how long before its end the clock of a worker was read at most by which a lease is reckoned.
func (t Timing) maxLeaseSpan() cottonlanding.Millis { return t.Lease + maxAnswerAge }

// earlierOwnersBound returns the instant by which the leases of all owners before have ended.
func (c *Cell) earlierOwnersBound() cottonlanding.Millis {
	if c.bounds.older > 0 {
		return c.bounds.older
	}
	return c.setup.BeforeUntil + withDriftMargin(c.timing.Lease)
}

// LoadLeaseBounds takes in the bounds that an owner before has written. It comes after all other rows. A row that
// can't be read or used is written anew before any lease is granted.
func (c *Cell) LoadLeaseBounds(row cottonlanding.Row, now cottonlanding.Millis) error {
	var written boundsRow
	c.bounds.version = row.Version
	if err := json.Unmarshal(row.Value, &written); err != nil {
		c.bounds.unreadable = true
		return fmt.Errorf("row %s: %w", row.Key, err)
	}
	if c.bounds.clock != nil {
		c.loadDownRecord(written.Down, now)
	}
	if !c.boundsUsable(written, now) {
		c.bounds.unusable = written.Until
		c.log.Info("lease bounds not used", "Workers", len(written.Until), "Of", written.Epoch, "Epoch", c.setup.Epoch, "ClockKnown", c.bounds.clock != nil)
		return nil
	}
	c.bounds.stored, c.bounds.epoch = written.Until, written.Epoch
	c.inheritOwnersBound(written)
	for _, w := range c.sortedWorkers() {
		w.leaseBound = max(now, c.earlierOwnersBound()+c.nextLifeExtension(w))
		c.inheritBound(w, now)
	}
	return nil
}

// boundsUsable reports whether bounds can be used: all owners since have kept to them, and the table's clock has gone
// on.
func (c *Cell) boundsUsable(written boundsRow, now cottonlanding.Millis) bool {
	kept := c.setup.BoundsKeptSince > 0 && written.Epoch >= c.setup.BoundsKeptSince
	return c.bounds.clock != nil && kept && c.bounds.clock.Latest(now) >= written.Written
}

// inheritOwnersBound works out when the leases of all owners before have ended, from what the last of them has written.
func (c *Cell) inheritOwnersBound(written boundsRow) {
	if written.Older == 0 || c.setup.BeforeOwnedUntil == 0 {
		return
	}
	itsOwn := c.setup.BeforeOwnedUntil + c.timing.MaxLeasePastOwnership + c.timing.maxLeaseSpan()/driftDivisor + leaseMargin
	c.bounds.older = max(itsOwn, c.bounds.clock.Until(written.Older))
}

// inheritBound takes over the bound that is written of a worker.
func (c *Cell) inheritBound(w *worker, now cottonlanding.Millis) {
	shown, found := c.bounds.stored[w.info.ID]
	if !found {
		return
	}
	before, until := w.leaseBound, c.bounds.clock.Until(shown)+c.nextLifeExtension(w)
	w.leaseBound = min(before, max(now, until))
	c.inheritSilentSince(w, until-c.nextLifeExtension(w)-withDriftMargin(c.timing.Lease))
	if w.runs.size() == 0 {
		return
	}
	c.log.Info("lease bound taken over", "Worker", w.info.ID, "Runs", w.runs.size(), "Left", w.leaseBound-now, "Instead", before-now)
}

// nextLifeExtension returns by how much longer leases on a worker may last because its entry tells of another life than those on which
// its runs were placed: that one may have taken a start that got no answer. It reckons the lease by its own clock, and cuts it to
// the longest.
func (c *Cell) nextLifeExtension(w *worker) cottonlanding.Millis {
	if slices.ContainsFunc(w.runs.all(), func(r *run) bool { return r.born.IsOtherThan(w.info.Born) }) {
		return max(0, c.timing.MaxLease-c.timing.Lease)
	}
	return 0
}

// has reports whether a bound of the worker is written, or perhaps.
func (b *leaseBounds) has(id cottonlanding.WorkerID) bool {
	_, stored := b.stored[id]
	_, planned := b.planned[id]
	_, unusable := b.unusable[id]
	return b.unreadable || stored || planned || unusable
}

// isUnresponsive reports whether the worker has given this owner no answer, or none lately.
func (w *worker) isUnresponsive() bool { return w.lastAnswerAt == 0 || w.pollFailed }

// needsBound reports whether the worker has given this owner no answer for so long that its bound is
// written. One that is neither listed nor ever answered is not even asked.
func (w *worker) needsBound(now cottonlanding.Millis) bool {
	if !w.listed && w.lastAnswerAt == 0 {
		return true
	}
	return w.pollFailed && (w.lastAnswerAt == 0 || now-w.pollFailedSince >= boundDelay)
}

// requiredBounds returns the bounds that should be written.
func (c *Cell) requiredBounds(now cottonlanding.Millis) map[cottonlanding.WorkerID]cottonlanding.TableInstant {
	out := make(map[cottonlanding.WorkerID]cottonlanding.TableInstant)
	if c.bounds.clock == nil {
		return out
	}
	size := 0
	for _, w := range c.sortedWorkers() {
		id := w.info.ID
		shown, stored := c.bounds.stored[id]
		isNew := !stored && w.needsBound(now) && !c.bounds.tableSlow
		if w.runs.size() == 0 || !isNew && !(stored && w.isUnresponsive()) {
			continue
		}
		size += len(id) + boundOverheadBytes
		if len(out) >= maxBounds || size > maxBoundsBytes {
			return out
		}
		if stored && c.bounds.clock.Until(shown) >= w.leaseBound {
			out[id] = shown
			continue
		}
		out[id] = c.bounds.clock.Latest(w.leaseBound)
	}
	return out
}

// boundsChanged returns the bounds to write, and whether they differ from what is written.
func (c *Cell) boundsChanged(now cottonlanding.Millis) (map[cottonlanding.WorkerID]cottonlanding.TableInstant, bool) {
	required := c.requiredBounds(now)
	hasRow := c.bounds.clock != nil || len(c.bounds.stored) > 0
	isAnothers := hasRow && c.bounds.epoch != c.setup.Epoch
	return required, c.downRecordChanged(now) || c.bounds.unreadable || len(c.bounds.unusable) > 0 || isAnothers || !maps.Equal(required, c.bounds.stored)
}

// planBounds adds the lease bounds to a plan if they have changed.
func (c *Cell) planBounds(plan *Plan, now cottonlanding.Millis) {
	required, due := c.boundsChanged(now)
	if !due {
		return
	}
	c.bounds.planned, plan.bounds = required, true
	c.bounds.down.planned = c.requiredDownRecord(now)
	row := boundsRow{Epoch: c.setup.Epoch, Until: required, Down: c.bounds.down.planned}
	if c.bounds.clock != nil {
		row.Written = c.bounds.clock.Shown
		if c.capsLeases() {
			row.Older = c.bounds.clock.Latest(c.earlierOwnersBound())
		}
	}
	plan.add(cottonlanding.Write{Key: LeaseBoundsKey(c.setup.Partition), Expect: c.bounds.version, Value: encode(row), Unchecked: true})
	c.log.Info("lease bounds written", "Workers", len(required), "Before", len(c.bounds.stored), "TasksDown", len(row.Down))
}

// recordBounds takes in that the planned bounds are written.
func (c *Cell) recordBounds(version cottonlanding.Version) {
	c.bounds.stored, c.bounds.planned = c.bounds.planned, nil
	c.bounds.unusable, c.bounds.unreadable = nil, false
	c.bounds.down.stored = c.bounds.down.planned
	c.bounds.version, c.bounds.epoch = version, c.setup.Epoch
}
