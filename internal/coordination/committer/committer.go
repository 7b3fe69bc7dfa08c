// Package committer implements group commit: it combines the writes of many
// proposers into few transactions of the platform's table, and determines the
// outcome of a transaction whose answer was lost.
//
// Each committer owns a lane row, which each of its transactions replaces. The
// lane makes the transactions strictly serial: a duplicate that was delayed on
// the network finds another version of the row and has no effect. The lane row
// also holds the id of the last transaction that took effect, so that one read
// resolves a lost answer.
package committer

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/google/uuid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/buffer"
	"github.com/cottonlanding/cottonlanding/internal/duty/pauser"
)

// Defaults of the options.
const (
	defaultSpacing   = 20 * cottonlanding.Millis(1)
	defaultMaxWrites = 500
	defaultCapacity  = 4096
	defaultTimeout   = 2 * cottonlanding.Second
	minRetryInterval = 20 * cottonlanding.Millis(1)
	maxRetryInterval = cottonlanding.Second
)

// Proposal is a set of writes that takes effect as a whole or not at all.
type Proposal struct {
	Checks []cottonlanding.Check
	Writes []cottonlanding.Write
	// Done is called once with the result, on the committer's goroutine; it
	// must not block. The error is nil, ErrConflict, ErrUnavailable if the
	// committer was closed and the proposal had no effect, or ErrAmbiguous if
	// it was closed before the outcome was known.
	Done func(cottonlanding.Receipt, error)
}

// Committer commits proposals in groups, one transaction at a time.
type Committer struct {
	table     cottonlanding.Table
	clock     cottonlanding.Clock
	lane      cottonlanding.Key
	spacing   atomic.Int64 // in milliseconds
	maxWrites int
	timeout   cottonlanding.Millis

	ring   *buffer.Ring[Proposal]
	stop   chan struct{}
	ended  chan struct{}
	ctx    context.Context
	cancel context.CancelFunc

	// laneVersion and pending are used by the committer's goroutine only.
	laneVersion cottonlanding.Version
	pending     []Proposal

	stalled atomic.Bool
	counts  counters
}

type counters struct {
	transactions atomic.Int64
	proposals    atomic.Int64
	conflicts    atomic.Int64
	lostAnswers  atomic.Int64
	resent       atomic.Int64
}

// State is a Committer's state for diagnostics.
type State struct {
	Lane cottonlanding.Key
	Ring buffer.State
	// Stalled is whether the last call of the table failed.
	Stalled      bool
	Transactions int64
	Proposals    int64
	Conflicts    int64
	// LostAnswers is the number of sends whose answer was lost.
	LostAnswers int64
	// Resent is the number of repeated sends of a transaction.
	Resent int64
}

// Option changes a committer's defaults.
type Option func(*Committer)

// WithSpacing sets the minimum time between two transactions, 20 ms by default.
// A proposal that comes after a longer idle time is sent at once.
func WithSpacing(spacing cottonlanding.Millis) Option {
	return func(c *Committer) { c.SetSpacing(spacing) }
}

// WithMaxWrites limits the row writes of one transaction, to 500 by default. A
// single proposal with more writes is still sent.
func WithMaxWrites(maxWrites int) Option {
	return func(c *Committer) { c.maxWrites = maxWrites }
}

// WithTimeout limits the duration of one call of the table, to 2 s by default.
func WithTimeout(timeout cottonlanding.Millis) Option {
	return func(c *Committer) { c.timeout = timeout }
}

// New starts a Committer with a lane row that must never have been used before.
func New(table cottonlanding.Table, clock cottonlanding.Clock, lane cottonlanding.Key, options ...Option) *Committer {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Committer{
		table:     table,
		clock:     clock,
		lane:      lane,
		maxWrites: defaultMaxWrites,
		timeout:   defaultTimeout,
		ring:      buffer.New[Proposal](defaultCapacity),
		stop:      make(chan struct{}),
		ended:     make(chan struct{}),
		ctx:       ctx,
		cancel:    cancel,
	}
	c.SetSpacing(defaultSpacing)
	for _, option := range options {
		option(c)
	}
	go c.run()
	return c
}

// SetSpacing changes the minimum time between two transactions, so that many
// processes can share the table's capacity.
func (c *Committer) SetSpacing(spacing cottonlanding.Millis) { c.spacing.Store(int64(spacing)) }

func (c *Committer) spacingNow() cottonlanding.Millis { return cottonlanding.Millis(c.spacing.Load()) }

// Propose queues a proposal. It returns ErrBusy if the queue is full and
// ErrUnavailable after Close, and doesn't call Done then.
func (c *Committer) Propose(proposal Proposal) error {
	select {
	case <-c.stop:
		return fmt.Errorf("committer is closed: %w", cottonlanding.ErrUnavailable)
	default:
	}
	if !c.ring.Push(proposal) {
		return fmt.Errorf("committer: %w", cottonlanding.ErrBusy)
	}
	return nil
}

// Stalled reports whether the last call of the table failed, so that new
// proposals have to wait until the table is back.
func (c *Committer) Stalled() bool { return c.stalled.Load() }

// State returns the state for diagnostics.
func (c *Committer) State() State {
	return State{
		Lane:         c.lane,
		Ring:         c.ring.State(),
		Stalled:      c.stalled.Load(),
		Transactions: c.counts.transactions.Load(),
		Proposals:    c.counts.proposals.Load(),
		Conflicts:    c.counts.conflicts.Load(),
		LostAnswers:  c.counts.lostAnswers.Load(),
		Resent:       c.counts.resent.Load(),
	}
}

// Close commits the queued proposals. If ctx ends first, it ends the remaining
// ones with an error.
func (c *Committer) Close(ctx context.Context) {
	close(c.stop)
	select {
	case <-c.ended:
	case <-ctx.Done():
	}
	c.cancel()
	<-c.ended
}

func (c *Committer) run() {
	defer close(c.ended)
	last := -c.spacingNow()
	for {
		group := c.nextGroup(last)
		if group == nil {
			return
		}
		last = c.clock.Now()
		c.commit(group)
	}
}

// nextGroup waits for a proposal and for the end of the spacing after last, and
// returns the proposals that can share one transaction, or nil once the
// committer is closed and has none left.
func (c *Committer) nextGroup(last cottonlanding.Millis) []Proposal {
	if len(c.pending) == 0 && !c.awaitFirst() {
		return nil
	}
	if wait := last + c.spacingNow() - c.clock.Now(); wait > 0 {
		c.sleep(wait)
	}
	c.takeQueued()
	return c.selectCompatible()
}

// awaitFirst waits for a proposal and adds it to pending. It returns false if
// the committer is closed and the queue is empty.
func (c *Committer) awaitFirst() bool {
	select {
	case proposal := <-c.ring.Items():
		c.pending = append(c.pending, proposal)
		return true
	case <-c.stop:
	}
	select {
	case proposal := <-c.ring.Items():
		c.pending = append(c.pending, proposal)
		return true
	default:
		return false
	}
}

func (c *Committer) takeQueued() {
	for len(c.pending) < c.maxWrites {
		select {
		case proposal := <-c.ring.Items():
			c.pending = append(c.pending, proposal)
		default:
			return
		}
	}
}

// selectCompatible returns the pending proposals that write different rows and
// fit into one transaction; the others stay pending. Proposals that write the
// same row keep their order.
func (c *Committer) selectCompatible() []Proposal {
	usedKeys := make(map[cottonlanding.Key]bool)
	var picked, rest []Proposal
	size := 0
	for _, proposal := range c.pending {
		full := len(picked) > 0 && size+len(proposal.Writes) > c.maxWrites
		if full || overlaps(usedKeys, proposal) {
			rest = append(rest, proposal)
			addKeys(usedKeys, proposal)
			continue
		}
		picked = append(picked, proposal)
		size += len(proposal.Writes)
		addKeys(usedKeys, proposal)
	}
	c.pending = rest
	return picked
}

func overlaps(usedKeys map[cottonlanding.Key]bool, proposal Proposal) bool {
	for _, write := range proposal.Writes {
		if usedKeys[write.Key] {
			return true
		}
	}
	return false
}

func addKeys(usedKeys map[cottonlanding.Key]bool, proposal Proposal) {
	for _, write := range proposal.Writes {
		usedKeys[write.Key] = true
	}
}

// commit sends a group until the outcome of each proposal is known.
func (c *Committer) commit(group []Proposal) {
	c.counts.proposals.Add(int64(len(group)))
	for len(group) > 0 {
		receipt, err := c.resolve(c.transaction(group))
		switch {
		case err == nil:
			c.laneVersion = receipt.Version
			complete(group, receipt, nil)
			return
		case errors.Is(err, cottonlanding.ErrConflict):
			c.counts.conflicts.Add(1)
			group = c.dropConflicting(group)
		default:
			complete(group, cottonlanding.Receipt{}, err)
			return
		}
	}
}

func complete(group []Proposal, receipt cottonlanding.Receipt, err error) {
	for _, proposal := range group {
		proposal.Done(receipt, err)
	}
}

func (c *Committer) transaction(group []Proposal) cottonlanding.Transaction {
	out := cottonlanding.Transaction{ID: cottonlanding.TransactionID(uuid.NewString())}
	out.Writes = append(out.Writes, cottonlanding.Write{Key: c.lane, Expect: c.laneVersion})
	seen := make(map[cottonlanding.Check]bool)
	for _, proposal := range group {
		for _, check := range proposal.Checks {
			if !seen[check] {
				seen[check] = true
				out.Checks = append(out.Checks, check)
			}
		}
		out.Writes = append(out.Writes, proposal.Writes...)
	}
	return out
}

// dropConflicting ends the proposals whose expected versions have changed and
// returns the others. Versions are never reused, so a proposal that fails now
// would always fail.
func (c *Committer) dropConflicting(group []Proposal) []Proposal {
	versions, err := c.versions(group)
	if err != nil {
		complete(group, cottonlanding.Receipt{}, err)
		return nil
	}
	if versions[c.lane] != c.laneVersion {
		complete(group, cottonlanding.Receipt{}, fmt.Errorf("lane %s was taken over: %w", c.lane, cottonlanding.ErrConflict))
		return nil
	}
	var remaining []Proposal
	for _, proposal := range group {
		if err := mismatch(versions, proposal); err != nil {
			proposal.Done(cottonlanding.Receipt{}, err)
			continue
		}
		remaining = append(remaining, proposal)
	}
	return remaining
}

func mismatch(versions map[cottonlanding.Key]cottonlanding.Version, proposal Proposal) error {
	for _, check := range proposal.Checks {
		if versions[check.Key] != check.Expect {
			return fmt.Errorf("%s changed: %w", check.Key, cottonlanding.ErrConflict)
		}
	}
	for _, write := range proposal.Writes {
		if !write.Unchecked && versions[write.Key] != write.Expect {
			return fmt.Errorf("%s changed: %w", write.Key, cottonlanding.ErrConflict)
		}
	}
	return nil
}

// versions returns the present versions of the lane and of all rows whose
// version the group expects; absent rows are missing from the map, which reads
// as version 0. It retries until the read succeeds or the committer is closed.
func (c *Committer) versions(group []Proposal) (map[cottonlanding.Key]cottonlanding.Version, error) {
	keys := []cottonlanding.Key{c.lane}
	for _, proposal := range group {
		for _, check := range proposal.Checks {
			keys = append(keys, check.Key)
		}
		for _, write := range proposal.Writes {
			if !write.Unchecked {
				keys = append(keys, write.Key)
			}
		}
	}
	retryInterval := minRetryInterval
	for {
		rows, err := c.read(keys)
		if err == nil {
			out := make(map[cottonlanding.Key]cottonlanding.Version, len(rows))
			for _, row := range rows {
				out[row.Key] = row.Version
			}
			return out, nil
		}
		if !c.sleep(retryInterval) {
			return nil, c.closedError(false)
		}
		retryInterval = min(2*retryInterval, maxRetryInterval)
	}
}

// sleep waits for span and reports whether the committer is still running.
func (c *Committer) sleep(span cottonlanding.Millis) bool {
	pauser.Pause(c.ctx, span)
	return c.ctx.Err() == nil
}
