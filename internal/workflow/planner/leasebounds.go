package planner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// An owner grants nothing more to a worker that falls silent, so it knows when the worker's leases end. The next
// owner only knows that the previous one may have renewed them until its own end, and would wait for a whole lease
// from then: each change of owner would restart the wait of the tasks that were lost with the worker. So an owner
// writes the lease bounds of silent workers, by the table's clock.
//
// An owner that is lost soon after a worker has not written its bound. So each heartbeat says by when all leases end
// that are granted before the next one: MaxLeasePastAnswer after the oldest last answer among the workers with lasting
// tasks that have no bound. As long as a worker is silent and has no bound, that instant stays. Whichever owner is lost
// when, the leases that owners granted to a worker end MaxLeasePastAnswer after its last answer, or by its bound. Those
// that its life may have adopted from calls to an earlier one are stored beside the bounds: see adoption.go.
//
// While a bound is stored, the worker is granted no lease: an owner that hears from the worker first removes the
// bound. Owners of older code do not know the row and grant leases regardless, so a row is used only if all owners
// since know of it.

const (
	// boundDelay is how long a worker is silent before its bound is written, so that a single failed poll costs no
	// writes and delays no renewal.
	boundDelay = pollRetryInterval
	// maxBounds bounds the number of stored bounds. Later owners wait out whole leases on the other workers.
	maxBounds = 400
	// maxBoundsBytes bounds the size of all bounds in the row.
	maxBoundsBytes = 32 * 1024
	// firstAnswerTimeout is how long a new owner waits for the first answer of a worker before it writes its bound,
	// which postpones nothing: the owner has granted the worker no lease yet.
	firstAnswerTimeout = 300 * cottonlanding.Millis(1)
	// firstBoundsTimeout is how long a new owner waits for these bounds to be written before leases last longer
	// although some workers have neither answered nor a bound.
	firstBoundsTimeout = cottonlanding.Second
	// minStartLease is the shortest lease with which a run is started.
	minStartLease = cottonlanding.Second
	// maxAnswerLag bounds the age of the last answers for which leases are kept from lasting longer: a bound may be
	// impossible to write, and the leases of all workers must not run out for one of them.
	maxAnswerLag = 3 * cottonlanding.Second
	// boundOverheadBytes is the size of a bound without the worker's id.
	boundOverheadBytes = 24
)

// boundsRow is the value of the row of lease bounds.
type boundsRow struct {
	// Epoch is that of the owner that wrote the row.
	Epoch cottonlanding.Epoch
	// Written is a lower bound of the table's clock at the time of writing.
	Written cottonlanding.TableInstant
	// Older is when the leases of all owners before the writer have ended, zero if unknown. Only owners of older code
	// read it.
	Older cottonlanding.TableInstant `json:",omitempty"`
	Until map[cottonlanding.WorkerID]cottonlanding.TableInstant
	// Down is when lasting tasks went down.
	Down downInstants `json:",omitempty"`
	// Pending holds, of the workers in Until, those with pending starts, and until when a run may go on in a life that
	// carries one out late.
	Pending map[cottonlanding.WorkerID]cottonlanding.TableInstant `json:",omitempty"`
	// Adopted holds the lives that may have adopted leases from calls to earlier lives.
	Adopted map[cottonlanding.WorkerID]adoptedLease `json:",omitempty"`
	// DelayedUntil is until when calls count as delayed, zero if they don't.
	DelayedUntil cottonlanding.TableInstant `json:",omitempty"`
}

// leaseBounds holds the stored lease bounds and what they depend on.
type leaseBounds struct {
	// clock is the newest reading of the table's clock, nil before the first.
	clock *cottonlanding.TableReading
	// stored is in the row, planned will be once the plan in flight is committed, nil if that leaves the row
	// unchanged.
	stored, planned map[cottonlanding.WorkerID]cottonlanding.TableInstant
	// version is that of the row, epoch that of the owner that wrote it.
	version cottonlanding.Version
	epoch   cottonlanding.Epoch
	// leasesEnd is by when the leases of this owner must end, zero if there is no limit. nextLeasesEnd is what it wants
	// as the next limit.
	leasesEnd, nextLeasesEnd cottonlanding.Millis
	// loadedAt is when the row was loaded.
	loadedAt cottonlanding.Millis
	// down is the part of the row on tasks that are down.
	down downRecord
	// pending are the bounds of pending starts in the row when it was loaded.
	pending map[cottonlanding.WorkerID]cottonlanding.TableInstant
	// adoptions are in the row, plannedAdoptions will be once the plan in flight is committed. adoptionsUnknown says that
	// earlier owners may not have stored them.
	adoptions, plannedAdoptions map[cottonlanding.WorkerID]adoption
	adoptionsUnknown            bool
	// delayedUntil is in the row, plannedDelayedUntil will be once the plan in flight is committed: until when calls count
	// as delayed, zero if they don't.
	delayedUntil, plannedDelayedUntil cottonlanding.Millis
	// tableSlow says that commits take long: a bound could not be removed in time for the next lease.
	tableSlow bool
	// unusable holds the row's bounds if they cannot be used here. unreadable says that the row's content is
	// unknown, so that it may hold a bound of any worker.
	unusable   map[cottonlanding.WorkerID]cottonlanding.TableInstant
	unreadable bool
}

// LeaseBoundsKey returns the key of the row that holds the lease bounds of a cell.
func LeaseBoundsKey(p cottonlanding.Partition) cottonlanding.Key { return p.Key("LeaseBounds") }

// SetTableClock sets the newest reading of the table's clock. Without any, no bounds are read or written.
func (c *Cell) SetTableClock(reading cottonlanding.TableReading) { c.bounds.clock = &reading }

// SetLeasesEnd sets by when the leases of this owner must end, as its last heartbeat says, by the owner's clock. Zero
// changes nothing: there is no limit before the first one.
func (c *Cell) SetLeasesEnd(end cottonlanding.Millis) {
	c.bounds.leasesEnd = max(c.bounds.leasesEnd, end)
}

// NextLeasesEnd returns by when the leases of this owner end if the next heartbeat says so, zero without a limit.
func (c *Cell) NextLeasesEnd(now cottonlanding.Millis) cottonlanding.Millis {
	if c.timing.MaxLeasePastAnswer == 0 {
		return 0
	}
	oldest := c.oldestAnswer(now)
	c.bounds.nextLeasesEnd = max(c.bounds.nextLeasesEnd, oldest+c.timing.MaxLeasePastAnswer)
	return c.bounds.nextLeasesEnd
}

// oldestAnswer returns the oldest last answer to this owner among the workers with lasting tasks that have no stored
// bound, but none that is older than maxAnswerLag.
func (c *Cell) oldestAnswer(now cottonlanding.Millis) cottonlanding.Millis {
	oldest, unheard := now, false
	for _, w := range c.sortedWorkers() {
		if _, bounded := c.bounds.stored[w.info.ID]; bounded || !w.hasLastingTasks() {
			continue
		}
		oldest, unheard = min(oldest, w.lastAnswerAt), unheard || w.lastAnswerAt == 0
	}
	if unheard && now-c.bounds.loadedAt < firstBoundsTimeout {
		return 0
	}
	return max(oldest, now-maxAnswerLag)
}

// hasLastingTasks reports whether the worker has runs of lasting tasks.
func (w *worker) hasLastingTasks() bool {
	return slices.ContainsFunc(w.runs.all(), func(r *run) bool { return r.step.Lasting && r.task != nil })
}

// SetTableSlow sets whether commits take long. No bound is added while they do.
func (c *Cell) SetTableSlow(slow bool) { c.bounds.tableSlow = slow }

// leaseSpan returns how long after the last reading of the worker's clock a lease lasts that is granted now.
func (c *Cell) leaseSpan(w *worker, now cottonlanding.Millis) cottonlanding.Millis {
	span := now - w.readAt + c.timing.Lease
	if c.bounds.leasesEnd == 0 {
		return span
	}
	return min(span, c.bounds.leasesEnd-w.readAt)
}

// leasesEndSoon reports whether the lease of a start might run out before the next heartbeat extends the limit, as that of
// a new owner may that repeats the limit of an earlier one.
func (c *Cell) leasesEndSoon(now cottonlanding.Millis) bool {
	return c.bounds.leasesEnd > 0 && c.bounds.leasesEnd-now < minStartLease
}

// mayOutlast reports whether leases on a worker may last longer than one granted now, because another life of it
// has just taken over. If that life ended as well, its tasks would have to wait for those leases.
func (c *Cell) mayOutlast(w *worker, now cottonlanding.Millis) bool {
	return w.bound.until > now+withDriftMargin(c.timing.maxLeaseSpan())
}

// maxLeaseSpan returns the longest time from the reading of a worker's clock to the end of a lease computed from
// it.
func (t Timing) maxLeaseSpan() cottonlanding.Millis { return t.Lease + maxAnswerAge }

// earlierOwnersBound returns the instant by which the leases of all earlier owners have ended.
func (c *Cell) earlierOwnersBound() cottonlanding.Millis {
	if c.setup.EarlierLeasesEnd == 0 {
		return c.setup.BeforeUntil + withDriftMargin(c.timing.Lease)
	}
	// The limit is for the end of a lease, which includes its span, so that only the drift over the span and the margin
	// are added.
	return c.setup.EarlierLeasesEnd + c.timing.maxLeaseSpan()/driftDivisor + leaseMargin
}

// LoadLeaseBounds loads the bounds that an earlier owner has written. It must be called after all other rows are
// loaded. A row that cannot be read or used is rewritten before any lease is granted; the error says why it cannot
// be read.
func (c *Cell) LoadLeaseBounds(row cottonlanding.Row, now cottonlanding.Millis) error {
	var written boundsRow
	c.bounds.version, c.bounds.loadedAt = row.Version, now
	if err := json.Unmarshal(row.Value, &written); err != nil {
		c.bounds.unreadable, c.bounds.adoptionsUnknown = true, true
		c.inheritAllBounds(now)
		return fmt.Errorf("row %s: %w", row.Key, err)
	}
	if c.bounds.clock != nil {
		c.loadDownRecord(written.Down, now)
		if written.DelayedUntil > 0 {
			c.delayedUntil = c.bounds.clock.Until(written.DelayedUntil)
		}
	}
	c.loadAdoptions(written, now)
	if !c.boundsUsable(written, c.setup.BoundsKeptSince, now) {
		c.bounds.unusable = written.Until
		c.log.Info("lease bounds not used", "Workers", len(written.Until), "Of", written.Epoch,
			"Epoch", c.setup.Epoch, "ClockKnown", c.bounds.clock != nil)
	} else {
		c.bounds.stored, c.bounds.pending, c.bounds.epoch = written.Until, written.Pending, written.Epoch
	}
	c.inheritAllBounds(now)
	return nil
}

func (c *Cell) inheritAllBounds(now cottonlanding.Millis) {
	for _, w := range c.sortedWorkers() {
		c.inheritBounds(w, now)
	}
}

// boundsUsable reports whether bounds can be used: all owners since have respected them, and the table's clock has
// not gone back.
func (c *Cell) boundsUsable(written boundsRow, keptSince cottonlanding.Epoch, now cottonlanding.Millis) bool {
	respected := keptSince > 0 && written.Epoch >= keptSince
	return c.bounds.clock != nil && respected && c.bounds.clock.Latest(now) >= written.Written
}

// inheritBounds sets the bound of a worker that earlier owners may have granted leases.
func (c *Cell) inheritBounds(w *worker, now cottonlanding.Millis) {
	w.bound = c.newBound(max(now, c.earlierOwnersBound()), boundByEarlierOwners, now)
	c.inheritAdoption(w, now)
	instant, found := c.bounds.stored[w.info.ID]
	if !found {
		return
	}
	before, until := w.bound.until, c.bounds.clock.Until(instant)
	if c.bounds.adoptionsUnknown {
		until += c.adoptedExtension()
	}
	if stored := max(now, until); stored < before {
		w.bound = bound{stored, boundByRow, c.bounds.epoch, now}
	}
	c.inheritSilentSince(w, until-withDriftMargin(c.timing.Lease))
	w.earlierPendingKnown = !c.bounds.adoptionsUnknown
	if until, found := c.bounds.pending[w.info.ID]; found {
		w.earlierPendingUntil = c.bounds.clock.Until(until)
	}
	if w.runs.size() == 0 {
		return
	}
	c.log.Info("lease bound taken over", "Worker", w.info.ID, "Runs", w.runs.size(),
		"Left", w.bound.until-now, "Instead", before-now)
}

// has reports whether a bound of the worker is or may be stored.
func (b *leaseBounds) has(id cottonlanding.WorkerID) bool {
	_, stored := b.stored[id]
	_, planned := b.planned[id]
	_, unusable := b.unusable[id]
	return b.unreadable || stored || planned || unusable
}

// isUnresponsive reports whether the worker has given this owner no answer, or none lately.
func (w *worker) isUnresponsive() bool { return w.lastAnswerAt == 0 || w.pollFailed }

// needsBound reports whether the worker has been silent for so long that its bound is written. A worker that is
// neither listed nor ever answered is not even polled.
func (c *Cell) needsBound(w *worker, now cottonlanding.Millis) bool {
	if w.lastAnswerAt > 0 {
		return w.pollFailed && now-w.pollFailedSince >= boundDelay
	}
	return !w.listed || w.pollFailed || now-c.bounds.loadedAt >= firstAnswerTimeout && w.hasLastingTasks()
}

// requiredBounds returns the bounds that the row should hold.
func (c *Cell) requiredBounds(now cottonlanding.Millis) map[cottonlanding.WorkerID]cottonlanding.TableInstant {
	out := make(map[cottonlanding.WorkerID]cottonlanding.TableInstant)
	if c.bounds.clock == nil {
		return out
	}
	size := 0
	for _, w := range c.sortedWorkers() {
		id := w.info.ID
		instant, stored := c.bounds.stored[id]
		isNew := !stored && c.needsBound(w, now) && !c.bounds.tableSlow
		if w.runs.size() == 0 || !isNew && !(stored && w.isUnresponsive()) {
			continue
		}
		size += len(id) + boundOverheadBytes
		if len(out) >= maxBounds || size > maxBoundsBytes {
			return out
		}
		if stored && c.bounds.clock.Until(instant) >= w.bound.until {
			out[id] = instant
			continue
		}
		out[id] = c.bounds.clock.Latest(w.bound.until)
	}
	return out
}

// pendingStartsRow returns until when runs may go on whose starts are pending, of the workers whose bounds are written.
func (c *Cell) pendingStartsRow(required map[cottonlanding.WorkerID]cottonlanding.TableInstant, now cottonlanding.Millis) map[cottonlanding.WorkerID]cottonlanding.TableInstant {
	out := make(map[cottonlanding.WorkerID]cottonlanding.TableInstant)
	for id := range required {
		if until := c.pendingStartsBound(c.workers[id], now); until > 0 {
			out[id] = c.bounds.clock.Latest(until)
		}
	}
	return out
}

// boundsChanged returns the bounds that the row should hold, and whether it has to be written.
func (c *Cell) boundsChanged(now cottonlanding.Millis) (map[cottonlanding.WorkerID]cottonlanding.TableInstant, bool) {
	required := c.requiredBounds(now)
	hasRow := c.bounds.clock != nil || len(c.bounds.stored) > 0
	writtenByOther := hasRow && c.bounds.epoch != c.setup.Epoch
	return required, c.downRecordChanged(now) || c.bounds.unreadable || len(c.bounds.unusable) > 0 ||
		writtenByOther || c.adoptionsChanged(now) || c.delayChanged(now) || !maps.Equal(required, c.bounds.stored)
}

// planBounds adds the lease bounds to a plan if they have changed.
func (c *Cell) planBounds(plan *Plan, now cottonlanding.Millis) {
	required, due := c.boundsChanged(now)
	if !due {
		return
	}
	c.inheritUnboundedSilence(required)
	c.bounds.planned, plan.bounds = required, true
	c.bounds.down.planned = c.requiredDownRecord(now)
	c.bounds.plannedAdoptions = c.requiredAdoptions(now)
	row := boundsRow{
		Epoch:   c.setup.Epoch,
		Until:   required,
		Down:    c.bounds.down.planned,
		Pending: c.pendingStartsRow(required, now),
		Adopted: c.adoptionsRow(c.bounds.plannedAdoptions),
	}
	if c.bounds.clock != nil {
		row.Written = c.bounds.clock.Shown
		if c.callsDelayed(now) {
			c.bounds.plannedDelayedUntil = c.delayedUntil
			row.DelayedUntil = c.bounds.clock.Latest(c.delayedUntil)
		}
		if c.bounds.leasesEnd > 0 {
			row.Older = c.bounds.clock.Latest(c.earlierOwnersBound())
		}
	}
	plan.add(cottonlanding.Write{
		Key: LeaseBoundsKey(c.setup.Partition), Expect: c.bounds.version, Value: encode(row), Unchecked: true,
	})
	c.log.Info("lease bounds written", "Workers", len(required), "Before", len(c.bounds.stored), "Adopted", len(row.Adopted),
		"TasksDown", len(row.Down), "CallsDelayed", row.DelayedUntil > 0)
}

// recordBounds records that the planned bounds are committed.
func (c *Cell) recordBounds(version cottonlanding.Version) {
	c.bounds.stored, c.bounds.planned = c.bounds.planned, nil
	c.bounds.unusable, c.bounds.unreadable = nil, false
	c.bounds.adoptions, c.bounds.plannedAdoptions, c.bounds.adoptionsUnknown = c.bounds.plannedAdoptions, nil, false
	c.bounds.delayedUntil, c.bounds.plannedDelayedUntil = c.bounds.plannedDelayedUntil, 0
	c.bounds.down.stored = c.bounds.down.planned
	c.bounds.version, c.bounds.epoch = version, c.setup.Epoch
}
