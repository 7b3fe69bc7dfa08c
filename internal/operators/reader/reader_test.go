package reader_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/operators/reader"
)

var timing = reader.Timing{Wait: 1500, Timeout: 2000, Pause: 200}

// answer is the result of one call of the feed, returned after delay.
type answer struct {
	version cottonlanding.Version
	err     error
	delay   time.Duration
}

// scriptedFeed returns its answers one after the other; later calls block until their context ends.
type scriptedFeed struct {
	startedAt   time.Time
	answers     []answer
	requested   []cottonlanding.Version
	requestedAt []time.Duration
}

func (s *scriptedFeed) Read(ctx context.Context, version cottonlanding.Version, _ cottonlanding.Millis) (cottonlanding.FeedReading, error) {
	if len(s.answers) == 0 {
		<-ctx.Done()
		return cottonlanding.FeedReading{}, ctx.Err()
	}
	s.requested, s.requestedAt = append(s.requested, version), append(s.requestedAt, time.Since(s.startedAt))
	next := s.answers[0]
	s.answers = s.answers[1:]
	select {
	case <-time.After(next.delay):
		return cottonlanding.FeedReading{Version: next.version}, next.err
	case <-ctx.Done():
		return cottonlanding.FeedReading{}, ctx.Err()
	}
}

// TestReaderResumesOrRestarts guards against missed changes and against retries without a pause. A reading continues
// from the last version. After ErrHistoryGone the whole table is read at once, after an error or a timeout
// following a pause.
func TestReaderResumesOrRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &scriptedFeed{startedAt: time.Now(), answers: []answer{
			{version: 3},
			{version: 5, delay: time.Second},
			{err: cottonlanding.ErrHistoryGone},
			{version: 6},
			{err: errors.New("down")},
			{version: 7},
			{delay: time.Minute},
			{version: 8},
		}}
		var first, second []cottonlanding.Version
		ctx, cancel := context.WithCancel(t.Context())
		reader.New(ctx, feed, timing, slog.New(slog.NewTextHandler(io.Discard, nil)),
			func(reading cottonlanding.FeedReading) { first = append(first, reading.Version) },
			func(reading cottonlanding.FeedReading) { second = append(second, reading.Version) })
		time.Sleep(4 * time.Second)
		cancel()
		synctest.Wait()
		require.Equal(t, []cottonlanding.Version{3, 5, 6, 7, 8}, first)
		require.Equal(t, first, second, "each consumer gets each reading")
		require.Equal(t, []cottonlanding.Version{0, 3, 5, 0, 6, 0, 7, 0}, feed.requested)
		ms := time.Millisecond
		require.Equal(t, []time.Duration{0, 0, 1000 * ms, 1000 * ms, 1000 * ms, 1200 * ms, 1200 * ms, 3400 * ms}, feed.requestedAt)
	})
}

// TestEmptyTablePolledAtIntervals guards against a busy loop on an empty table, which has no version to wait after.
// All hosts of a new deployment start with one.
func TestEmptyTablePolledAtIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &scriptedFeed{startedAt: time.Now(), answers: []answer{{}, {}, {version: 3}}}
		ctx, cancel := context.WithCancel(t.Context())
		reader.New(ctx, feed, timing, slog.New(slog.DiscardHandler))
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		ms := time.Millisecond
		require.Equal(t, []time.Duration{0, 200 * ms, 400 * ms}, feed.requestedAt)
	})
}
