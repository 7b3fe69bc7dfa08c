package holder_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/holder"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
)

const (
	// tableAhead is by how much the table's clock is ahead of the members'.
	tableAhead = 5_000_000
	// leaseSpan is how long after an instant leases last, untimedLeases how long they last after the ownership of an
	// owner whose beats don't say.
	leaseSpan, untimedLeases = 8 * cottonlanding.Second, 7 * cottonlanding.Second
)

// leasing is a member that grants leases.
type leasing struct {
	member
	// since is from when on its leases are to last for leaseSpan; zero says nothing.
	since *atomic.Int64
}

// say has the next beats say that leases end leaseSpan after an instant, in milliseconds of the clock.
func (l leasing) say(since cottonlanding.Millis) { l.since.Store(int64(since)) }

// said returns when the leases are to end.
func (l leasing) said() cottonlanding.Millis { return cottonlanding.Millis(l.since.Load()) + leaseSpan }

// joinLeasing starts a member that reads the table's clock if timed is set.
func joinLeasing(store *keeper.Keeper, clock cottonlanding.Clock, id cottonlanding.SessionID, timed bool) leasing {
	return joinLeasingAfter(store, clock, id, timed, untimedLeases)
}

// joinLeasingAfter is joinLeasing with the longest leases of owners whose beats don't say when they end.
func joinLeasingAfter(store *keeper.Keeper, clock cottonlanding.Clock, id cottonlanding.SessionID, timed bool, untimed cottonlanding.Millis) leasing {
	spans := timing
	spans.Reclaim, spans.UntimedLeases = true, untimed
	faulty, since := &table{Table: store}, new(atomic.Int64)
	watcher := holder.NewWatcher(feed{store.Watched(clock), faulty}, clock, discardLog, spans.SlowCall)
	deps := dependencies(faulty, watcher, holder.NewReader(faulty, clock, watcher, partition), clock)
	deps.Leases = func() holder.Leases {
		from := cottonlanding.Millis(since.Load())
		if from == 0 {
			return holder.Leases{}
		}
		return holder.Leases{Since: from, Span: leaseSpan}
	}
	if timed {
		deps.TableClock = func() (cottonlanding.TableReading, bool) {
			now := clock.Now()
			return cottonlanding.TableReading{Shown: cottonlanding.TableInstant(now + tableAhead), RequestedAt: now, ReceivedAt: now}, true
		}
	}
	self := holder.Member{ID: id, Address: "a", Share: 1}
	return leasing{member{holder.New(deps, 0, self, spans), watcher, faulty, nil}, since}
}

// awaitOwnership waits until the member is the owner.
func (l leasing) awaitOwnership(t *testing.T) {
	time.Sleep(2 * timing.Poll.Duration())
	require.Positive(t, l.ValidUntil())
}

// requireNear checks an instant that was converted to the table's clock and back, which never becomes earlier.
func requireNear(t *testing.T, want, got cottonlanding.Millis) {
	t.Helper()
	require.GreaterOrEqual(t, got, want)
	require.LessOrEqual(t, got, want+500)
}

// TestSuccessorKnowsLeasesEnd guards against a successor that counts the leases of the owner before from when it has
// itself first seen the last beat, so that lasting tasks are down for longer by the age of a process that has just started.
func TestSuccessorKnowsLeasesEnd(t *testing.T) {
	for name, starts := range map[string]time.Duration{"at once": 0, "later": 700 * time.Millisecond, "after expiry": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock, store := cottonlanding.NewClock(), keeper.New()
				killed := joinLeasing(store, clock, "killed", true)
				killed.awaitOwnership(t)
				require.Zero(t, killed.View().EarlierLeasesEnd, "there was no owner")
				require.Zero(t, killed.LeasesEnd(), "it has said nothing yet")
				killed.say(clock.Now())
				time.Sleep(time.Second)
				ends := killed.LeasesEnd()
				require.Equal(t, killed.said(), ends)
				killed.Close()
				time.Sleep(starts)
				again := joinLeasing(store, clock, "again", true)
				defer again.Close()
				again.awaitOwnership(t)
				requireNear(t, ends, again.View().EarlierLeasesEnd)
				require.LessOrEqual(t, again.LeasesEnd(), ends, "its leases end by then until it has said more")
				require.Greater(t, again.LeasesEnd(), ends-500)
			})
		})
	}
}

// TestLeasesEndSurvivesSilentOwners guards against an end of leases that moves with each owner that is lost before it has
// said anything of its own leases.
func TestLeasesEndSurvivesSilentOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock, store := cottonlanding.NewClock(), keeper.New()
		first := joinLeasing(store, clock, "first", true)
		first.awaitOwnership(t)
		first.say(clock.Now())
		time.Sleep(time.Second)
		ends := first.LeasesEnd()
		first.Close()
		for _, id := range []cottonlanding.SessionID{"second", "third"} {
			silent := joinLeasing(store, clock, id, true)
			silent.awaitOwnership(t)
			time.Sleep(time.Second)
			requireNear(t, ends, silent.View().EarlierLeasesEnd)
			silent.Close()
		}
		last := joinLeasing(store, clock, "last", true)
		defer last.Close()
		last.awaitOwnership(t)
		requireNear(t, ends, last.View().EarlierLeasesEnd)
		last.say(clock.Now())
		time.Sleep(time.Second)
		require.Equal(t, last.said(), last.LeasesEnd())
		require.NoError(t, last.Release(t.Context()))
		require.Zero(t, last.LeasesEnd())
	})
}

// TestReleasedCellKeepsLeasesEnd guards against leases that count as ended because their owner has released the cell.
func TestReleasedCellKeepsLeasesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock, store := cottonlanding.NewClock(), keeper.New()
		released := joinLeasing(store, clock, "released", true)
		released.awaitOwnership(t)
		released.say(clock.Now())
		time.Sleep(time.Second)
		ends := released.LeasesEnd()
		require.NoError(t, released.Release(t.Context()))
		released.Close()
		next := joinLeasing(store, clock, "next", true)
		defer next.Close()
		time.Sleep(time.Second)
		require.Positive(t, next.ValidUntil())
		requireNear(t, ends, next.View().EarlierLeasesEnd)
	})
}

// TestOwnerKeepsToConfirmedLeasesEnd guards against leases that last longer than a beat says that may not be written.
func TestOwnerKeepsToConfirmedLeasesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock, store := cottonlanding.NewClock(), keeper.New()
		owner := joinLeasing(store, clock, "owner", true)
		defer owner.Close()
		owner.awaitOwnership(t)
		owner.say(clock.Now())
		time.Sleep(time.Second)
		ends := owner.LeasesEnd()
		owner.table.set(func(t *table) { t.partitioned = true })
		owner.say(clock.Now())
		time.Sleep(time.Second)
		require.Equal(t, ends, owner.LeasesEnd())
		owner.table.set(func(t *table) { t.partitioned = false })
		time.Sleep(time.Second)
		require.Greater(t, owner.LeasesEnd(), ends)
		owner.say(owner.said() - leaseSpan - 500)
		ends = owner.LeasesEnd()
		time.Sleep(time.Second)
		require.Equal(t, ends, owner.LeasesEnd(), "what was said holds")
	})
}

// TestUntimedOwnersCountInFull guards against leases of an owner of older code that count as ended too early: its beats
// don't say when they end.
func TestUntimedOwnersCountInFull(t *testing.T) {
	for _, timed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			clock, store := cottonlanding.NewClock(), keeper.New()
			older := joinLeasing(store, clock, "older", false)
			older.awaitOwnership(t)
			time.Sleep(time.Second)
			ends := older.ValidUntil() + untimedLeases
			require.Zero(t, older.LeasesEnd())
			older.Close()
			again := joinLeasing(store, clock, "again", timed)
			defer again.Close()
			again.awaitOwnership(t)
			require.GreaterOrEqual(t, again.View().EarlierLeasesEnd, ends)
		})
	}
}

// TestUnknownLeasesAreNotGuessed guards against leases that count as ended with the ownership, although nobody knows how
// long they last: tasks are then started a second time while the first still runs.
func TestUnknownLeasesAreNotGuessed(t *testing.T) {
	for _, timed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			clock, store := cottonlanding.NewClock(), keeper.New()
			older := joinLeasing(store, clock, "older", false)
			older.awaitOwnership(t)
			older.Close()
			again := joinLeasingAfter(store, clock, "again", timed, 0)
			defer again.Close()
			again.awaitOwnership(t)
			require.Zero(t, again.View().EarlierLeasesEnd)
			require.Zero(t, again.LeasesEnd())
		})
	}
}
