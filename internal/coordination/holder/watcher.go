package holder

import (
	"context"
	"errors"
	"log/slog"
	"sync"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/pauser"
)

const (
	// feedWait is how long the table holds the feed open: well under the time within which
	// a host must have heard of the table to take calls.
	feedWait = 1200 * cottonlanding.Millis(1)
	// feedMargin is how much longer than that a call may take, on a connection that may have
	// gone silent.
	feedMargin = 600 * cottonlanding.Millis(1)
	// slowFeedWait and rollSlowMargin are the same for a slow table, which takes longer for
	// each call.
	slowFeedWait   = 300 * cottonlanding.Millis(1)
	slowFeedMargin = 2500 * cottonlanding.Millis(1)
	// feedRetryInterval is the pause after a call that failed.
	feedRetryInterval = 200 * cottonlanding.Millis(1)
	// contactTimeout is for how long a roll in touch with the table hears nothing at most.
	contactTimeout = feedWait + feedMargin + feedRetryInterval
)

// Watcher is what a process knows of the rows that say who owns which cell. The table tells of
// their changes: each process is told of each change of owner once, however many cells there
// are, and asks for nothing while no owner changes.
type Watcher struct {
	feed     cottonlanding.Feed
	clock    cottonlanding.Clock
	log      *slog.Logger
	slowCall cottonlanding.Millis
	cancel   context.CancelFunc

	mu            sync.Mutex
	loaded        bool
	rows          map[cottonlanding.Key]cottonlanding.Row
	listeners     map[cottonlanding.Key][]func()
	lastContactAt cottonlanding.Millis
	// failedAt is when a holder's own call of the table last failed.
	failedAt cottonlanding.Millis
	// slow says that the last call took long beyond its wait.
	slow bool
	// lastTakeOverAt is when a holder of this process last took a cell.
	lastTakeOverAt cottonlanding.Millis
}

// NewWatcher starts to follow the rows. Calls that take slowCall and more show a slow table.
func NewWatcher(feed cottonlanding.Feed, clock cottonlanding.Clock, log *slog.Logger, slowCall cottonlanding.Millis) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Watcher{
		feed:      feed,
		clock:     clock,
		log:       log,
		slowCall:  slowCall,
		cancel:    cancel,
		rows:      make(map[cottonlanding.Key]cottonlanding.Row),
		listeners: make(map[cottonlanding.Key][]func()),
	}
	go r.run(ctx)
	return r
}

// Close ends the following.
func (r *Watcher) Close() { r.cancel() }

func (r *Watcher) run(ctx context.Context) {
	version, failed := cottonlanding.Version(0), false
	for ctx.Err() == nil {
		next, err := r.read(ctx, version, failed)
		failed = err != nil
		switch {
		case errors.Is(err, cottonlanding.ErrHistoryGone):
			r.log.Info("owners' table is read again", "After", version)
			version = 0
		case failed:
			pauser.Pause(ctx, feedRetryInterval)
		default:
			version = next
		}
	}
}

// read makes one call of the feed. After a failed one the next waits for nothing: it goes over a new
// connection, and shows whether the table is slow.
func (r *Watcher) read(ctx context.Context, version cottonlanding.Version, failed bool) (cottonlanding.Version, error) {
	wait, margin := feedWait, feedMargin
	if r.Slow() {
		wait, margin = slowFeedWait, slowFeedMargin
	}
	if failed || version == 0 {
		wait, margin = 0, slowFeedMargin
	}
	ctx, cancel := context.WithTimeout(ctx, (wait + margin).Duration())
	defer cancel()
	sent := r.clock.Now()
	update, err := r.feed.Read(ctx, version, wait)
	if err != nil {
		return 0, err
	}
	r.apply(update, r.clock.Now()-sent-wait)
	return update.Version, nil
}

// apply takes in a reading of the feed, and how long it took beyond its wait. One that came
// before the wait was over says nothing of how slow the table is, one of the whole table is
// several calls.
func (r *Watcher) apply(update cottonlanding.FeedReading, delay cottonlanding.Millis) {
	r.mu.Lock()
	r.lastContactAt = r.clock.Now()
	if delay >= 0 && !update.Whole {
		r.slow = delay >= r.slowCall
	}
	r.loaded = r.loaded || update.Whole
	r.mu.Unlock()
	for _, row := range update.Rows {
		r.UpdateRow(cottonlanding.Row{Key: cottonlanding.Key(row.Key), Version: row.Version, Value: row.Value})
	}
}

// UpdateRow takes in a row that was read. An older one than is known undoes nothing.
func (r *Watcher) UpdateRow(row cottonlanding.Row) {
	r.mu.Lock()
	if row.Version <= r.rows[row.Key].Version {
		r.mu.Unlock()
		return
	}
	r.rows[row.Key] = row
	listeners := r.listeners[row.Key]
	r.mu.Unlock()
	for _, listener := range listeners {
		listener()
	}
}

// Listen calls listener after each change of a row; it must return at once.
func (r *Watcher) Listen(key cottonlanding.Key, listener func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners[key] = append(r.listeners[key], listener)
}

// Row returns a row, of version zero if there is none, and false before any are known.
func (r *Watcher) Row(key cottonlanding.Key) (cottonlanding.Row, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[key], r.loaded
}

// LastContactAt returns when the table last answered.
func (r *Watcher) LastContactAt() cottonlanding.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastContactAt
}

// Connected reports whether the table was heard of lately, and since any holder's call of it
// failed: those that look seldom learn of a lost table from those that have just looked.
func (r *Watcher) Connected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastContactAt >= r.failedAt && r.clock.Now()-r.lastContactAt < contactTimeout
}

// recordFailure takes in that a holder's call of the table has failed.
func (r *Watcher) recordFailure(now cottonlanding.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt = now
}

// Slow reports whether the table was slow to answer lately.
func (r *Watcher) Slow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slow
}

// mayTakeOver reports whether a holder of this process may take a cell now: one at a time, so
// that each knows of the others' and other processes have their turn.
func (r *Watcher) mayTakeOver(now, gap cottonlanding.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastTakeOverAt > 0 && now-r.lastTakeOverAt < gap {
		return false
	}
	r.lastTakeOverAt = now
	return true
}
