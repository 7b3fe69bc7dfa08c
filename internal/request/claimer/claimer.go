// Package claimer makes sure that a request with an idempotency key runs at most
// once in the whole deployment, and keeps its answer for repeats.
//
// A claim is a row that only one daemon can create. It is created before the
// request is dispatched, and replaced by the answer afterwards. A claim whose
// request certainly did not run is deleted again.
package claimer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"sync"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/committer"
	"github.com/cottonlanding/cottonlanding/internal/duty/pauser"
	"github.com/cottonlanding/cottonlanding/internal/duty/repeater"
)

const (
	prefix cottonlanding.Key = "Claims/"
	// MaxKey is the longest idempotency key, in bytes.
	MaxKey = 200
	// maxKept is the largest answer that is kept whole, in bytes.
	maxKept     = 64 << 10
	readTimeout = 2 * cottonlanding.Second
	// mostClaims bounds the claims that one daemon keeps alive.
	mostClaims = 200_000
	pruneEvery = cottonlanding.Second
	// pruneBatch bounds the rows deleted at a time.
	pruneBatch = 200
	// settleWait is how long a repeat waits for the answer of the call that holds its
	// key. A caller has its answer before that is committed, so that a repeat which comes
	// at once finds the claim without it. Commits take some 10 ms, by measurement, and the
	// answer may wait behind the one under way; a second leaves room for a busy host, and
	// a repeat of a call that is still running, or whose host is gone, isn't held for long.
	settleWait = cottonlanding.Second
	// firstSettlePause is the pause after the first look for such an answer, twice that of
	// the one before after each further one: eight reads at most.
	firstSettlePause = 5 * cottonlanding.Millis(1)
)

// ErrUnsettled reports a key that was claimed before and has no answer yet, or
// whose answer was never learnt.
var ErrUnsettled = errors.New("the request was taken before and its outcome isn't known")

// errRunning is ErrUnsettled of a claim to which an answer may still come.
var errRunning = fmt.Errorf("%w yet", ErrUnsettled)

// Record is the value of a claim's row.
type Record struct {
	Session cottonlanding.SessionID
	// Outcome is empty while the request runs.
	Outcome cottonlanding.Outcome
	Status  int
	Header  cottonlanding.Header
	Body    []byte
	// TooLarge says that the answer was too large to be kept.
	TooLarge bool
}

// Claim is a key that belongs to this daemon.
type Claim struct {
	key     cottonlanding.Key
	version cottonlanding.Version
}

// Claimer claims keys for one session.
type Claimer struct {
	table     cottonlanding.Table
	committer *committer.Committer
	clock     cottonlanding.Clock
	session   cottonlanding.SessionID

	mu     sync.Mutex
	keep   cottonlanding.Millis
	owned  []aged
	count  int
	pruned int64
	kept   int64
	denied int64

	duty *repeater.Repeater
}

// aged is an own row and when it was last written.
type aged struct {
	claim   Claim
	settled cottonlanding.Millis
}

// State is a claimer's dump.
type State struct {
	// Claims counts the rows of this daemon that are still kept.
	Claims int
	Most   int
	Pruned int64
	// Kept counts repeats that got a kept answer.
	Kept int64
	// Denied counts repeats whose outcome was unknown.
	Denied int64
}

// New returns a claimer that keeps answers for keep.
func New(table cottonlanding.Table, committer *committer.Committer, clock cottonlanding.Clock, session cottonlanding.SessionID, keep cottonlanding.Millis) *Claimer {
	c := &Claimer{
		table:     table,
		committer: committer,
		clock:     clock,
		session:   session,
		keep:      keep,
	}
	c.duty = repeater.New(pruneEvery, c.prune)
	return c
}

// SetKeep changes how long answers are kept.
func (c *Claimer) SetKeep(keep cottonlanding.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep = keep
}

// State returns the dump.
func (c *Claimer) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{Claims: c.count, Most: mostClaims, Pruned: c.pruned, Kept: c.kept, Denied: c.denied}
}

// Close stops pruning. Rows that remain are pruned by other daemons.
func (c *Claimer) Close() { c.duty.Close() }

// Key returns the row key for a caller's idempotency key, which may hold any bytes.
func Key(service cottonlanding.ServiceName, key string) cottonlanding.Key {
	return prefix + cottonlanding.Key(service) + "/" + cottonlanding.Key(url.PathEscape(key))
}

// Claim takes a key for this daemon. If it was taken before, the answer is the
// kept one, for which it waits a little, or the error is ErrUnsettled.
// ErrUnavailable means that the key was not taken, so that the request must not be run.
func (c *Claimer) Claim(ctx context.Context, service cottonlanding.ServiceName, key string) (Claim, *Record, error) {
	if c.full() {
		return Claim{}, nil, fmt.Errorf("too many claims: %w", cottonlanding.ErrUnavailable)
	}
	if c.committer.Stalled() {
		return Claim{}, nil, fmt.Errorf("the table can't be reached: %w", cottonlanding.ErrUnavailable)
	}
	row := Key(service, key)
	claimed, err := c.create(ctx, row)
	if errors.Is(err, cottonlanding.ErrConflict) {
		record, err := c.awaitSettled(ctx, row)
		c.countRepeat(err)
		return Claim{}, record, err
	}
	return claimed, nil, err
}

// awaitSettled returns the kept answer of a claimed key, also if it is only being
// committed, or ErrUnsettled.
func (c *Claimer) awaitSettled(ctx context.Context, row cottonlanding.Key) (*Record, error) {
	until := c.clock.Now() + settleWait
	for pause := firstSettlePause; ; pause *= 2 {
		record, err := c.lookup(ctx, row)
		if !errors.Is(err, errRunning) || c.clock.Now()+pause > until {
			return record, err
		}
		pauser.Pause(ctx, pause)
		if ctx.Err() != nil {
			return record, err
		}
	}
}

// countRepeat counts a repeat that got a kept answer, or whose outcome is unknown.
func (c *Claimer) countRepeat(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.kept++
	case errors.Is(err, ErrUnsettled):
		c.denied++
	}
}

func (c *Claimer) full() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count >= mostClaims
}

type created struct {
	receipt cottonlanding.Receipt
	err     error
}

// create proposes the row. If ctx ends first, the claim is given up, and deleted
// in case it was created all the same.
func (c *Claimer) create(ctx context.Context, row cottonlanding.Key) (Claim, error) {
	result := make(chan created, 1)
	proposal := committer.Proposal{
		Writes: []cottonlanding.Write{{Key: row, Value: encode(Record{Session: c.session})}},
		Done:   func(receipt cottonlanding.Receipt, err error) { result <- created{receipt, err} },
	}
	if err := c.committer.Propose(proposal); err != nil {
		return Claim{}, fmt.Errorf("%w: %w", cottonlanding.ErrUnavailable, err)
	}
	select {
	case r := <-result:
		if r.err != nil {
			return Claim{}, r.err
		}
		return Claim{key: row, version: r.receipt.Version}, nil
	case <-ctx.Done():
		go c.giveUp(row, result)
		return Claim{}, fmt.Errorf("%w: claiming took too long: %w", cottonlanding.ErrUnavailable, ctx.Err())
	}
}

func (c *Claimer) giveUp(row cottonlanding.Key, result <-chan created) {
	if r := <-result; r.err == nil {
		c.Release(Claim{key: row, version: r.receipt.Version})
	}
}

// lookup returns the kept answer of a claimed key, or ErrUnsettled. A key that
// is free by now gives ErrUnavailable: the caller may come again.
func (c *Claimer) lookup(ctx context.Context, row cottonlanding.Key) (*Record, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	rows, err := c.table.Read(ctx, row)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsettled, err)
	}
	if len(rows) == 0 {
		return nil, fmt.Errorf("the key was just released: %w", cottonlanding.ErrUnavailable)
	}
	var record Record
	if err := json.Unmarshal(rows[0].Value, &record); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsettled, err)
	}
	switch {
	case record.Outcome == "":
		return nil, errRunning
	case record.Outcome != cottonlanding.Ran || record.TooLarge:
		return nil, ErrUnsettled
	}
	return &record, nil
}

// Settle keeps the outcome of a claimed request for repeats.
func (c *Claimer) Settle(claim Claim, outcome cottonlanding.Outcome, answer cottonlanding.Answer) {
	record := Record{Session: c.session, Outcome: outcome}
	if len(answer.Body) <= maxKept {
		record.Status, record.Header, record.Body = answer.Status, answer.Header, answer.Body
	} else {
		record.TooLarge = true
	}
	c.mu.Lock()
	c.count++
	c.mu.Unlock()
	write := cottonlanding.Write{Key: claim.key, Expect: claim.version, Value: encode(record)}
	c.propose(write, func(receipt cottonlanding.Receipt, err error) {
		if err == nil {
			claim.version = receipt.Version
		}
		c.remember(claim)
	})
}

func (c *Claimer) remember(claim Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owned = append(c.owned, aged{claim: claim, settled: c.clock.Now()})
}

// Release deletes a claim whose request certainly did not run.
func (c *Claimer) Release(claim Claim) {
	write := cottonlanding.Write{Key: claim.key, Expect: claim.version, Delete: true}
	c.propose(write, func(cottonlanding.Receipt, error) {})
}

func (c *Claimer) propose(write cottonlanding.Write, done func(cottonlanding.Receipt, error)) {
	proposal := committer.Proposal{Writes: []cottonlanding.Write{write}, Done: done}
	if err := c.committer.Propose(proposal); err != nil {
		done(cottonlanding.Receipt{}, err) // the claim stays as it is: a repeat gets Unknown
	}
}

// prune deletes own rows whose time is over.
func (c *Claimer) prune(context.Context) {
	for _, claim := range c.due(c.clock.Now()) {
		c.Release(claim)
	}
}

func (c *Claimer) due(now cottonlanding.Millis) []Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Claim
	for len(c.owned) > 0 && len(out) < pruneBatch && now-c.owned[0].settled >= c.keep {
		out = append(out, c.owned[0].claim)
		c.owned = c.owned[1:]
	}
	c.count -= len(out)
	c.pruned += int64(len(out))
	return out
}

func encode(record Record) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("encode claim: %v", err)) // the type has no field that can fail
	}
	return data
}
