package keeper

import (
	"context"
	"fmt"

	"github.com/cottonlanding/cottonlanding"
)

// watched is the feed of a keeper's watched rows. It implements cottonlanding.Feed.
type watched struct {
	keeper *Keeper
	clock  cottonlanding.Clock
}

// Watched returns the feed of the rows that are watched.
func (k *Keeper) Watched(clock cottonlanding.Clock) cottonlanding.Feed {
	return &watched{keeper: k, clock: clock}
}

// Read implements cottonlanding.Feed.
func (w *watched) Read(ctx context.Context, version cottonlanding.Version, wait cottonlanding.Millis) (cottonlanding.FeedReading, error) {
	sentAt := w.clock.Now()
	waiting, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	for {
		news, written := w.changes(version)
		news.At = sentAt
		if version == 0 || len(news.Rows) > 0 || waiting.Err() != nil {
			return news, nil
		}
		select {
		case <-written:
		case <-waiting.Done():
		}
		if err := ctx.Err(); err != nil {
			return cottonlanding.FeedReading{}, fmt.Errorf("%w: %w", cottonlanding.ErrUnavailable, err)
		}
	}
}

// changes returns what changed after a version, and what is closed with the next commit.
func (w *watched) changes(after cottonlanding.Version) (cottonlanding.FeedReading, chan struct{}) {
	w.keeper.mu.Lock()
	defer w.keeper.mu.Unlock()
	out := cottonlanding.FeedReading{Whole: after == 0, Version: w.keeper.version}
	for _, key := range w.keeper.keys {
		row := w.keeper.rows[key]
		if key.Watched() && (out.Whole || row.Version > after) {
			out.Rows = append(out.Rows, cottonlanding.FeedRow{Key: string(key), Value: row.Value, Version: row.Version})
		}
	}
	return out, w.keeper.written
}
