// Package observer determines which sessions are alive and who owns which cell.
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
	// endedRowRetention is how long the row of an ended session stays in the table.
	endedRowRetention = 10 * cottonlanding.Minute
	// maxGapPolls bounds the time counted between two reads, in polls.
	maxGapPolls = 3
	// driftMarginDivisor extends the time to live by 1/10 to allow for clock drift.
	driftMarginDivisor = 10
)

// Ownership is the value of a cell's owner row.
type Ownership struct {
	Cell cottonlanding.CellID
	// Owner is empty after a release.
	Owner cottonlanding.SessionID
	Epoch cottonlanding.Epoch
}

// OwnerRow is an Ownership with the version of its row; the zero value stands for an absent row.
type OwnerRow struct {
	Ownership
	Version cottonlanding.Version
}

// OwnerKey returns the key of a cell's owner row.
func OwnerKey(cell cottonlanding.CellID) cottonlanding.Key {
	return ownerPrefix + cottonlanding.Key(cell)
}

// View is the result of one successful read. It is never modified.
type View struct {
	// Read is when the answer came; zero before the first one.
	Read cottonlanding.Millis
	// ObservedTTL is set once the observer has observed the sessions for their time to
	// live, so that it has detected all that had ended before its first read.
	ObservedTTL bool
	// Live holds the sessions that haven't ended, ordered by id.
	Live []registrar.Session
	// Ended holds when sessions were found to have ended.
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

// Observer reads the table periodically and publishes views.
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

// State is an Observer's state for diagnostics.
type State struct {
	// Age is the time since the last successful read.
	Age      cottonlanding.Millis
	Reads    int64
	Failures int64
	Live     []registrar.Session
	Cells    map[cottonlanding.CellID]OwnerRow
}

// New starts an Observer that reads the table at intervals of poll and calls changed with every view.
// ttl is the sessions' time to live, dataCentre the one whose cells the views hold.
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

// View returns the latest view, the zero View before the first read.
func (o *Observer) View() View {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.view
}

// State returns the state for diagnostics.
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

// Nudge makes the observer read the table at once.
func (o *Observer) Nudge() { o.duty.Nudge() }

// Close stops the observer.
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

// deleteStaleRows deletes the rows of sessions that ended long ago. If several observers try, one
// succeeds and the transactions of the others conflict.
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
			return // the next poll retries, or finds the row deleted
		}
	}
}
