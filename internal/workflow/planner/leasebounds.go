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
	// boundAfter is how long a worker is silent before its bound is written: a look that fails once
	// costs no writes, and holds up no renewal.
	boundAfter = pollRetryInterval
	// mostBounds is how many bounds are written at most. Later owners wait for the others' whole leases.
	mostBounds = 400
	// mostBoundBytes bounds the row.
	mostBoundBytes = 32 * 1024
	// boundBytes is what a bound takes besides the worker's id.
	boundBytes = 24
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
	Down downSpans `json:",omitempty"`
}

// leaseBounds are the bounds that are written.
type leaseBounds struct {
	// clock is the newest reading of the table's clock, nil while there is none.
	clock *cottonlanding.TableReading
	// kept is what the row holds, planned what it will hold once the plan under way is committed, nil if
	// that leaves it as it is.
	kept, planned map[cottonlanding.WorkerID]cottonlanding.TableInstant
	// version is that of the row, epoch that of the owner which wrote it.
	version cottonlanding.Version
	epoch   cottonlanding.Epoch
	// older is when the leases of all owners before have ended, zero if nothing is known but BeforeUntil. ownedUntil is
	// until when this owner surely owns the cell, zero if it wasn't told.
	older, ownedUntil cottonlanding.Millis
	// down is what the row holds of tasks that are down.
	down downRow
	// tableSlow says that commits take long: a bound couldn't be taken off in time for the next lease.
	tableSlow bool
	// foreign is what the row holds if that can't be used here; unread says that it isn't known, so that it may be any
	// worker's bound.
	foreign map[cottonlanding.WorkerID]cottonlanding.TableInstant
	unread  bool
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
	return w.leaseBound > now+withDriftMargin(c.timing.longestSpan())
}

// longestSpan is how long before its end the clock of a worker was read at most by which a lease is reckoned.
func (t Timing) longestSpan() cottonlanding.Millis { return t.Lease + maxAnswerAge }

// ownersBound returns the instant by which the leases of all owners before have ended.
func (c *Cell) ownersBound() cottonlanding.Millis {
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
		c.bounds.unread = true
		return fmt.Errorf("row %s: %w", row.Key, err)
	}
	if c.bounds.clock != nil {
		c.inheritDown(written.Down, now)
	}
	if !c.boundsHold(written, now) {
		c.bounds.foreign = written.Until
		c.log.Info("lease bounds not used", "Workers", len(written.Until), "Of", written.Epoch, "Epoch", c.setup.Epoch, "ClockKnown", c.bounds.clock != nil)
		return nil
	}
	c.bounds.kept, c.bounds.epoch = written.Until, written.Epoch
	c.inheritOlder(written)
	for _, w := range c.sortedWorkers() {
		w.leaseBound = max(now, c.ownersBound()+c.nextLifeSpan(w))
		c.inheritBound(w, now)
	}
	return nil
}

// boundsHold reports whether bounds can be used: all owners since have kept to them, and the table's clock has gone
// on.
func (c *Cell) boundsHold(written boundsRow, now cottonlanding.Millis) bool {
	kept := c.setup.BoundsKeptSince > 0 && written.Epoch >= c.setup.BoundsKeptSince
	return c.bounds.clock != nil && kept && c.bounds.clock.Latest(now) >= written.Written
}

// inheritOlder works out when the leases of all owners before have ended, from what the last of them has written.
func (c *Cell) inheritOlder(written boundsRow) {
	if written.Older == 0 || c.setup.BeforeOwnedUntil == 0 {
		return
	}
	itsOwn := c.setup.BeforeOwnedUntil + c.timing.MaxLeasePastOwnership + c.timing.longestSpan()/driftDivisor + leaseMargin
	c.bounds.older = max(itsOwn, c.bounds.clock.Until(written.Older))
}

// inheritBound takes over the bound that is written of a worker.
func (c *Cell) inheritBound(w *worker, now cottonlanding.Millis) {
	shown, found := c.bounds.kept[w.info.ID]
	if !found {
		return
	}
	before, until := w.leaseBound, c.bounds.clock.Until(shown)+c.nextLifeSpan(w)
	w.leaseBound = min(before, max(now, until))
	c.inheritSilence(w, until-c.nextLifeSpan(w)-withDriftMargin(c.timing.Lease))
	if w.runs.size() == 0 {
		return
	}
	c.log.Info("lease bound taken over", "Worker", w.info.ID, "Runs", w.runs.size(), "Left", w.leaseBound-now, "Instead", before-now)
}

// nextLifeSpan returns by how much longer leases on a worker may last because its entry tells of another life than those on which
// its runs were placed: that one may have taken a start that got no answer. It reckons the lease by its own clock, and cuts it to
// the longest.
func (c *Cell) nextLifeSpan(w *worker) cottonlanding.Millis {
	if slices.ContainsFunc(w.runs.all(), func(r *run) bool { return r.born.IsOtherThan(w.info.Born) }) {
		return max(0, c.timing.MaxLease-c.timing.Lease)
	}
	return 0
}

// has reports whether a bound of the worker is written, or perhaps.
func (b *leaseBounds) has(id cottonlanding.WorkerID) bool {
	_, kept := b.kept[id]
	_, planned := b.planned[id]
	_, foreign := b.foreign[id]
	return b.unread || kept || planned || foreign
}

// staysSilent reports whether the worker has given this owner no answer, or none lately.
func (w *worker) staysSilent() bool { return w.lastAnswerAt == 0 || w.pollFailed }

// silentForLong reports whether the worker has given this owner no answer for so long that its bound is
// written. One that is neither listed nor ever answered is not even asked.
func (w *worker) silentForLong(now cottonlanding.Millis) bool {
	if !w.listed && w.lastAnswerAt == 0 {
		return true
	}
	return w.pollFailed && (w.lastAnswerAt == 0 || now-w.pollFailedSince >= boundAfter)
}

// boundsWanted returns the bounds that should be written.
func (c *Cell) boundsWanted(now cottonlanding.Millis) map[cottonlanding.WorkerID]cottonlanding.TableInstant {
	out := make(map[cottonlanding.WorkerID]cottonlanding.TableInstant)
	if c.bounds.clock == nil {
		return out
	}
	size := 0
	for _, w := range c.sortedWorkers() {
		id := w.info.ID
		shown, kept := c.bounds.kept[id]
		isNew := !kept && w.silentForLong(now) && !c.bounds.tableSlow
		if w.runs.size() == 0 || !isNew && !(kept && w.staysSilent()) {
			continue
		}
		size += len(id) + boundBytes
		if len(out) >= mostBounds || size > mostBoundBytes {
			return out
		}
		if kept && c.bounds.clock.Until(shown) >= w.leaseBound {
			out[id] = shown
			continue
		}
		out[id] = c.bounds.clock.Latest(w.leaseBound)
	}
	return out
}

// boundsDue returns the bounds to write, and whether they differ from what is written.
func (c *Cell) boundsDue(now cottonlanding.Millis) (map[cottonlanding.WorkerID]cottonlanding.TableInstant, bool) {
	wanted := c.boundsWanted(now)
	hasRow := c.bounds.clock != nil || len(c.bounds.kept) > 0
	isAnothers := hasRow && c.bounds.epoch != c.setup.Epoch
	return wanted, c.downDue(now) || c.bounds.unread || len(c.bounds.foreign) > 0 || isAnothers || !maps.Equal(wanted, c.bounds.kept)
}

// planBounds adds the lease bounds to a plan if they have changed.
func (c *Cell) planBounds(plan *Plan, now cottonlanding.Millis) {
	wanted, due := c.boundsDue(now)
	if !due {
		return
	}
	c.bounds.planned, plan.bounds = wanted, true
	c.bounds.down.planned = c.downWanted(now)
	row := boundsRow{Epoch: c.setup.Epoch, Until: wanted, Down: c.bounds.down.planned}
	if c.bounds.clock != nil {
		row.Written = c.bounds.clock.Shown
		if c.capsLeases() {
			row.Older = c.bounds.clock.Latest(c.ownersBound())
		}
	}
	plan.add(cottonlanding.Write{Key: LeaseBoundsKey(c.setup.Partition), Expect: c.bounds.version, Value: encode(row), Unchecked: true})
	c.log.Info("lease bounds written", "Workers", len(wanted), "Before", len(c.bounds.kept), "TasksDown", len(row.Down))
}

// recordBounds takes in that the planned bounds are written.
func (c *Cell) recordBounds(version cottonlanding.Version) {
	c.bounds.kept, c.bounds.planned = c.bounds.planned, nil
	c.bounds.foreign, c.bounds.unread = nil, false
	c.bounds.down.kept = c.bounds.down.planned
	c.bounds.version, c.bounds.epoch = version, c.setup.Epoch
}
