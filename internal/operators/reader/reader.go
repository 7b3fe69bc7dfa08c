// Package reader follows the operators' table.
package reader

import (
	"context"
	"errors"
	"log/slog"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/pauser"
)

// Timing holds the timings of a reader.
type Timing struct {
	// Wait is how long the table holds a call open until there is a change.
	Wait cottonlanding.Millis
	// Timeout is the timeout of one call; it includes Wait.
	Timeout cottonlanding.Millis
	// Pause is the interval before the next call after a failure, or while the table is empty.
	Pause cottonlanding.Millis
}

// Consumer processes a reading. It is called from one goroutine, in the order of the readings.
type Consumer func(reading cottonlanding.FeedReading)

// Reader follows the table and passes each reading to all consumers.
type Reader struct {
	feed      cottonlanding.Feed
	timing    Timing
	log       *slog.Logger
	consumers []Consumer
}

// New returns a reader that follows the table until ctx ends. Consumers are called in the order given.
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
			// The whole table is read, which returns only the newest version of each row. The feed delivers every
			// intermediate version, which a slow link can't carry within Timeout at about ten changes a second.
			version = 0
			pauser.Pause(ctx, r.timing.Pause)
		case next == 0:
			pauser.Pause(ctx, r.timing.Pause) // nothing was written yet: there is no version to wait after
		default:
			version = next
		}
	}
}

// readOnce reads the whole table if version is zero, else the changes after it. It returns the version after
// which to read next, zero while the table is empty.
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
