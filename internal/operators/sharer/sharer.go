// Package sharer lets hosts read the operators' table from a packed copy.
//
// What operators write is long, and each host must know of each change: read by each host, a change
// costs its length times the hosts. Here the owner of the first cell writes a packed copy into a row of
// whose changes the table tells all hosts anyway. Hosts that own nothing wait for it, and look at the
// table themselves as often as they would without it: then most looks find nothing new, and a
// copy that is late, old, broken or missing costs bytes but no time.
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
	// writeInterval is the shortest time between two copies: of changes in quick succession most are
	// out of date before all hosts have read them.
	writeInterval = 250 * cottonlanding.Millis(1)
	// writeTimeout bounds the write of a copy.
	writeTimeout = cottonlanding.Second
)

// Watcher tells of the changes of watched rows.
type Watcher interface {
	Row(key cottonlanding.Key) (cottonlanding.Row, bool)
	Listen(key cottonlanding.Key, listener func())
}

// Dependencies are what a sharer works with.
type Dependencies struct {
	// Feed is the operators' table itself.
	Feed cottonlanding.Feed
	// Table holds the copy in the watched row Key, Roll tells of it.
	Table   cottonlanding.Table
	Key     cottonlanding.Key
	Watcher Watcher
	Clock   cottonlanding.Clock
	Log     *slog.Logger
	// WritesCopies reports whether this host writes copies, Waits whether it waits for them.
	WritesCopies func() bool
	AwaitsCopies func() bool
}

// Sharer reads the operators' table, or a copy of it. It implements cottonlanding.Feed for one
// reader at a time.
type Sharer struct {
	deps Dependencies
	// copyArrived holds a signal when there is another copy, changed when there is something to copy.
	copyArrived  waker.Waker
	tableChanged waker.Waker

	// The fields below belong to the reader's goroutine.
	// tableReadAt is when this host last looked at the table itself.
	tableReadAt cottonlanding.Millis
	// newest is the newest copy that could be read, from row version newestRow on.
	newest           tableCopy
	newestRowVersion cottonlanding.Version

	mu      sync.Mutex
	rows    map[string]cottonlanding.FeedRow
	version cottonlanding.Version
	counts  Counts
}

// Counts counts what a sharer has read and written.
type Counts struct {
	// CopiesRead counts the copies that told something new, TableReads the readings of the table itself,
	// TableReadsWithChanges those of them that told something new.
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

// Read implements cottonlanding.Feed. What isn't known at all is read from the table.
func (s *Sharer) Read(ctx context.Context, version cottonlanding.Version, wait cottonlanding.Millis) (cottonlanding.FeedReading, error) {
	if version > 0 && s.deps.AwaitsCopies() {
		if s.awaitCopy(ctx, version, wait) {
			reading := s.newest.asReading()
			s.apply(reading)
			s.count(func(c *Counts) { c.CopiesRead++ })
			return reading, nil
		}
		wait = 0
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

// awaitCopy waits for a copy that is newer than version, until the next look is due. It reports
// whether there is one.
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

// loadCopy takes in the copy that was last written. One that can't be read changes nothing.
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

// apply takes in a reading, and has it copied if that is this host's part.
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

// currentCopy returns a copy of the table as it is known.
func (s *Sharer) currentCopy() tableCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := tableCopy{Version: s.version}
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		out.Rows = append(out.Rows, s.rows[key])
	}
	return out
}

// write writes a copy. After a failure hosts look for themselves.
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
