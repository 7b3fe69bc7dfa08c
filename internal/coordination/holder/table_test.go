package holder_test

import (
	"context"
	"sync"
	"time"

	"github.com/cottonlanding/cottonlanding"
)

// table passes calls on to a table and injects faults.
type table struct {
	cottonlanding.Table
	mu          sync.Mutex
	partitioned bool
	loseAnswers bool
	delayCalls  time.Duration
	// unanswered is how many of the next calls get no answer before their time limit and have no
	// effect.
	unanswered int
}

func (t *table) set(change func(*table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(t)
}

func (t *table) faults() (partitioned, loseAnswers bool, delayCalls time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.partitioned, t.loseAnswers, t.delayCalls
}

// dropsAnswer reports whether the present call gets no answer, and counts it.
func (t *table) dropsAnswer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unanswered == 0 {
		return false
	}
	t.unanswered--
	return true
}

func (t *table) unansweredLeft() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unanswered
}

// awaitAnswer waits for the delay of calls and reports whether it ends before ctx does.
func (t *table) awaitAnswer(ctx context.Context) bool {
	_, _, delayCalls := t.faults()
	if delayCalls == 0 {
		return true
	}
	select {
	case <-time.After(delayCalls):
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *table) Commit(ctx context.Context, transaction cottonlanding.Transaction) (cottonlanding.Receipt, error) {
	partitioned, loseAnswers, delayCalls := t.faults()
	if partitioned {
		return cottonlanding.Receipt{}, cottonlanding.ErrUnavailable
	}
	if t.dropsAnswer() {
		<-ctx.Done()
		return cottonlanding.Receipt{}, cottonlanding.ErrAmbiguous
	}
	time.Sleep(delayCalls)
	receipt, err := t.Table.Commit(ctx, transaction)
	if loseAnswers {
		return cottonlanding.Receipt{}, cottonlanding.ErrAmbiguous
	}
	return receipt, err
}

func (t *table) Read(ctx context.Context, keys ...cottonlanding.Key) ([]cottonlanding.Row, error) {
	if partitioned, _, _ := t.faults(); partitioned {
		return nil, cottonlanding.ErrUnavailable
	}
	if t.dropsAnswer() {
		<-ctx.Done()
		return nil, cottonlanding.ErrUnavailable
	}
	return t.Table.Read(ctx, keys...)
}

func (t *table) Scan(ctx context.Context, prefix, after cottonlanding.Key, limit int) ([]cottonlanding.Row, error) {
	if partitioned, _, _ := t.faults(); partitioned {
		return nil, cottonlanding.ErrUnavailable
	}
	if t.dropsAnswer() {
		<-ctx.Done()
		return nil, cottonlanding.ErrUnavailable
	}
	return t.Table.Scan(ctx, prefix, after, limit)
}

// feed passes calls of the feed on with the faults of the member's table.
type feed struct {
	cottonlanding.Feed
	table *table
}

func (f feed) Read(ctx context.Context, version cottonlanding.Version, wait cottonlanding.Millis) (cottonlanding.FeedReading, error) {
	update, err := f.Feed.Read(ctx, version, wait)
	if partitioned, _, _ := f.table.faults(); partitioned || !f.table.awaitAnswer(ctx) {
		return cottonlanding.FeedReading{}, cottonlanding.ErrUnavailable
	}
	return update, err
}
