package sharer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/holder"
	"github.com/cottonlanding/cottonlanding/internal/operators/reader"
	"github.com/cottonlanding/cottonlanding/internal/operators/sharer"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
)

var timing = reader.Timing{Wait: 1500, Timeout: 2000, Pause: 200}

const (
	copyKey cottonlanding.Key = "Test:" + cottonlanding.WatchedPrefix + "Operators"
	// callDuration is the duration of a call to the table, startInterval the time between starts of two hosts.
	callDuration  = 4 * time.Millisecond
	startInterval = 37 * time.Millisecond
	// configurationLength is the length of a typical row of operators, in bytes.
	configurationLength = 42_000
)

// operators is a fake of the operators' table that counts the bytes it returns.
type operators struct {
	mu        sync.Mutex
	rows      map[string]cottonlanding.FeedRow
	version   cottonlanding.Version
	changed   chan struct{}
	bytesRead atomic.Int64
}

func newOperators() *operators {
	return &operators{rows: make(map[string]cottonlanding.FeedRow), version: 1, changed: make(chan struct{})}
}

func (o *operators) write(key string, value []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.rows[key] = cottonlanding.FeedRow{Key: key, Value: value, Version: o.version, Deleted: value == nil}
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *operators) Read(ctx context.Context, version cottonlanding.Version, wait cottonlanding.Millis) (cottonlanding.FeedReading, error) {
	time.Sleep(callDuration)
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	reading, changed := o.changesAfter(version)
	if len(reading.Rows) == 0 && version > 0 {
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return cottonlanding.FeedReading{}, ctx.Err()
		}
		reading, _ = o.changesAfter(version)
	}
	for _, row := range reading.Rows {
		o.bytesRead.Add(int64(len(row.Value)))
	}
	return reading, nil
}

func (o *operators) changesAfter(version cottonlanding.Version) (cottonlanding.FeedReading, chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	reading := cottonlanding.FeedReading{Whole: version == 0, Version: o.version}
	for _, key := range slices.Sorted(maps.Keys(o.rows)) {
		row := o.rows[key]
		if row.Version > version && (version > 0 || !row.Deleted) {
			reading.Rows = append(reading.Rows, row)
		}
	}
	return reading, o.changed
}

// host holds the operators' table as known to one host.
type host struct {
	mu      sync.Mutex
	rows    map[string]cottonlanding.FeedRow
	version cottonlanding.Version
}

func (h *host) apply(reading cottonlanding.FeedReading) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if reading.Whole {
		clear(h.rows)
	}
	for _, row := range reading.Rows {
		h.rows[row.Key] = row
		if row.Deleted {
			delete(h.rows, row.Key)
		}
	}
	h.version = reading.Version
}

func (h *host) row(key string) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rows[key].Value
}

// fleet is a number of hosts of which the first writes copies while firstWrites is true.
type fleet struct {
	clock       cottonlanding.Clock
	operators   *operators
	table       *keeper.Keeper
	hosts       []*host
	firstWrites atomic.Bool
	log         bytes.Buffer
}

// simulate runs test once count hosts have started; with useCopies they read copies.
func simulate(t *testing.T, count int, useCopies bool, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{clock: cottonlanding.NewClock(), operators: newOperators(), table: keeper.New()}
		f.firstWrites.Store(true)
		f.operators.write("config", newConfiguration(0, configurationLength))
		var watchers []*holder.Watcher
		for number := range count {
			watcher := holder.NewWatcher(f.table.Watched(f.clock), f.clock, slog.New(slog.DiscardHandler), 150)
			watchers = append(watchers, watcher)
			f.start(ctx, number, watcher, useCopies)
			time.Sleep(startInterval)
		}
		time.Sleep(5 * time.Second)
		test(f)
		cancel()
		for _, watcher := range watchers {
			watcher.Close()
		}
		time.Sleep(time.Second) // for calls in progress to end
	})
}

func (f *fleet) start(ctx context.Context, number int, watcher *holder.Watcher, useCopies bool) {
	log := slog.New(slog.NewTextHandler(&f.log, nil))
	if number > 0 {
		log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	var feed cottonlanding.Feed = f.operators
	if useCopies {
		feed = sharer.New(ctx, sharer.Dependencies{
			Feed:         f.operators,
			Table:        f.table,
			Key:          copyKey,
			Watcher:      watcher,
			Clock:        f.clock,
			Log:          log,
			WritesCopies: func() bool { return number == 0 && f.firstWrites.Load() },
			AwaitsCopies: func() bool { return number > 0 },
		})
	}
	h := &host{rows: make(map[string]cottonlanding.FeedRow)}
	f.hosts = append(f.hosts, h)
	reader.New(ctx, feed, timing, log, h.apply)
}

// requireAll checks that all hosts know a row's value.
func (f *fleet) requireAll(t *testing.T, key string, value []byte) {
	t.Helper()
	for number, h := range f.hosts {
		require.Equal(t, string(value), string(h.row(key)), "host %d", number)
	}
}

// newConfiguration returns a row of about the given length in bytes, as repetitive as real ones.
func newConfiguration(number, length int) []byte {
	line := fmt.Sprintf(`{"name":"queue-%d","backend":"service","timeoutMs":3000},`, number)
	return bytes.Repeat([]byte(line), length/len(line)+1)
}

// TestChangeReadByFewHosts guards against reads of the table that grow with the number of hosts. Only reads that
// fall between a change and its copy return the change.
func TestChangeReadByFewHosts(t *testing.T) {
	for _, count := range []int{20, 80} {
		require.Less(t, readsPerChange(t, count, true), 2+float64(count)/20, "%d hosts", count)
	}
	require.GreaterOrEqual(t, readsPerChange(t, 20, false), 20.0, "without copies each host reads each change")
}

// readsPerChange returns how often a change is read from the operators' table on average.
func readsPerChange(t *testing.T, count int, useCopies bool) float64 {
	const changes = 10
	var total int64
	simulate(t, count, useCopies, func(f *fleet) {
		before := f.operators.bytesRead.Load()
		for number := range changes {
			f.operators.write("config", newConfiguration(number+1, configurationLength))
			time.Sleep(1234 * time.Millisecond)
			f.requireAll(t, "config", newConfiguration(number+1, configurationLength))
		}
		total = f.operators.bytesRead.Load() - before
	})
	return float64(total) / configurationLength / changes
}

// TestHostsReadTableWhenCopiesStop guards against hosts that miss a change which nobody copies: they learn of it by
// their next read of the table.
func TestHostsReadTableWhenCopiesStop(t *testing.T) {
	simulate(t, 12, true, func(f *fleet) {
		f.firstWrites.Store(false)
		f.operators.write("config", []byte("new"))
		time.Sleep(timing.Wait.Duration() + 2*callDuration)
		f.requireAll(t, "config", []byte("new"))
	})
}

// TestStaleAndBrokenCopiesIgnored guards against stale or broken copies that keep arriving and delay the hosts'
// own reads of the table or revert a change.
func TestStaleAndBrokenCopiesIgnored(t *testing.T) {
	simulate(t, 12, true, func(f *fleet) {
		f.firstWrites.Store(false)
		old := f.copy(t).Value
		f.operators.write("config", []byte("new"))
		for range 4 {
			f.writeCopy(t, []byte("no copy"))
			time.Sleep(timing.Wait.Duration() / 8)
			f.writeCopy(t, old)
			time.Sleep(timing.Wait.Duration() / 8)
		}
		time.Sleep(2 * callDuration)
		f.requireAll(t, "config", []byte("new"))
		f.writeCopy(t, old)
		time.Sleep(100 * time.Millisecond)
		f.requireAll(t, "config", []byte("new"))
	})
}

// copy returns the row with the copy.
func (f *fleet) copy(t *testing.T) cottonlanding.Row {
	rows, err := f.table.Read(t.Context(), copyKey)
	require.NoError(t, err)
	require.Len(t, rows, 1)
	return rows[0]
}

func (f *fleet) writeCopy(t *testing.T, value []byte) {
	before := f.copy(t).Version
	_, err := f.table.Commit(t.Context(), cottonlanding.Transaction{
		ID:     cottonlanding.TransactionID(fmt.Sprint(before)),
		Writes: []cottonlanding.Write{{Key: copyKey, Expect: before, Value: value}},
	})
	require.NoError(t, err)
}

// TestCopiesCarryRemovals guards against copies that lose a removed row's removal, or a row written beside others.
func TestCopiesCarryRemovals(t *testing.T) {
	simulate(t, 12, true, func(f *fleet) {
		f.operators.write("evacuate/hall", []byte("{}"))
		time.Sleep(2 * time.Second)
		f.requireAll(t, "evacuate/hall", []byte("{}"))
		f.operators.write("evacuate/hall", nil)
		time.Sleep(2 * time.Second)
		f.requireAll(t, "evacuate/hall", nil)
		f.requireAll(t, "config", newConfiguration(0, configurationLength))
	})
}

// TestOversizedTableReadDirectly guards against changes that get lost when the table is too long to be copied.
func TestOversizedTableReadDirectly(t *testing.T) {
	simulate(t, 4, true, func(f *fleet) {
		long := make([]byte, 100_000)
		_, _ = rand.New(rand.NewSource(1)).Read(long) // it never fails
		f.operators.write("config", long)
		time.Sleep(2 * time.Second)
		f.requireAll(t, "config", long)
		require.Contains(t, f.log.String(), "isn't copied")
	})
}
