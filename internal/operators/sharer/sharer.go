// Package sharer lets hosts read the operators' table from a packed copy.
//
// Operators' rows are long, and each host must learn of each change: if every host read it from the table, a change
// would cost its length times the number of hosts. Instead the owner of the first cell writes a packed copy into a
// watched row of the store, which sends changes of watched rows to all hosts anyway. Hosts that own no cell wait for
// the copy and still read the operators' table as often as they would without it; most of these reads find nothing new.
// If a copy is late, outdated, broken or missing, each host reads the change from the operators' table itself, at the
// latest when the wait since its last read of that table is over. This costs the change's length once per host.
package sharer

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/pauser"
	"github.com/cottonlanding/cottonlanding/internal/duty/waker"
)

const (
	// writeInterval is the minimum time between two copies: of changes in quick succession most are outdated
	// before all hosts have read them.
	writeInterval = 250 * cottonlanding.Millis(1)
	// writeTimeout is the timeout for writing a copy.
	writeTimeout = cottonlanding.Second
)

// Watcher follows the watched rows.
type Watcher interface {
	// Row returns the row as last received, and whether it exists.
	Row(key cottonlanding.Key) (cottonlanding.Row, bool)
	// Listen makes the watcher call listener after each change of the row.
	Listen(key cottonlanding.Key, listener func())
}

// Dependencies are the dependencies of a sharer.
type Dependencies struct {
	// Feed is the operators' table itself.
	Feed cottonlanding.Feed
	// Table is the store, which holds the copy in the watched row Key. Watcher reports the row's changes.
	Table   cottonlanding.Table
	Key     cottonlanding.Key
	Watcher Watcher
	Clock   cottonlanding.Clock
	Log     *slog.Logger
	// WritesCopies reports whether this host writes copies, AwaitsCopies whether it waits for them.
	WritesCopies func() bool
	AwaitsCopies func() bool
}

// Sharer reads the operators' table or a copy of it. It implements cottonlanding.Feed for one reader at a time.
type Sharer struct {
	deps Dependencies
	// copyArrived is woken when the row of the copy changes, tableChanged when there is a change to copy.
	copyArrived  waker.Waker
	tableChanged waker.Waker

	// The fields up to mu belong to the reader's goroutine.
	// tableReadAt is when this host last read the table itself.
	tableReadAt cottonlanding.Millis
	// newest is the newest readable copy, newestRowVersion the version of the last row that was examined.
	newest           tableCopy
	newestRowVersion cottonlanding.Version

	mu      sync.Mutex
	rows    map[string]cottonlanding.FeedRow
	version cottonlanding.Version
	counts  Counts
}

// Counts counts the reads and writes of a sharer.
type Counts struct {
	// CopiesRead counts the copies with changes, TableReads the reads of the table itself, TableReadsWithChanges
	// those of them that returned changes.
	CopiesRead, TableReads, TableReadsWithChanges int
	// CopiesWritten counts the copies that this host wrote.
	CopiesWritten int
}

// New returns a sharer that writes copies until ctx ends.
func New(ctx context.Context, deps Dependencies) *Sharer {
	s := &Sharer{
		deps:         deps,
		copyArrived:  waker.New(),
		tableChanged: waker.New(),
		rows:         make(map[string]cottonlanding.FeedRow),
	}
	deps.Watcher.Listen(deps.Key, s.copyArrived.Wake)
	go func() {
		for ctx.Err() == nil {
			select {
			case <-s.tableChanged:
				s.write(ctx)
				pauser.Pause(ctx, writeInterval)
			case <-ctx.Done():
			}
		}
	}()
	return s
}

// Read implements cottonlanding.Feed. With version zero it always reads the table itself.
func (s *Sharer) Read(ctx context.Context, version cottonlanding.Version, wait cottonlanding.Millis) (cottonlanding.FeedReading, error) {
	if version > 0 && s.deps.AwaitsCopies() {
		if s.awaitCopy(ctx, version, wait) {
			reading := s.newest.asReading()
			s.apply(reading)
			s.count(func(c *Counts) { c.CopiesRead++ })
			return reading, nil
		}
		wait = 0 // the wait since the last read of the table is over
	}
	s.tableReadAt = s.deps.Clock.Now()
	reading, err := s.deps.Feed.Read(ctx, version, wait)
	if err != nil {
		return cottonlanding.FeedReading{}, err
	}
	s.apply(reading)
	s.count(func(c *Counts) {
		c.TableReads++
		c.TableReadsWithChanges += min(1, len(reading.Rows))
	})
	return reading, nil
}

// Counts returns what was counted so far.
func (s *Sharer) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Sharer) count(add func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.counts)
}

// awaitCopy waits for a copy that is newer than version, until interval has passed since the last read of the table.
// It reports whether there is one.
func (s *Sharer) awaitCopy(ctx context.Context, version cottonlanding.Version, interval cottonlanding.Millis) bool {
	remaining := s.tableReadAt + interval - s.deps.Clock.Now()
	if remaining <= 0 {
		return false
	}
	timer := time.NewTimer(remaining.Duration())
	defer timer.Stop()
	for {
		select {
		case <-s.copyArrived:
			s.loadCopy()
			if s.newest.Version > version {
				return true
			}
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// loadCopy loads the copy from its row if that has changed. An unreadable or older copy is ignored.
func (s *Sharer) loadCopy() {
	row, _ := s.deps.Watcher.Row(s.deps.Key)
	if row.Version <= s.newestRowVersion {
		return
	}
	s.newestRowVersion = row.Version
	next, err := unpack(row.Value)
	if err != nil {
		s.deps.Log.Error("copy of the operators' table refused", "Version", row.Version, "Error", err)
		return
	}
	if next.Version > s.newest.Version {
		s.newest = next
	}
}

// apply merges a reading and schedules a copy if this host writes copies.
func (s *Sharer) apply(reading cottonlanding.FeedReading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reading.Whole {
		clear(s.rows)
	}
	for _, row := range reading.Rows {
		if row.Deleted {
			delete(s.rows, row.Key)
			continue
		}
		s.rows[row.Key] = row
	}
	s.version = reading.Version
	if len(reading.Rows) > 0 && s.deps.WritesCopies() {
		s.tableChanged.Wake()
	}
}

// currentCopy returns a copy of the table as known to this host.
func (s *Sharer) currentCopy() tableCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := tableCopy{Version: s.version}
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		out.Rows = append(out.Rows, s.rows[key])
	}
	return out
}

// write writes a copy. After a failure the other hosts learn of the change by their own reads of the operators' table.
func (s *Sharer) write(ctx context.Context) {
	next := s.currentCopy()
	packed, err := next.pack()
	if err != nil {
		s.deps.Log.Warn("operators' table isn't copied", "Version", next.Version, "Error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	last, _ := s.deps.Watcher.Row(s.deps.Key)
	_, err = s.deps.Table.Commit(ctx, cottonlanding.Transaction{
		ID:     cottonlanding.TransactionID(uuid.NewString()),
		Writes: []cottonlanding.Write{{Key: s.deps.Key, Expect: last.Version, Value: packed}},
	})
	if err != nil {
		s.deps.Log.Warn("operators' table isn't copied", "Version", next.Version, "Error", err)
		return
	}
	s.count(func(c *Counts) { c.CopiesWritten++ })
	s.deps.Log.Info("operators' table copied", "Version", next.Version, "Bytes", len(packed))
}
