package claimer

import (
	"context"
	"encoding/json"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/committer"
	"github.com/cottonlanding/cottonlanding/internal/duty/repeater"
)

const (
	sweepEvery = 5 * cottonlanding.Second
	// sweepPage is how many rows one step of a sweep reads.
	sweepPage = 500
)

// Living tells which sessions have not ended, and whether the sweep falls to
// this daemon.
type Living func() (alive map[cottonlanding.SessionID]bool, mine bool)

// Sweeper deletes claims whose sessions have ended, once they have been seen
// unchanged for as long as answers are kept. One daemon sweeps at a time; two
// that disagree do no harm.
type Sweeper struct {
	claimer *Claimer
	living  Living
	after   cottonlanding.Key
	// seen holds the orphans and when each was first seen with its version.
	seen map[cottonlanding.Key]orphan

	duty *repeater.Repeater
}

type orphan struct {
	version cottonlanding.Version
	since   cottonlanding.Millis
}

// NewSweeper starts a sweeper that commits and keeps time like the claimer.
func NewSweeper(claimer *Claimer, living Living) *Sweeper {
	s := &Sweeper{claimer: claimer, living: living, seen: make(map[cottonlanding.Key]orphan)}
	s.duty = repeater.New(sweepEvery, s.sweep)
	return s
}

// Close ends the sweeper.
func (s *Sweeper) Close() { s.duty.Close() }

func (s *Sweeper) sweep(ctx context.Context) {
	if alive, mine := s.living(); mine {
		s.step(ctx, alive)
	} else {
		clear(s.seen)
	}
}

// step looks at the next page of claims.
func (s *Sweeper) step(ctx context.Context, alive map[cottonlanding.SessionID]bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	rows, err := s.claimer.table.Scan(ctx, prefix, s.after, sweepPage)
	if err != nil {
		return
	}
	s.after = ""
	if len(rows) == sweepPage {
		s.after = rows[len(rows)-1].Key
	}
	now := s.claimer.clock.Now()
	for _, row := range rows {
		s.judge(row, alive, now)
	}
}

func (s *Sweeper) judge(row cottonlanding.Row, alive map[cottonlanding.SessionID]bool, now cottonlanding.Millis) {
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil || alive[record.Session] {
		return
	}
	known, found := s.seen[row.Key]
	if !found || known.version != row.Version {
		s.seen[row.Key] = orphan{version: row.Version, since: now}
		return
	}
	if now-known.since < s.claimer.keepFor() {
		return
	}
	write := cottonlanding.Write{Key: row.Key, Expect: row.Version, Delete: true}
	proposal := committer.Proposal{Writes: []cottonlanding.Write{write}, Done: func(cottonlanding.Receipt, error) {}}
	if s.claimer.committer.Propose(proposal) == nil {
		delete(s.seen, row.Key)
		s.claimer.recordPruned()
	}
}

func (c *Claimer) keepFor() cottonlanding.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keep
}

func (c *Claimer) recordPruned() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pruned++
}
