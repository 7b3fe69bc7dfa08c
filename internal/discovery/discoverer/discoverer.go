// Package discoverer follows the platform's list of workers.
package discoverer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/pauser"
)

// Timing holds the timings of a discoverer.
type Timing struct {
	// Poll is the interval between the starts of two reads.
	Poll cottonlanding.Millis
	// Timeout is the timeout of one read.
	Timeout cottonlanding.Millis
	// RemovalDelay is how long an entry must be missing before its worker is removed from the list.
	RemovalDelay cottonlanding.Millis
}

// maxReason bounds what is kept and logged of why an entry was refused, in bytes.
const maxReason = 300

// Parse decodes the entry of a worker. It returns an error if the entry describes no usable worker.
type Parse func(id cottonlanding.WorkerID, entry []byte) (cottonlanding.WorkerInfo, error)

// Discoverer follows the list of workers between Follow(true) and Follow(false).
type Discoverer struct {
	feed   cottonlanding.Feed
	parse  Parse
	timing Timing
	clock  cottonlanding.Clock
	log    *slog.Logger

	mu    sync.Mutex
	stop  context.CancelFunc
	known bool
	// workers holds the listed workers by ID, including those whose entries are missing.
	workers map[cottonlanding.WorkerID]cottonlanding.WorkerInfo
	// missingSince holds the time since which the entry of a listed worker has been missing.
	missingSince map[cottonlanding.WorkerID]cottonlanding.Millis
	// refusals holds the reason for each present entry that was refused.
	refusals map[cottonlanding.WorkerID]string
	// list is workers sorted by ID.
	list []cottonlanding.WorkerInfo
	// readAt is the time as of which the list is complete, zero while the list is unknown.
	readAt cottonlanding.Millis
}

// New returns a discoverer that doesn't follow the list yet.
func New(feed cottonlanding.Feed, parse Parse, timing Timing, clock cottonlanding.Clock, log *slog.Logger) *Discoverer {
	return &Discoverer{feed: feed, parse: parse, timing: timing, clock: clock, log: log}
}

// Follow starts or stops following the list. Once stopped, the list is unknown.
func (d *Discoverer) Follow(follow bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !follow && d.stop != nil {
		d.stop()
		d.stop, d.known, d.list, d.readAt = nil, false, nil, 0
		return
	}
	if follow && d.stop == nil {
		ctx, cancel := context.WithCancel(context.Background())
		d.stop = cancel
		go d.run(ctx)
	}
}

// Workers returns the workers sorted by ID, and whether the list was read. A slice is never modified: a changed list
// is a new slice.
func (d *Discoverer) Workers() ([]cottonlanding.WorkerInfo, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list, d.known
}

// ReadAt returns the time as of which the list is complete, zero while the list is unknown.
func (d *Discoverer) ReadAt() cottonlanding.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.readAt
}

func (d *Discoverer) run(ctx context.Context) {
	version := cottonlanding.Version(0)
	connected := true
	for ctx.Err() == nil {
		startedAt := d.clock.Now()
		next, more, err := d.readOnce(ctx, version)
		switch {
		case errors.Is(err, cottonlanding.ErrHistoryGone):
			d.log.Info("list of workers is read again", "After", version)
			version = 0
			continue
		case err == nil:
			version = next
		}
		if connected != (err == nil) && ctx.Err() == nil {
			connected = err == nil
			d.log.Info("list of workers", "Connected", connected, "Error", err)
		}
		if more {
			continue
		}
		pauser.Pause(ctx, startedAt+d.timing.Poll-d.clock.Now()) // no pause if the call took longer than Poll
	}
}

// readOnce reads the whole list if version is zero, else the changes after it. It returns the version after which to
// read next, and whether more changes may be available at once.
func (d *Discoverer) readOnce(ctx context.Context, version cottonlanding.Version) (next cottonlanding.Version, more bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, d.timing.Timeout.Duration())
	defer cancel()
	reading, err := d.feed.Read(callCtx, version, 0)
	if err != nil {
		return 0, false, err
	}
	d.apply(ctx, reading)
	return reading.Version, reading.More, nil
}

// apply merges a reading into the list, unless ctx has ended.
func (d *Discoverer) apply(ctx context.Context, reading cottonlanding.FeedReading) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	now := d.clock.Now()
	changed := !d.known
	if !d.known {
		d.workers = make(map[cottonlanding.WorkerID]cottonlanding.WorkerInfo)
		d.missingSince = make(map[cottonlanding.WorkerID]cottonlanding.Millis)
		d.refusals = make(map[cottonlanding.WorkerID]string)
	}
	if reading.Whole {
		for id := range d.workers {
			d.markMissing(id, now)
		}
		d.dropRefusals(reading.Rows)
	}
	for _, row := range reading.Rows {
		id := cottonlanding.WorkerID(row.Key)
		if row.Deleted {
			delete(d.refusals, id)
			d.markMissing(id, now)
			continue
		}
		info, err := d.parse(id, row.Value)
		if err != nil {
			changed = d.refuse(id, err) || changed
			continue
		}
		delete(d.refusals, id)
		delete(d.missingSince, id)
		if old, listed := d.workers[id]; !listed || old.Attributes() != info.Attributes() {
			d.workers[id] = info
			changed = true
		}
	}
	for id, since := range d.missingSince {
		if now-since >= d.timing.RemovalDelay {
			delete(d.missingSince, id)
			delete(d.workers, id)
			changed = true
		}
	}
	d.known, d.readAt = true, max(d.readAt, reading.At)
	if changed {
		d.list = d.sorted()
	}
}

// refuse removes a worker with an unusable entry from the list at once, without RemovalDelay: an entry can be missing
// briefly, but an unusable one has replaced the worker's own, as when another writer overwrites it. It reports whether
// the list changes.
func (d *Discoverer) refuse(id cottonlanding.WorkerID, cause error) bool {
	if reason := fmt.Sprintf("%.*s", maxReason, cause.Error()); d.refusals[id] != reason {
		d.refusals[id] = reason
		d.log.Error("worker's description refused", "Worker", id, "Error", reason, "Listed", d.workers[id].ID != "")
	}
	_, listed := d.workers[id]
	delete(d.workers, id)
	delete(d.missingSince, id)
	return listed
}

// dropRefusals forgets the refusals of entries that a whole reading lacks.
func (d *Discoverer) dropRefusals(rows []cottonlanding.FeedRow) {
	present := make(map[cottonlanding.WorkerID]bool, len(rows))
	for _, row := range rows {
		present[cottonlanding.WorkerID(row.Key)] = true
	}
	maps.DeleteFunc(d.refusals, func(id cottonlanding.WorkerID, _ string) bool { return !present[id] })
}

func (d *Discoverer) markMissing(id cottonlanding.WorkerID, now cottonlanding.Millis) {
	if _, marked := d.missingSince[id]; !marked && d.workers[id].ID != "" {
		d.missingSince[id] = now
	}
}

func (d *Discoverer) sorted() []cottonlanding.WorkerInfo {
	out := make([]cottonlanding.WorkerInfo, 0, len(d.workers))
	for _, info := range d.workers {
		out = append(out, info)
	}
	slices.SortFunc(out, func(a, b cottonlanding.WorkerInfo) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
