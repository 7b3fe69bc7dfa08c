// Package reader follows the table that operators write to.
package reader

import (
	"context"
	"errors"
	"log/slog"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/pauser"
)

// Timing bounds the calls of a reader.
type Timing struct {
	// Wait is how long one call waits for a change.
	Wait cottonlanding.Millis
	// Timeout bounds one call.
	Timeout cottonlanding.Millis
	// Pause is the pause after a call that failed.
	Pause cottonlanding.Millis
}

// Consumer takes in what is read, one reading after the other.
type Consumer func(reading cottonlanding.FeedReading)

// Reader follows the table and hands each reading to all takers.
type Reader struct {
	feed      cottonlanding.Feed
	timing    Timing
	log       *slog.Logger
	consumers []Consumer
}

// New starts to follow the table until ctx ends.
func New(ctx context.Context, feed cottonlanding.Feed, timing Timing, log *slog.Logger, consumers ...Consumer) *Reader {
	r := &Reader{feed: feed, timing: timing, log: log, consumers: consumers}
	go r.run(ctx)
	return r
}

func (r *Reader) run(ctx context.Context) {
	version := cottonlanding.Version(0)
	for ctx.Err() == nil {
		next, err := r.readOnce(ctx, version)
		switch {
		case errors.Is(err, cottonlanding.ErrHistoryGone):
			r.log.Info("operators' table is read again", "After", version)
			version = 0
		case err != nil:
			// The feed brings each version in between, of which a slow link can't carry
			// some ten a second: the table has the newest alone.
			version = 0
			pauser.Pause(ctx, r.timing.Pause)
		case next == 0:
			pauser.Pause(ctx, r.timing.Pause) // nothing was ever written, so that there is nothing to go on from
		default:
			version = next
		}
	}
}

// readOnce reads the whole table if the version is zero, else what changed after it, and returns
// the version from which to go on.
func (r *Reader) readOnce(ctx context.Context, version cottonlanding.Version) (cottonlanding.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timing.Timeout.Duration())
	defer cancel()
	reading, err := r.feed.Read(ctx, version, r.timing.Wait)
	if err != nil {
		return 0, err
	}
	for _, consume := range r.consumers {
		consume(reading)
	}
	return reading.Version, nil
}
