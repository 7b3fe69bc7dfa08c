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

var timing = discoverer.Timing{Poll: 500, Timeout: 1000, Patience: 2500}

// parse takes an entry for the worker's address.
func parse(id cottonlanding.WorkerID, entry []byte) (cottonlanding.WorkerInfo, error) {
	if len(entry) == 0 {
		return cottonlanding.WorkerInfo{}, errors.New("it has no address")
	}
	return cottonlanding.WorkerInfo{ID: id, Address: cottonlanding.Address(entry)}, nil
}

// entry is a worker's entry in a reading.
func entry(id, address string) cottonlanding.FeedRow {
	return cottonlanding.FeedRow{Key: id, Value: []byte(address)}
}

// removed is an entry that is gone.
func removed(id string) cottonlanding.FeedRow { return cottonlanding.FeedRow{Key: id, Deleted: true} }

// table is a feed of which a test says what the next call gives.
type table struct {
	clock cottonlanding.Clock

	mu   sync.Mutex
	next cottonlanding.FeedReading
	err  error
	// asked holds the versions from which was read.
	asked []cottonlanding.Version
}

func (f *table) Read(_ context.Context, version cottonlanding.Version, _ cottonlanding.Millis) (cottonlanding.FeedReading, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, version)
	news, err := f.next, f.err
	news.At = f.clock.Now()
	f.next = cottonlanding.FeedReading{Version: news.Version}
	if errors.Is(err, cottonlanding.ErrHistoryGone) {
		f.err = nil // the whole table can be read
	}
	return news, err
}

// say sets what the next call gives besides the version, which grows.
func (f *table) say(rows []cottonlanding.FeedRow, whole bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = cottonlanding.FeedReading{Rows: rows, Whole: whole, Version: f.next.Version + 1}
	f.err = err
}

// sayMore makes the next call tell that there may be more.
func (f *table) sayMore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = cottonlanding.FeedReading{More: true, Version: f.next.Version + 1}
}

// calls returns the versions from which was read since it was asked last.
func (f *table) calls() []cottonlanding.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	asked := f.asked
	f.asked = nil
	return asked
}

// journal takes in log lines.
type journal struct {
	mu   sync.Mutex
	text strings.Builder
}

func (j *journal) Write(data []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.text.Write(data)
}

// count returns how often a text stands in the lines.
func (j *journal) count(text string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return strings.Count(j.text.String(), text)
}

// bench is a discoverer that follows a table, and its log.
type bench struct {
	*discoverer.Discoverer
	table *table
	lines *journal
}

// tells makes the next call give rows, and waits for it.
func (b *bench) tells(whole bool, rows ...cottonlanding.FeedRow) {
	b.table.say(rows, whole, nil)
	b.passes(timing.Poll)
}

// passes lets time go by.
func (b *bench) passes(span cottonlanding.Millis) {
	time.Sleep(span.Duration())
	synctest.Wait()
}

// listed returns the ids and addresses on the list.
func (b *bench) listed() string {
	var out []string
	list, _ := b.Workers()
	for _, info := range list {
		out = append(out, string(info.ID)+"="+string(info.Address))
	}
	return strings.Join(out, " ")
}

// follow runs a test with a discoverer that follows a table of two workers.
func follow(t *testing.T, test func(t *testing.T, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		clock := cottonlanding.ClockOf(func() cottonlanding.Millis { return cottonlanding.FromDuration(time.Since(began)) + 1 })
		b := &bench{table: &table{clock: clock}, lines: new(journal)}
		b.table.say([]cottonlanding.FeedRow{entry("b", "2"), entry("a", "1")}, true, nil)
		b.Discoverer = discoverer.New(b.table, parse, timing, clock, slog.New(slog.NewTextHandler(b.lines, nil)))
		_, known := b.Workers()
		require.False(t, known, "nothing is known before it is followed")
		b.Follow(true)
		synctest.Wait()
		require.Equal(t, "a=1 b=2", b.listed())
		test(t, b)
		b.Follow(false)
		_, known = b.Workers()
		require.False(t, known, "nothing is known once it isn't followed")
		require.Zero(t, b.ReadAt())
		synctest.Wait()
	})
}

// TestEntryThatIsMissingIsWaitedFor: a worker whose entry is gone stays on the list for the
// patience, also if a whole reading lacks it, and for good if the entry comes back.
func TestEntryThatIsMissingIsWaitedFor(t *testing.T) {
	follow(t, func(t *testing.T, b *bench) {
		b.tells(false, removed("a"))
		b.tells(true, entry("a", "1"))
		b.passes(timing.Patience - 2*timing.Poll)
		require.Equal(t, "a=1 b=2", b.listed())
		b.passes(timing.Poll)
		require.Equal(t, "a=1 b=2", b.listed(), "the whole reading lacks b since a poll later")
		b.passes(timing.Poll)
		require.Equal(t, "a=1", b.listed())
	})
}

// TestEntryThatIsRefusedNamesNoWorkerAtOnce: it is told once for each reason.
func TestEntryThatIsRefusedNamesNoWorkerAtOnce(t *testing.T) {
	follow(t, func(t *testing.T, b *bench) {
		b.tells(false, entry("a", ""))
		require.Equal(t, "b=2", b.listed())
		b.tells(false, entry("a", ""))
		require.Equal(t, 1, b.lines.count("refused"))
		b.tells(false, entry("a", "3"))
		require.Equal(t, "a=3 b=2", b.listed())
		b.tells(false, entry("a", ""))
		require.Equal(t, 2, b.lines.count("refused"))
	})
}

// TestListIsNewOnlyIfItDiffers: whoever holds a list can tell by it that nothing has changed.
func TestListIsNewOnlyIfItDiffers(t *testing.T) {
	follow(t, func(t *testing.T, b *bench) {
		before, _ := b.Workers()
		readAt := b.ReadAt()
		b.tells(false, entry("a", "1"))
		after, _ := b.Workers()
		require.Same(t, &before[0], &after[0])
		require.Equal(t, readAt+timing.Poll, b.ReadAt(), "it is known to hold until later")
		b.tells(false, entry("a", "5"))
		require.Equal(t, "a=5 b=2", b.listed())
		require.Equal(t, cottonlanding.Address("1"), before[0].Address, "a list is never changed")
	})
}

// TestListHoldsWhileNothingIsKnown: while the table is away the list stays, and its age shows.
func TestListHoldsWhileNothingIsKnown(t *testing.T) {
	follow(t, func(t *testing.T, b *bench) {
		readAt := b.ReadAt()
		b.table.say(nil, true, cottonlanding.ErrUnavailable)
		b.passes(10 * timing.Patience)
		require.Equal(t, "a=1 b=2", b.listed())
		require.Equal(t, readAt, b.ReadAt())
		require.Equal(t, 1, b.lines.count("Connected=false"))
		b.tells(false)
		require.Equal(t, 1, b.lines.count("Connected=true"))
	})
}

// TestListIsReadAtOnceIfThereIsMore: a poll passes between two readings, unless the first may not
// have told all or its history is lost.
func TestListIsReadAtOnceIfThereIsMore(t *testing.T) {
	follow(t, func(t *testing.T, b *bench) {
		require.Equal(t, []cottonlanding.Version{0}, b.table.calls())
		b.passes(timing.Poll - 1)
		require.Empty(t, b.table.calls())
		b.passes(1)
		require.Equal(t, []cottonlanding.Version{1}, b.table.calls())
		b.table.sayMore()
		b.passes(timing.Poll)
		require.Equal(t, []cottonlanding.Version{1, 2}, b.table.calls())
		b.table.say(nil, false, cottonlanding.ErrHistoryGone)
		b.passes(timing.Poll)
		require.Equal(t, []cottonlanding.Version{2, 0}, b.table.calls())
	})
}
