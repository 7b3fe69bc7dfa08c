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
	// feedWait is how long the table holds a call of the feed open. It is well under the time
	// since the last contact with the table after which a host takes no calls.
	feedWait = 1200 * cottonlanding.Millis(1)
	// feedMargin is how much longer than its wait a call may take before its connection counts as
	// dead.
	feedMargin = 600 * cottonlanding.Millis(1)
	// slowFeedWait and slowFeedMargin replace them for a slow table, which takes longer for each
	// call. The shorter wait leaves more of contactTimeout for the call itself.
	slowFeedWait   = 300 * cottonlanding.Millis(1)
	slowFeedMargin = 2500 * cottonlanding.Millis(1)
	// feedRetryInterval is the time between a failed call and the next one.
	feedRetryInterval = 200 * cottonlanding.Millis(1)
	// contactTimeout is how long after its last answer the feed counts as disconnected: the longest
	// call while the table isn't slow, and the interval to the next one. A call of a slow table that
	// takes longer counts as a lost connection until it is answered.
	contactTimeout = feedWait + feedMargin + feedRetryInterval
)

// Watcher holds the owner and request rows of all cells and follows their changes through the
// table's feed: a process receives each change once, whatever the number of cells, and reads no
// rows while nothing changes.
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
	// slow is whether the last call took at least slowCall beyond its wait.
	slow bool
	// lastTakeOverAt is when a holder of this process was last allowed to take a cell.
	lastTakeOverAt cottonlanding.Millis
}

// NewWatcher starts to follow the rows. The table is slow while calls take slowCall or more beyond
// the time for which it holds them open.
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

// Close stops the watcher; its rows stay readable.
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

// read makes one call of the feed. After a failed call it asks for an immediate answer: the call goes
// over a new connection, and its duration shows whether the table is slow.
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

// apply records a reading of the feed and by how much it exceeded its wait. A reading that came
// before the wait was over doesn't show how slow the table is, and neither does a complete one, which
// takes several calls.
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

// UpdateRow records a row that was read and calls its listeners, unless a row of this or a later
// version is known.
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

// Listen registers a listener that is called after each change of a row. It must not block.
func (r *Watcher) Listen(key cottonlanding.Key, listener func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners[key] = append(r.listeners[key], listener)
}

// Row returns a row, with version zero if it doesn't exist, and false before the rows were first read.
func (r *Watcher) Row(key cottonlanding.Key) (cottonlanding.Row, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[key], r.loaded
}

// LastContactAt returns when the feed last answered.
func (r *Watcher) LastContactAt() cottonlanding.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastContactAt
}

// Connected reports whether the feed answered recently, and since the last failed call of any holder
// of this process: holders that read seldom learn from the others that the table is unreachable.
func (r *Watcher) Connected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastContactAt >= r.failedAt && r.clock.Now()-r.lastContactAt < contactTimeout
}

// recordFailure records that a holder's call of the table failed at now.
func (r *Watcher) recordFailure(now cottonlanding.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt = now
}

// Slow reports whether the table was slow to answer the last call that shows it.
func (r *Watcher) Slow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slow
}

// claimTakeOver reports whether a holder of this process may take a cell now, and if so records that it
// does.
// Take-overs of one process are at least gap apart, so that each holder counts the cells that the
// others have taken, and other processes get a turn.
func (r *Watcher) claimTakeOver(now, gap cottonlanding.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastTakeOverAt > 0 && now-r.lastTakeOverAt < gap {
		return false
	}
	r.lastTakeOverAt = now
	return true
}
