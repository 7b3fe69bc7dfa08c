// Package follower keeps a process at the newest generation of a configuration
// that all processes share through the platform's table.
//
// A generation is accepted once its row is committed. A follower only moves to
// higher generations, which it reads from the table or, while the table is
// unreachable, receives from another process.
package follower

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/committer"
	"github.com/cottonlanding/cottonlanding/internal/duty/repeater"
)

const (
	headKey           cottonlanding.Key = "Config/Head"
	generationsPrefix cottonlanding.Key = "Config/Generations/"
	readTimeout                         = 2 * cottonlanding.Second
	// retainedGenerations is the number of generations that stay in the table.
	retainedGenerations = 20
)

// head is the value of the head row, which names the newest generation.
type head struct {
	Generation cottonlanding.Generation
}

// Snapshot is one accepted configuration.
type Snapshot struct {
	// Generation is 0 before any configuration was accepted.
	Generation cottonlanding.Generation
	Text       []byte
}

// Conflict is the error of an Apply whose expected generation isn't the newest.
type Conflict struct {
	Expected cottonlanding.Generation
	Current  Snapshot
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("generation %d is in force, not %d", c.Current.Generation, c.Expected)
}

// Unwrap returns ErrConflict.
func (c *Conflict) Unwrap() error { return cottonlanding.ErrConflict }

// Follower follows and changes the configuration.
type Follower struct {
	table     cottonlanding.Table
	committer *committer.Committer
	changed   func(Snapshot)

	mu       sync.Mutex
	current  Snapshot
	polls    int64
	failures int64

	duty *repeater.Repeater
}

// State is a Follower's state for diagnostics.
type State struct {
	Generation cottonlanding.Generation
	Polls      int64
	Failures   int64
}

// New starts a Follower that reads the table at intervals of poll and calls
// changed with each newer generation that it sees. Calls of changed don't
// overlap, and changed must not call the Follower.
func New(table cottonlanding.Table, committer *committer.Committer, poll cottonlanding.Millis, changed func(Snapshot)) *Follower {
	f := &Follower{table: table, committer: committer, changed: changed}
	f.duty = repeater.New(poll, f.refresh)
	return f
}

// Current returns the newest generation that was seen.
func (f *Follower) Current() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// State returns the state for diagnostics.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return State{Generation: f.current.Generation, Polls: f.polls, Failures: f.failures}
}

// Offer accepts a generation that another process has seen accepted. It has no effect if the generation
// isn't newer than the current one.
func (f *Follower) Offer(snapshot Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if snapshot.Generation <= f.current.Generation {
		return
	}
	f.current = snapshot
	f.changed(snapshot)
}

// Nudge makes the follower read the table at once.
func (f *Follower) Nudge() { f.duty.Nudge() }

// Close stops the follower.
func (f *Follower) Close() { f.duty.Close() }

func (f *Follower) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	newest, _, err := f.readHead(ctx)
	if err == nil && newest > f.Current().Generation {
		err = f.fetch(ctx, newest)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls++
	if err != nil {
		f.failures++
	}
}

func (f *Follower) fetch(ctx context.Context, generation cottonlanding.Generation) error {
	rows, err := f.table.Read(ctx, generationKey(generation))
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		return fmt.Errorf("generation %d: %w", generation, cottonlanding.ErrNotFound)
	}
	f.Offer(Snapshot{Generation: generation, Text: rows[0].Value})
	return nil
}

func (f *Follower) readHead(ctx context.Context) (cottonlanding.Generation, cottonlanding.Version, error) {
	rows, err := f.table.Read(ctx, headKey)
	if err != nil || len(rows) == 0 {
		return 0, 0, err
	}
	var value head
	if err := json.Unmarshal(rows[0].Value, &value); err != nil {
		return 0, 0, fmt.Errorf("row %s: %w", headKey, err)
	}
	return value.Generation, rows[0].Version, nil
}

// Apply makes text the configuration that follows the generation expected, and
// returns its generation. If text is already in force as the generation after
// expected, it succeeds: the operator repeats an Apply whose answer was lost.
// The error is a *Conflict if another generation came first, ErrBusy or
// ErrUnavailable if nothing was written, or ErrAmbiguous if ctx ended or the
// committer was closed before the outcome was known.
func (f *Follower) Apply(ctx context.Context, text []byte, expected cottonlanding.Generation) (cottonlanding.Generation, error) {
	generation, version, err := f.readHead(ctx)
	if err != nil {
		return 0, fmt.Errorf("read the newest generation: %w", err)
	}
	if generation != expected {
		return f.resolveRace(ctx, text, expected)
	}
	next := expected + 1
	writes, err := f.writes(ctx, text, next, version)
	if err != nil {
		return 0, err
	}
	result := make(chan error, 1)
	proposal := committer.Proposal{Writes: writes, Done: func(_ cottonlanding.Receipt, err error) { result <- err }}
	if err := f.committer.Propose(proposal); err != nil {
		return 0, err
	}
	select {
	case err = <-result:
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", cottonlanding.ErrAmbiguous, ctx.Err())
	}
	if errors.Is(err, cottonlanding.ErrConflict) {
		return f.resolveRace(ctx, text, expected)
	}
	if err != nil {
		return 0, err
	}
	f.Offer(Snapshot{Generation: next, Text: text})
	return next, nil
}

func (f *Follower) writes(ctx context.Context, text []byte, next cottonlanding.Generation, version cottonlanding.Version) ([]cottonlanding.Write, error) {
	value, err := json.Marshal(head{Generation: next})
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	writes := []cottonlanding.Write{
		{Key: headKey, Expect: version, Value: value},
		{Key: generationKey(next), Value: text},
	}
	if next <= retainedGenerations {
		return writes, nil
	}
	rows, err := f.table.Read(ctx, generationKey(next-retainedGenerations))
	if err != nil {
		return nil, fmt.Errorf("read an old generation: %w", err)
	}
	for _, row := range rows {
		writes = append(writes, cottonlanding.Write{Key: row.Key, Expect: row.Version, Delete: true})
	}
	return writes, nil
}

// resolveRace reads which text came first: it returns the generation after expected if that has the
// given text, and a *Conflict otherwise.
func (f *Follower) resolveRace(ctx context.Context, text []byte, expected cottonlanding.Generation) (cottonlanding.Generation, error) {
	newest, _, err := f.readHead(ctx)
	if err != nil {
		return 0, fmt.Errorf("read the newest generation: %w", err)
	}
	if newest > f.Current().Generation {
		if err := f.fetch(ctx, newest); err != nil {
			return 0, err
		}
	}
	current := f.Current()
	if current.Generation == expected+1 && bytes.Equal(current.Text, text) {
		return current.Generation, nil
	}
	return 0, &Conflict{Expected: expected, Current: current}
}

func generationKey(generation cottonlanding.Generation) cottonlanding.Key {
	return generationsPrefix + cottonlanding.Key(fmt.Sprintf("%020d", generation))
}
