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
	// writeGap is the shortest time between two copies: of changes in quick succession most are
	// out of date before all hosts have read them.
	writeGap = 250 * cottonlanding.Millis(1)
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
	// Writes reports whether this host writes copies, Waits whether it waits for them.
	Writes func() bool
	Waits  func() bool
}

// Sharer reads the operators' table, or a copy of it. It implements cottonlanding.Feed for one
// reader at a time.
type Sharer struct {
	deps Dependencies
	// came holds a signal when there is another copy, changed when there is something to copy.
	came    waker.Waker
	changed waker.Waker

	// The fields below belong to the reader's goroutine.
	// lookedAt is when this host last looked at the table itself.
	lookedAt cottonlanding.Millis
	// newest is the newest copy that could be read, from row version newestRow on.
	newest    tableCopy
	newestRow cottonlanding.Version

	mu      sync.Mutex
	rows    map[string]cottonlanding.FeedRow
	version cottonlanding.Version
	counts  Counts
}

// Counts counts what a sharer has read and written.
type Counts struct {
	// Copies counts the copies that told something new, Looks the readings of the table itself,
	// News those of them that told something new.
	Copies, Looks, News int
	// Written counts the copies that this host wrote.
	Written int
}

// New returns a sharer that writes copies until ctx ends.
func New(ctx context.Context, deps Dependencies) *Sharer {
	s := &Sharer{
		deps:    deps,
		came:    waker.New(),
		changed: waker.New(),
		rows:    make(map[string]cottonlanding.FeedRow),
	}
	deps.Watcher.Listen(deps.Key, s.came.Wake)
	go func() {
		for ctx.Err() == nil {
			select {
			case <-s.changed:
				s.write(ctx)
				pauser.Pause(ctx, writeGap)
			case <-ctx.Done():
			}
		}
	}()
	return s
}

// Read implements cottonlanding.Feed. What isn't known at all is read from the table.
func (s *Sharer) Read(ctx context.Context, version cottonlanding.Version, wait cottonlanding.Millis) (cottonlanding.FeedReading, error) {
	if version > 0 && s.deps.Waits() {
		if s.await(ctx, version, wait) {
			news := s.newest.reading()
			s.note(news)
			s.count(func(c *Counts) { c.Copies++ })
			return news, nil
		}
		wait = 0
	}
	s.lookedAt = s.deps.Clock.Now()
	news, err := s.deps.Feed.Read(ctx, version, wait)
	if err != nil {
		return cottonlanding.FeedReading{}, err
	}
	s.note(news)
	s.count(func(c *Counts) {
		c.Looks++
		c.News += min(1, len(news.Rows))
	})
	return news, nil
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

// await waits for a copy that is newer than version, until the next look is due. It reports
// whether there is one.
func (s *Sharer) await(ctx context.Context, version cottonlanding.Version, lookEvery cottonlanding.Millis) bool {
	left := s.lookedAt + lookEvery - s.deps.Clock.Now()
	if left <= 0 {
		return false
	}
	due := time.NewTimer(left.Duration())
	defer due.Stop()
	for {
		select {
		case <-s.came:
			s.takeCopy()
			if s.newest.Version > version {
				return true
			}
		case <-due.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// takeCopy takes in the copy that was last written. One that can't be read changes nothing.
func (s *Sharer) takeCopy() {
	row, _ := s.deps.Watcher.Row(s.deps.Key)
	if row.Version <= s.newestRow {
		return
	}
	s.newestRow = row.Version
	next, err := unpack(row.Value)
	if err != nil {
		s.deps.Log.Error("copy of the operators' table refused", "Version", row.Version, "Error", err)
		return
	}
	if next.Version > s.newest.Version {
		s.newest = next
	}
}

// note takes in a reading, and has it copied if that is this host's part.
func (s *Sharer) note(news cottonlanding.FeedReading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if news.Whole {
		clear(s.rows)
	}
	for _, row := range news.Rows {
		if row.Deleted {
			delete(s.rows, row.Key)
			continue
		}
		s.rows[row.Key] = row
	}
	s.version = news.Version
	if len(news.Rows) > 0 && s.deps.Writes() {
		s.changed.Wake()
	}
}

// copyNow returns a copy of the table as it is known.
func (s *Sharer) copyNow() tableCopy {
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
	next := s.copyNow()
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
	s.count(func(c *Counts) { c.Written++ })
	s.deps.Log.Info("operators' table copied", "Version", next.Version, "Bytes", len(packed))
}
