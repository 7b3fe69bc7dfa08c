package relayer_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/discovery/relayer"
)

const (
	pollInterval    = 500 * cottonlanding.Millis(1)
	rewriteInterval = 1500 * cottonlanding.Millis(1)
)

// The feed returns at most maxFeedRows changes per call, which takes readDuration.
const (
	maxFeedRows  = 25
	readDuration = 20 * time.Millisecond
)

var timing = relayer.Timing{RequestTimeout: 700, WholeTimeout: 1500, FeedTimeout: 1000, FreshFor: 150, FreshTimeout: 600, MaxAge: 2 * pollInterval, FallbackPeriod: 2000, Retention: 20_000}

// list is a table of entries of the form "attributes|version".
type list struct {
	clock cottonlanding.Clock

	mu      sync.Mutex
	rows    map[string]cottonlanding.FeedRow
	changes []cottonlanding.FeedRow
	version cottonlanding.Version
	// discardedUpTo is the version up to which the history is gone.
	discardedUpTo cottonlanding.Version
	// rowsRead and readings count the rows and calls of Read.
	rowsRead, readings int
}

func newList(clock cottonlanding.Clock) *list {
	return &list{clock: clock, rows: make(map[string]cottonlanding.FeedRow)}
}

func (l *list) put(key, attributes string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write(key, attributes)
}

// rewrite writes all entries again, as workers do as a sign of life.
func (l *list) rewrite() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, row := range l.rows {
		last, _ := attributes(row.Value).(string)
		l.write(key, last)
	}
}

func (l *list) write(key, attributes string) {
	l.version++
	row := cottonlanding.FeedRow{Key: key, Value: fmt.Appendf(nil, "%s|%d", attributes, l.version), Version: l.version}
	l.rows[key] = row
	l.changes = append(l.changes, row)
}

// discardHistory drops the history, so that older versions can't be continued from.
func (l *list) discardHistory() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.discardedUpTo = l.version
}

// counts returns the number of readings and of rows read.
func (l *list) counts() (readings, rows int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readings, l.rowsRead
}

func (l *list) remove(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	delete(l.rows, key)
	l.changes = append(l.changes, cottonlanding.FeedRow{Key: key, Version: l.version, Deleted: true})
}

func (l *list) Read(_ context.Context, after cottonlanding.Version, _ cottonlanding.Millis) (cottonlanding.FeedReading, error) {
	sentAt := l.clock.Now()
	time.Sleep(readDuration)
	l.mu.Lock()
	defer l.mu.Unlock()
	if after > 0 && after < l.discardedUpTo {
		return cottonlanding.FeedReading{}, cottonlanding.ErrHistoryGone
	}
	out := cottonlanding.FeedReading{Whole: after == 0, Version: l.version, At: sentAt}
	for _, row := range l.rows {
		if after == 0 {
			out.Rows = append(out.Rows, row)
		}
	}
	for _, row := range l.changes {
		if after > 0 && row.Version > after {
			out.Rows = append(out.Rows, row)
		}
		if len(out.Rows) == maxFeedRows && after > 0 {
			out.Version, out.More, out.At = row.Version, true, 0
			break
		}
	}
	l.readings++
	l.rowsRead += len(out.Rows)
	return out, nil
}

func attributes(entry []byte) any {
	for at, b := range entry {
		if b == '|' {
			return string(entry[:at])
		}
	}
	return nil
}

// reader reads through a relay as the owner of a cell does.
type reader struct {
	*relayer.Relay

	mu      sync.Mutex
	version cottonlanding.Version
	at      cottonlanding.Millis
	more    bool
	known   map[string]string
}

// hasMore reports whether more changes may be available at once.
func (r *reader) hasMore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.more
}

// lastAttributes returns the last known attributes of an entry.
func (r *reader) lastAttributes(key string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, found := r.known[key]
	return last, found
}

// knownAt returns the time as of which the list is known.
func (r *reader) knownAt() cottonlanding.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at
}

func newReader(clock cottonlanding.Clock, feed cottonlanding.Feed) *reader {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	relay := relayer.New(relayer.Dependencies{Feed: feed, Attributes: attributes, Clock: clock, Log: log}, timing)
	return &reader{Relay: relay, known: make(map[string]string)}
}

func (r *reader) read(ctx context.Context) error {
	reading, err := r.Read(ctx, r.version, 0)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.version = 0
		return err
	}
	if reading.Whole {
		clear(r.known)
	}
	for _, row := range reading.Rows {
		if row.Deleted {
			delete(r.known, row.Key)
			continue
		}
		r.known[row.Key], _ = attributes(row.Value).(string)
	}
	r.version, r.at, r.more = reading.Version, max(r.at, reading.At), reading.More
	return nil
}

// follow reads every pollInterval until ctx ends.
func (r *reader) follow(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		_ = r.read(ctx) // after an error the next call reads the whole list
		if !r.hasMore() {
			time.Sleep(time.Until(began.Add(pollInterval.Duration())))
		}
	}
}

// unresponsiveSource doesn't answer while unresponsive is true.
type unresponsiveSource struct {
	relayer.Source
	unresponsive *atomic.Bool
}

func (s unresponsiveSource) News(ctx context.Context, after cottonlanding.Version) (relayer.Response, error) {
	if s.unresponsive.Load() {
		<-ctx.Done()
		return relayer.Response{}, cottonlanding.ErrAmbiguous
	}
	return s.Source.News(ctx, after)
}

// deployment is a list of workers that rewrite their entries, and owners of which the first reads for all.
type deployment struct {
	*list
	readers      []*reader
	unresponsive atomic.Bool
}

// startInterval is the time between the starts of two readers.
const startInterval = 70 * time.Millisecond

// simulate runs test after the deployment has run for a few seconds.
func simulate(t *testing.T, owners, workers int, test func(t *testing.T, clock cottonlanding.Clock, h *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		clock := cottonlanding.NewClock()
		time.Sleep(time.Second) // the instant zero stands for none
		h := &deployment{list: newList(clock)}
		for number := range workers {
			h.put(fmt.Sprint(number), "ready")
		}
		ctx, cancel := context.WithCancel(context.Background())
		for number := range owners {
			one := newReader(clock, h.list)
			h.readers = append(h.readers, one)
			if number > 0 {
				source := unresponsiveSource{h.readers[0], &h.unresponsive}
				one.ChooseBy(func() relayer.Source { return source })
			}
			go one.follow(ctx)
			time.Sleep(startInterval) // readers poll at different times
		}
		go func() {
			for ctx.Err() == nil {
				time.Sleep(rewriteInterval.Duration())
				h.rewrite()
			}
		}()
		time.Sleep(3 * time.Second)
		test(t, clock, h)
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// maxAge returns the age of the oldest list.
func (h *deployment) maxAge(clock cottonlanding.Clock) cottonlanding.Millis {
	highest := cottonlanding.Millis(0)
	for _, one := range h.readers {
		highest = max(highest, clock.Now()-one.knownAt())
	}
	return highest
}

// TestEntriesReadOnceForAllOwners guards against reads of the table that grow with the number of owners: the rows read
// depend on the number of workers only.
func TestEntriesReadOnceForAllOwners(t *testing.T) {
	const workers, seconds = 60, 12
	read := make(map[int]int)
	for _, owners := range []int{1, 4, 24, 48} {
		simulate(t, owners, workers, func(t *testing.T, clock cottonlanding.Clock, h *deployment) {
			_, before := h.counts()
			for range seconds {
				time.Sleep(time.Second)
				require.LessOrEqual(t, h.maxAge(clock), 2*pollInterval)
			}
			_, after := h.counts()
			read[owners] = after - before
		})
	}
	rewrites := seconds * workers * int(cottonlanding.Second) / int(rewriteInterval)
	for owners, rows := range read {
		require.InDelta(t, rewrites, rows, workers, "%d owners", owners) // one rewrite more or less
	}
}

// TestChangesReachAllOwners guards against changes, removals or returns of an entry that are lost on the way to an
// owner, also after the history is gone.
func TestChangesReachAllOwners(t *testing.T) {
	simulate(t, 5, 4, func(t *testing.T, _ cottonlanding.Clock, h *deployment) {
		all := func(key, attributes string, there bool) {
			time.Sleep((2 * pollInterval).Duration())
			for _, one := range h.readers {
				got, found := one.lastAttributes(key)
				require.Equal(t, there, found)
				require.Equal(t, attributes, got)
			}
		}
		h.put("1", "draining")
		all("1", "draining", true)
		h.remove("2")
		all("2", "", false)
		h.put("2", "ready")
		all("2", "ready", true)
		h.remove("3")
		h.put("3", "ready")
		h.put("new", "ready")
		all("3", "ready", true)
		all("new", "ready", true)
		h.discardHistory()
		h.put("new", "draining")
		all("new", "draining", true)
	})
}

// TestListStaysFreshWhileSourceUnresponsive guards against lists that age, or are read whole, while the source doesn't
// answer. Owners continue from their versions with the feed, and return to the source once it answers.
func TestListStaysFreshWhileSourceUnresponsive(t *testing.T) {
	simulate(t, 4, 20, func(t *testing.T, clock cottonlanding.Clock, h *deployment) {
		const startsWaitFrom = 1500 * cottonlanding.Millis(1)
		h.unresponsive.Store(true)
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			require.Less(t, h.maxAge(clock), startsWaitFrom)
		}
		h.put("1", "draining")
		time.Sleep((3 * pollInterval).Duration())
		for _, one := range h.readers {
			last, _ := one.lastAttributes("1")
			require.Equal(t, "draining", last)
		}
		h.unresponsive.Store(false)
		time.Sleep((timing.FallbackPeriod + 2*pollInterval).Duration())
		before, _ := h.counts()
		time.Sleep(5 * time.Second)
		after, _ := h.counts()
		pages := 5*int(cottonlanding.Second/rewriteInterval) + 1
		require.LessOrEqual(t, after-before, 5*int(cottonlanding.Second/pollInterval)+pages, "only the source reads the feed again")
	})
}

// TestStaleSourceRejected guards against a source that can't read the table any more but still answers, and against
// an outdated source that reverts changes.
func TestStaleSourceRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := cottonlanding.NewClock()
		time.Sleep(time.Second)
		table := newList(clock)
		table.put("1", "ready")
		source, follower := newReader(clock, table), newReader(clock, table)
		ctx := context.Background()
		require.NoError(t, source.read(ctx))
		table.put("1", "draining")
		require.NoError(t, follower.read(ctx))
		require.Equal(t, "draining", follower.known["1"])
		follower.ChooseBy(func() relayer.Source { return source })
		require.NoError(t, follower.read(ctx))
		require.Equal(t, "draining", follower.known["1"])
		follower.version = 0 // as after the history is gone
		require.NoError(t, follower.read(ctx))
		require.Equal(t, "draining", follower.known["1"], "an older whole list reverts nothing")

		require.NoError(t, source.read(ctx))
		time.Sleep(timing.MaxAge.Duration() + time.Second)
		table.put("2", "ready")
		require.NoError(t, follower.read(ctx))
		require.Equal(t, "ready", follower.known["2"], "the source's reading is too old")
	})
}

// TestSourceUnavailableBeforeFirstReading guards against an empty list from a host that hasn't read the list yet.
func TestSourceUnavailableBeforeFirstReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := cottonlanding.NewClock()
		_, err := newReader(clock, newList(clock)).News(context.Background(), 0)
		require.ErrorIs(t, err, cottonlanding.ErrUnavailable)
	})
}
