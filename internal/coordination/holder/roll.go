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
	// rollWait is how long the table holds the feed open: well under the time within which
	// a host must have heard of the table to take calls.
	rollWait = 1200 * cottonlanding.Millis(1)
	// rollMargin is how much longer than that a call may take, on a connection that may have
	// gone silent.
	rollMargin = 600 * cottonlanding.Millis(1)
	// rollSlowWait and rollSlowMargin are the same for a slow table, which takes longer for
	// each call.
	rollSlowWait   = 300 * cottonlanding.Millis(1)
	rollSlowMargin = 2500 * cottonlanding.Millis(1)
	// rollPause is the pause after a call that failed.
	rollPause = 200 * cottonlanding.Millis(1)
	// rollSilence is for how long a roll in touch with the table hears nothing at most.
	rollSilence = rollWait + rollMargin + rollPause
)

// Roll is what a process knows of the rows that say who owns which cell. The table tells of
// their changes: each process is told of each change of owner once, however many cells there
// are, and asks for nothing while no owner changes.
type Roll struct {
	feed     cottonlanding.Feed
	clock    cottonlanding.Clock
	log      *slog.Logger
	slowCall cottonlanding.Millis
	cancel   context.CancelFunc

	mu        sync.Mutex
	known     bool
	rows      map[cottonlanding.Key]cottonlanding.Row
	listeners map[cottonlanding.Key][]func()
	heardAt   cottonlanding.Millis
	// failedAt is when a holder's own call of the table last failed.
	failedAt cottonlanding.Millis
	// slow says that the last call took long beyond its wait.
	slow bool
	// tookAt is when a holder of this process last took a cell.
	tookAt cottonlanding.Millis
}

// NewRoll starts to follow the rows. Calls that take slowCall and more show a slow table.
func NewRoll(feed cottonlanding.Feed, clock cottonlanding.Clock, log *slog.Logger, slowCall cottonlanding.Millis) *Roll {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Roll{
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
func (r *Roll) Close() { r.cancel() }

func (r *Roll) run(ctx context.Context) {
	version, failed := cottonlanding.Version(0), false
	for ctx.Err() == nil {
		next, err := r.read(ctx, version, failed)
		failed = err != nil
		switch {
		case errors.Is(err, cottonlanding.ErrHistoryGone):
			r.log.Info("owners' table is read again", "After", version)
			version = 0
		case failed:
			pauser.Pause(ctx, rollPause)
		default:
			version = next
		}
	}
}

// read makes one call of the feed. After a failed one the next waits for nothing: it goes over a new
// connection, and shows whether the table is slow.
func (r *Roll) read(ctx context.Context, version cottonlanding.Version, failed bool) (cottonlanding.Version, error) {
	wait, margin := rollWait, rollMargin
	if r.Slow() {
		wait, margin = rollSlowWait, rollSlowMargin
	}
	if failed || version == 0 {
		wait, margin = 0, rollSlowMargin
	}
	ctx, cancel := context.WithTimeout(ctx, (wait + margin).Duration())
	defer cancel()
	sent := r.clock.Now()
	news, err := r.feed.Read(ctx, version, wait)
	if err != nil {
		return 0, err
	}
	r.take(news, r.clock.Now()-sent-wait)
	return news.Version, nil
}

// take takes in a reading of the feed, and how long it took beyond its wait. One that came
// before the wait was over says nothing of how slow the table is, one of the whole table is
// several calls.
func (r *Roll) take(news cottonlanding.FeedReading, late cottonlanding.Millis) {
	r.mu.Lock()
	r.heardAt = r.clock.Now()
	if late >= 0 && !news.Whole {
		r.slow = late >= r.slowCall
	}
	r.known = r.known || news.Whole
	r.mu.Unlock()
	for _, row := range news.Rows {
		r.Note(cottonlanding.Row{Key: cottonlanding.Key(row.Key), Version: row.Version, Value: row.Value})
	}
}

// Note takes in a row that was read. An older one than is known undoes nothing.
func (r *Roll) Note(row cottonlanding.Row) {
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
func (r *Roll) Listen(key cottonlanding.Key, listener func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners[key] = append(r.listeners[key], listener)
}

// Row returns a row, of version zero if there is none, and false before any are known.
func (r *Roll) Row(key cottonlanding.Key) (cottonlanding.Row, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[key], r.known
}

// HeardAt returns when the table last answered.
func (r *Roll) HeardAt() cottonlanding.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heardAt
}

// Connected reports whether the table was heard of lately, and since any holder's call of it
// failed: those that look seldom learn of a lost table from those that have just looked.
func (r *Roll) Connected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heardAt >= r.failedAt && r.clock.Now()-r.heardAt < rollSilence
}

// recordFailure takes in that a holder's call of the table has failed.
func (r *Roll) recordFailure(now cottonlanding.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt = now
}

// Slow reports whether the table was slow to answer lately.
func (r *Roll) Slow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slow
}

// mayTake reports whether a holder of this process may take a cell now: one at a time, so
// that each knows of the others' and other processes have their turn.
func (r *Roll) mayTake(now, gap cottonlanding.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tookAt > 0 && now-r.tookAt < gap {
		return false
	}
	r.tookAt = now
	return true
}
