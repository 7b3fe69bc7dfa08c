package faulter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cottonlanding/cottonlanding"
)

// Fate is what becomes of one call of a table.
type Fate int

// The fates of a call.
const (
	// Works lets the call through.
	Works Fate = iota
	// Unreachable refuses the call; it has no effect.
	Unreachable
	// AnswerLost lets the call take effect and loses the answer.
	AnswerLost
	// Vanishes loses the call; it has no effect, and the caller can't know.
	Vanishes
	// Late loses the answer at once and lets the call take effect later.
	Late
	fates
)

// FateCount is the number of fates.
const FateCount = int(fates)

// Script returns a source of fates that gives those of the list and then Works.
func Script(fates []Fate) func() Fate {
	var mu sync.Mutex
	return func() Fate {
		mu.Lock()
		defer mu.Unlock()
		if len(fates) == 0 {
			return Works
		}
		fate := fates[0]
		fates = fates[1:]
		return fate
	}
}

// lateBy is how much later a Late call takes effect.
const lateBy = 700 * time.Millisecond

// Table wraps a table with faults.
type Table struct {
	inner cottonlanding.Table
	fate  func() Fate
}

// NewTable returns a table that asks fate what becomes of each call.
func NewTable(inner cottonlanding.Table, fate func() Fate) *Table {
	return &Table{inner: inner, fate: fate}
}

// Commit implements cottonlanding.Table.
func (t *Table) Commit(ctx context.Context, transaction cottonlanding.Transaction) (cottonlanding.Receipt, error) {
	switch t.fate() {
	case Unreachable:
		return cottonlanding.Receipt{}, fmt.Errorf("told to fail: %w", cottonlanding.ErrUnavailable)
	case AnswerLost:
		_, _ = t.inner.Commit(ctx, transaction) // the answer is what gets lost
		return cottonlanding.Receipt{}, fmt.Errorf("answer lost: %w", cottonlanding.ErrAmbiguous)
	case Vanishes:
		return cottonlanding.Receipt{}, fmt.Errorf("vanished: %w", cottonlanding.ErrAmbiguous)
	case Late:
		time.AfterFunc(lateBy, func() { _, _ = t.inner.Commit(context.Background(), transaction) }) // nobody waits
		return cottonlanding.Receipt{}, fmt.Errorf("late: %w", cottonlanding.ErrAmbiguous)
	default:
		return t.inner.Commit(ctx, transaction)
	}
}

// Read implements cottonlanding.Table.
func (t *Table) Read(ctx context.Context, keys ...cottonlanding.Key) ([]cottonlanding.Row, error) {
	if t.fate() != Works {
		return nil, fmt.Errorf("told to fail: %w", cottonlanding.ErrUnavailable)
	}
	return t.inner.Read(ctx, keys...)
}

// Scan implements cottonlanding.Table.
func (t *Table) Scan(ctx context.Context, prefix, after cottonlanding.Key, limit int) ([]cottonlanding.Row, error) {
	if t.fate() != Works {
		return nil, fmt.Errorf("told to fail: %w", cottonlanding.ErrUnavailable)
	}
	return t.inner.Scan(ctx, prefix, after, limit)
}
