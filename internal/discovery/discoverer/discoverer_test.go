package discoverer_test

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/discovery/discoverer"
)

var timing = discoverer.Timing{Poll: 500, Timeout: 1000, RemovalDelay: 2500}

// parse interprets an entry as the worker's address.
func parse(id cottonlanding.WorkerID, entry []byte) (cottonlanding.WorkerInfo, error) {
	if len(entry) == 0 {
		return cottonlanding.WorkerInfo{}, errors.New("it has no address")
	}
	return cottonlanding.WorkerInfo{ID: id, Address: cottonlanding.Address(entry)}, nil
}

// entry returns a worker's entry in a reading.
func entry(id, address string) cottonlanding.FeedRow {
	return cottonlanding.FeedRow{Key: id, Value: []byte(address)}
}

// removed returns the row of a removed entry.
func removed(id string) cottonlanding.FeedRow { return cottonlanding.FeedRow{Key: id, Deleted: true} }

// feed is a feed whose next result a test sets.
type feed struct {
	clock cottonlanding.Clock

	mu   sync.Mutex
	next cottonlanding.FeedReading
	err  error
	// requested holds the versions passed to Read.
	requested []cottonlanding.Version
}

func (f *feed) Read(_ context.Context, version cottonlanding.Version, _ cottonlanding.Millis) (cottonlanding.FeedReading, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requested = append(f.requested, version)
	reading, err := f.next, f.err
	reading.At = f.clock.Now()
	f.next = cottonlanding.FeedReading{Version: reading.Version}
	if errors.Is(err, cottonlanding.ErrHistoryGone) {
		f.err = nil // the next call reads the whole table
	}
	return reading, err
}

// setNext sets the result of the next call, except for the version, which increases.
func (f *feed) setNext(rows []cottonlanding.FeedRow, whole bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = cottonlanding.FeedReading{Rows: rows, Whole: whole, Version: f.next.Version + 1}
	f.err = err
}

// setNextIncomplete makes the next call report that more changes may be available.
func (f *feed) setNextIncomplete() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = cottonlanding.FeedReading{More: true, Version: f.next.Version + 1}
}

// takeRequested returns the versions passed to Read since its last call.
func (f *feed) takeRequested() []cottonlanding.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	requested := f.requested
	f.requested = nil
	return requested
}

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (j *logBuffer) Write(data []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.text.Write(data)
}

// count returns how often text occurs in the lines.
func (j *logBuffer) count(text string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return strings.Count(j.text.String(), text)
}

// fixture is a discoverer that follows a scripted feed, and its log.
type fixture struct {
	*discoverer.Discoverer
	feed  *feed
	lines *logBuffer
}

// update makes the next call return rows, and waits for it.
func (b *fixture) update(whole bool, rows ...cottonlanding.FeedRow) {
	b.feed.setNext(rows, whole, nil)
	b.advance(timing.Poll)
}

// advance advances the virtual time by span.
func (b *fixture) advance(span cottonlanding.Millis) {
	time.Sleep(span.Duration())
	synctest.Wait()
}

// listed returns the IDs and addresses on the list.
func (b *fixture) listed() string {
	var out []string
	list, _ := b.Workers()
	for _, info := range list {
		out = append(out, string(info.ID)+"="+string(info.Address))
	}
	return strings.Join(out, " ")
}

// testFollowing runs a test with a discoverer that follows a feed of two workers.
func testFollowing(t *testing.T, test func(t *testing.T, b *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		clock := cottonlanding.ClockOf(func() cottonlanding.Millis { return cottonlanding.FromDuration(time.Since(began)) + 1 })
		b := &fixture{feed: &feed{clock: clock}, lines: new(logBuffer)}
		b.feed.setNext([]cottonlanding.FeedRow{entry("b", "2"), entry("a", "1")}, true, nil)
		b.Discoverer = discoverer.New(b.feed, parse, timing, clock, slog.New(slog.NewTextHandler(b.lines, nil)))
		_, known := b.Workers()
		require.False(t, known, "the list is unknown before Follow(true)")
		b.Follow(true)
		synctest.Wait()
		require.Equal(t, "a=1 b=2", b.listed())
		test(t, b)
		b.Follow(false)
		_, known = b.Workers()
		require.False(t, known, "the list is unknown after Follow(false)")
		require.Zero(t, b.ReadAt())
		synctest.Wait()
	})
}

// TestMissingEntryRemovedAfterDelay guards against workers that are dropped when their entries are missing briefly,
// also from a whole reading. A worker is removed after RemovalDelay, unless its entry comes back.
func TestMissingEntryRemovedAfterDelay(t *testing.T) {
	testFollowing(t, func(t *testing.T, b *fixture) {
		b.update(false, removed("a"))
		b.update(true, entry("a", "1"))
		b.advance(timing.RemovalDelay - 2*timing.Poll)
		require.Equal(t, "a=1 b=2", b.listed())
		b.advance(timing.Poll)
		require.Equal(t, "a=1 b=2", b.listed(), "b went missing one Poll later than a")
		b.advance(timing.Poll)
		require.Equal(t, "a=1", b.listed())
	})
}

// TestRefusedEntryRemovedAtOnce guards against starts at a worker with an unusable entry, and against a log line per
// reading: each reason is logged once.
func TestRefusedEntryRemovedAtOnce(t *testing.T) {
	testFollowing(t, func(t *testing.T, b *fixture) {
		b.update(false, entry("a", ""))
		require.Equal(t, "b=2", b.listed())
		b.update(false, entry("a", ""))
		require.Equal(t, 1, b.lines.count("refused"))
		b.update(false, entry("a", "3"))
		require.Equal(t, "a=3 b=2", b.listed())
		b.update(false, entry("a", ""))
		require.Equal(t, 2, b.lines.count("refused"))
	})
}

// TestUnchangedListIsSameSlice guards against a new slice without changes, and against changes to a returned slice:
// callers compare slices to detect changes.
func TestUnchangedListIsSameSlice(t *testing.T) {
	testFollowing(t, func(t *testing.T, b *fixture) {
		before, _ := b.Workers()
		readAt := b.ReadAt()
		b.update(false, entry("a", "1"))
		after, _ := b.Workers()
		require.Same(t, &before[0], &after[0])
		require.Equal(t, readAt+timing.Poll, b.ReadAt(), "ReadAt advances though the list is unchanged")
		b.update(false, entry("a", "5"))
		require.Equal(t, "a=5 b=2", b.listed())
		require.Equal(t, cottonlanding.Address("1"), before[0].Address, "a returned list is never modified")
	})
}

// TestListKeptWhileTableUnavailable guards against a list that is lost, or passes for current, while the table is
// unavailable.
func TestListKeptWhileTableUnavailable(t *testing.T) {
	testFollowing(t, func(t *testing.T, b *fixture) {
		readAt := b.ReadAt()
		b.feed.setNext(nil, true, cottonlanding.ErrUnavailable)
		b.advance(10 * timing.RemovalDelay)
		require.Equal(t, "a=1 b=2", b.listed())
		require.Equal(t, readAt, b.ReadAt())
		require.Equal(t, 1, b.lines.count("Connected=false"))
		b.update(false)
		require.Equal(t, 1, b.lines.count("Connected=true"))
	})
}

// TestIncompleteReadingContinuedAtOnce guards against reads that are delayed or too frequent: the next read follows
// after Poll, or at once if the reading was incomplete or the history is gone.
func TestIncompleteReadingContinuedAtOnce(t *testing.T) {
	testFollowing(t, func(t *testing.T, b *fixture) {
		require.Equal(t, []cottonlanding.Version{0}, b.feed.takeRequested())
		b.advance(timing.Poll - 1)
		require.Empty(t, b.feed.takeRequested())
		b.advance(1)
		require.Equal(t, []cottonlanding.Version{1}, b.feed.takeRequested())
		b.feed.setNextIncomplete()
		b.advance(timing.Poll)
		require.Equal(t, []cottonlanding.Version{1, 2}, b.feed.takeRequested())
		b.feed.setNext(nil, false, cottonlanding.ErrHistoryGone)
		b.advance(timing.Poll)
		require.Equal(t, []cottonlanding.Version{2, 0}, b.feed.takeRequested())
	})
}
