// Package observer watches which sessions are alive and who owns which cell.
package observer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/google/uuid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/registrar"
	"github.com/cottonlanding/cottonlanding/internal/duty/repeater"
)

const (
	ownerPrefix cottonlanding.Key = "Owners/"
	readTimeout                   = 2 * cottonlanding.Second
	scanLimit                     = 1000
	// endedRowRetention is how long the row of an ended session is kept.
	endedRowRetention = 10 * cottonlanding.Minute
	// maxGapPolls bounds the time counted between two reads, in polls.
	maxGapPolls = 3
	// driftMarginDivisor lengthens the time to live by 1/10 against clock drift.
	driftMarginDivisor = 10
)

// Ownership is the value of a cell's owner row.
type Ownership struct {
	Cell cottonlanding.CellID
	// Owner is empty after a release.
	Owner cottonlanding.SessionID
	Epoch cottonlanding.Epoch
}

// OwnerRow is an Ownership with its row's version; the zero value is an absent row.
type OwnerRow struct {
	Ownership
	Version cottonlanding.Version
}

// OwnerKey returns the key of a cell's owner row.
func OwnerKey(cell cottonlanding.CellID) cottonlanding.Key {
	return ownerPrefix + cottonlanding.Key(cell)
}

// View is what one successful read showed. It is never changed.
type View struct {
	// Read is the instant of the answer; zero before the first.
	Read cottonlanding.Millis
	// ObservedTTL tells that the observer has counted a session's time since its first
	// read, so that it has seen the end of any that ended before.
	ObservedTTL bool
	// Live holds the sessions that have not ended.
	Live []registrar.Session
	// Ended tells when sessions were found to have ended.
	Ended map[cottonlanding.SessionID]cottonlanding.Millis
	// Cells holds the owner rows of the observer's data centre.
	Cells map[cottonlanding.CellID]OwnerRow
}

// Alive reports whether the session is live in the view.
func (v View) Alive(id cottonlanding.SessionID) bool {
	for _, session := range v.Live {
		if session.ID == id {
			return true
		}
	}
	return false
}

// Observer reads the table and publishes views.
type Observer struct {
	table      cottonlanding.Table
	clock      cottonlanding.Clock
	dataCentre cottonlanding.DataCentre
	changed    func(View)
	tracker    *SessionTracker

	mu       sync.Mutex
	view     View
	reads    int64
	failures int64

	duty *repeater.Repeater
}

// State is an observer's dump.
type State struct {
	// Age is the time since the last successful read.
	Age      cottonlanding.Millis
	Reads    int64
	Failures int64
	Live     []registrar.Session
	Cells    map[cottonlanding.CellID]OwnerRow
}

// New starts an observer that reads each poll and calls changed with every view.
func New(table cottonlanding.Table, clock cottonlanding.Clock, dataCentre cottonlanding.DataCentre, ttl, poll cottonlanding.Millis, changed func(View)) *Observer {
	o := &Observer{
		table:      table,
		clock:      clock,
		dataCentre: dataCentre,
		changed:    changed,
		tracker:    NewSessionTracker(ttl+ttl/driftMarginDivisor, maxGapPolls*poll),
	}
	o.duty = repeater.New(poll, o.observe)
	return o
}

// View returns the latest view.
func (o *Observer) View() View {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.view
}

// State returns the dump.
func (o *Observer) State() State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return State{
		Age:      o.clock.Now() - o.view.Read,
		Reads:    o.reads,
		Failures: o.failures,
		Live:     o.view.Live,
		Cells:    o.view.Cells,
	}
}

// Nudge makes the observer read at once.
func (o *Observer) Nudge() { o.duty.Nudge() }

// Close ends the observer.
func (o *Observer) Close() { o.duty.Close() }

func (o *Observer) observe(ctx context.Context) {
	view, err := o.read(ctx)
	o.mu.Lock()
	o.reads++
	if err != nil {
		o.failures++
		o.mu.Unlock()
		return
	}
	o.view = view
	o.mu.Unlock()
	o.changed(view)
	o.deleteStaleRows(ctx, view.Read)
}

func (o *Observer) read(ctx context.Context) (View, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	sent := o.clock.Now()
	sessions, err := o.table.Scan(ctx, registrar.Prefix, "", scanLimit)
	if err != nil {
		return View{}, err
	}
	owners, err := o.table.Scan(ctx, ownerPrefix+cottonlanding.Key(o.dataCentre)+"/", "", scanLimit)
	if err != nil {
		return View{}, err
	}
	now := o.clock.Now()
	if err := o.tracker.Observe(sessions, sent, now); err != nil {
		return View{}, err
	}
	cells, err := decodeOwners(owners)
	if err != nil {
		return View{}, err
	}
	return View{Read: now, ObservedTTL: o.tracker.ObservedTTL(), Live: o.tracker.Live(), Ended: o.tracker.Ended(), Cells: cells}, nil
}

func decodeOwners(rows []cottonlanding.Row) (map[cottonlanding.CellID]OwnerRow, error) {
	out := make(map[cottonlanding.CellID]OwnerRow, len(rows))
	for _, row := range rows {
		var ownership Ownership
		if err := json.Unmarshal(row.Value, &ownership); err != nil {
			return nil, fmt.Errorf("row %s: %w", row.Key, err)
		}
		out[ownership.Cell] = OwnerRow{Ownership: ownership, Version: row.Version}
	}
	return out, nil
}

// deleteStaleRows deletes the rows of sessions that ended long ago. Whoever does it first
// wins; the others' transactions conflict.
func (o *Observer) deleteStaleRows(ctx context.Context, now cottonlanding.Millis) {
	for _, write := range o.tracker.Stale(endedRowRetention, now) {
		ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
		transaction := cottonlanding.Transaction{
			ID:     cottonlanding.TransactionID(uuid.NewString()),
			Writes: []cottonlanding.Write{write},
		}
		_, err := o.table.Commit(ctx, transaction)
		cancel()
		if err != nil {
			return // the next poll tries again, or finds the row gone
		}
	}
}
