package holder_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/holder"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
)

const partition cottonlanding.Partition = "Test"

var timing = holder.Timing{TTL: 1200, SlowTTL: 4000, SlowCall: 150, Poll: 300, Timeout: 600, SlowTimeout: 2500, Jitter: 250, SlowJitter: 2000,
	SmallShareDelay: 900, SlowSmallShareDelay: 2000, FirstOwnerDelay: 2000}

// takeOverWithin is how long a silent owner's successor takes at most: the last beat is seen
// a poll late, its time and the margin pass, then comes the jitter, which is drawn with the
// members' ids, and another poll.
var takeOverWithin = timing.TTL + timing.TTL/10 + timing.Jitter + 2*timing.Poll

type member struct {
	*holder.Holder
	watcher *holder.Watcher
	table   *table
	// requested gets the members that ask for the partition.
	requested chan holder.Member
}

// Close ends the member.
func (m member) Close() {
	m.Holder.Close()
	m.watcher.Close()
}

func join(store *keeper.Keeper, clock cottonlanding.Clock, number int) member {
	return joinWithShare(store, clock, fmt.Sprintf("m%d", number), 1)
}

// joinWithShare starts a member that has a share of a core.
func joinWithShare(store *keeper.Keeper, clock cottonlanding.Clock, name string, share float64) member {
	return joinMember(store, clock, holder.Member{ID: cottonlanding.SessionID(name), Address: "a", Share: share}, timing)
}

// discardLog is a log that nobody reads.
var discardLog = slog.New(slog.DiscardHandler)

// dependencies are those of a member of one cell that owns none and has nothing to tell.
func dependencies(of cottonlanding.Table, watcher *holder.Watcher, reader *holder.Reader, clock cottonlanding.Clock) holder.Dependencies {
	return holder.Dependencies{
		Table:         of,
		Watcher:       watcher,
		Reader:        reader,
		Clock:         clock,
		Log:           discardLog,
		Changed:       func(holder.View) {},
		CellRequested: func(holder.Member) {},
		Owned:         func() int { return 0 },
		OwnedBy:       func(cottonlanding.SessionID) int { return 1 },
		Cells:         func() int { return 1 },
		CellsKnown:    func() bool { return true },
		Remote:        func() bool { return false },
		Report:        func() []byte { return nil },
	}
}

// joinMember starts a member with spans of its own.
func joinMember(store *keeper.Keeper, clock cottonlanding.Clock, self holder.Member, timing holder.Timing) member {
	one := &table{Table: store}
	requested := make(chan holder.Member, 10)
	watcher := holder.NewWatcher(feed{store.Watched(clock), one}, clock, discardLog, timing.SlowCall)
	deps := dependencies(one, watcher, holder.NewReader(one, clock, watcher, partition), clock)
	deps.CellRequested = func(to holder.Member) { requested <- to }
	return member{holder.New(deps, 0, self, timing), watcher, one, requested}
}

// owners returns the members that believe in themselves.
func owners(clock cottonlanding.Clock, members []member) []int {
	var out []int
	for at, m := range members {
		if m.ValidUntil() > clock.Now() {
			out = append(out, at)
		}
	}
	return out
}

func simulate(t *testing.T, test func(t *testing.T, clock cottonlanding.Clock, members []member)) {
	synctest.Test(t, func(t *testing.T) {
		clock := cottonlanding.NewClock()
		store := keeper.New()
		var members []member
		for number := range 3 {
			members = append(members, join(store, clock, number))
		}
		time.Sleep(time.Second)
		require.Len(t, owners(clock, members), 1)
		test(t, clock, members)
		for _, m := range members {
			m.Close()
		}
	})
}

func TestPartitionedOwnerIsReplacedOnce(t *testing.T) {
	simulate(t, func(t *testing.T, clock cottonlanding.Clock, members []member) {
		old := owners(clock, members)[0]
		epoch := members[old].View().Owner.Epoch
		members[old].table.set(func(t *table) { t.partitioned = true })
		began := clock.Now()
		for clock.Now()-began <= takeOverWithin {
			time.Sleep(50 * time.Millisecond)
			require.LessOrEqual(t, len(owners(clock, members)), 1, "two owners at once")
		}
		now := owners(clock, members)
		require.Len(t, now, 1)
		require.NotEqual(t, old, now[0])
		view := members[now[0]].View()
		require.Equal(t, epoch+1, view.Owner.Epoch)
		require.GreaterOrEqual(t, view.BeforeUntil, began, "the one before may have been valid until then")
		members[old].table.set(func(t *table) { t.partitioned = false })
		time.Sleep(time.Second)
		require.Equal(t, now, owners(clock, members))
	})
}

func TestReleaseHandsOverAtOnce(t *testing.T) {
	simulate(t, func(t *testing.T, clock cottonlanding.Clock, members []member) {
		old := owners(clock, members)[0]
		require.NoError(t, members[old].Release(context.Background()))
		time.Sleep(400 * time.Millisecond)
		now := owners(clock, members)
		require.Len(t, now, 1)
		require.NotEqual(t, old, now[0])
	})
}

func TestTableOutageKeepsOwner(t *testing.T) {
	simulate(t, func(t *testing.T, clock cottonlanding.Clock, members []member) {
		old := owners(clock, members)
		epoch := members[old[0]].View().Owner.Epoch
		for _, m := range members {
			m.table.set(func(t *table) { t.partitioned = true })
		}
		time.Sleep(5 * time.Second)
		require.Empty(t, owners(clock, members), "nobody may believe in itself for so long")
		for _, m := range members {
			m.table.set(func(t *table) { t.partitioned = false })
		}
		time.Sleep(time.Second)
		require.Equal(t, old, owners(clock, members))
		require.Equal(t, epoch, members[old[0]].View().Owner.Epoch)
	})
}

func TestLostBeatAnswersKeepOwner(t *testing.T) {
	simulate(t, func(t *testing.T, clock cottonlanding.Clock, members []member) {
		old := owners(clock, members)
		members[old[0]].table.set(func(t *table) { t.loseAnswers = true })
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			require.Equal(t, old, owners(clock, members))
		}
	})
}

func TestSlowTableKeepsOwner(t *testing.T) {
	simulate(t, func(t *testing.T, clock cottonlanding.Clock, members []member) {
		old := owners(clock, members)
		for _, m := range members {
			m.table.set(func(t *table) { t.delayCalls = 400 * time.Millisecond })
		}
		time.Sleep(3 * time.Second)
		require.Equal(t, old, owners(clock, members))
		require.True(t, members[old[0]].Slow())
		for _, m := range members {
			m.table.set(func(t *table) { t.delayCalls = 900 * time.Millisecond })
		}
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			require.LessOrEqual(t, len(owners(clock, members)), 1)
		}
		require.Equal(t, old, owners(clock, members), "a slow table is no reason for a new owner")
	})
}

// TestSlowTableNeedsTwoUnansweredCalls checks that a call without an answer, as on
// a connection that went silent, costs its time and no more, and that two show a
// slow table.
func TestSlowTableNeedsTwoUnansweredCalls(t *testing.T) {
	simulate(t, func(t *testing.T, clock cottonlanding.Clock, members []member) {
		old := owners(clock, members)
		for range 5 {
			for _, m := range members {
				m.table.set(func(t *table) { t.unanswered = 1 })
			}
			for range 40 {
				time.Sleep(50 * time.Millisecond)
				require.Equal(t, old, owners(clock, members), "the owner is sure of itself all the time")
				for _, m := range members {
					require.False(t, m.Slow())
					require.Less(t, clock.Now()-max(m.View().Read, m.ValidUntil()-timing.TTL), timing.Poll+timing.Timeout+timing.Poll)
				}
			}
		}
		for _, m := range members {
			m.table.set(func(t *table) { t.unanswered = 3 })
		}
		began := clock.Now()
		for clock.Now()-began < timing.Timeout+timing.SlowTimeout {
			time.Sleep(10 * time.Millisecond)
			for _, m := range members {
				if m.table.unansweredLeft() == 1 {
					require.False(t, m.Slow(), "one call without an answer shows nothing")
				}
			}
		}
		time.Sleep((timing.Poll + timing.Poll/10).Duration())
		for _, m := range members {
			require.Zero(t, m.table.unansweredLeft())
			require.True(t, m.Slow(), "two calls without an answer show a slow table")
		}
	})
}

// TestReleaseIsRetried checks that an owner that leaves while the table is out
// hands over as soon as it is back.
func TestReleaseIsRetried(t *testing.T) {
	simulate(t, func(t *testing.T, clock cottonlanding.Clock, members []member) {
		old := owners(clock, members)[0]
		members[old].table.set(func(t *table) { t.partitioned = true })
		go func() {
			time.Sleep(700 * time.Millisecond)
			members[old].table.set(func(t *table) { t.partitioned = false })
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		require.NoError(t, members[old].Release(ctx))
		time.Sleep(400 * time.Millisecond)
		now := owners(clock, members)
		require.Len(t, now, 1)
		require.NotEqual(t, old, now[0])
	})
}

// TestTakeOverWithLostAnswer checks that a take-over whose answer was lost counts.
func TestTakeOverWithLostAnswer(t *testing.T) {
	simulate(t, func(t *testing.T, clock cottonlanding.Clock, members []member) {
		old := owners(clock, members)[0]
		epoch := members[old].View().Owner.Epoch
		for at, m := range members {
			m.table.set(func(t *table) { t.partitioned, t.loseAnswers = at == old, true })
		}
		time.Sleep(3 * time.Second)
		now := owners(clock, members)
		require.Len(t, now, 1)
		require.Equal(t, epoch+1, members[now[0]].View().Owner.Epoch, "taken over more than once")
	})
}

// TestLargeMembersGoFirst checks that small members leave the partition to large
// ones, at the start, after a loss and after a release, and take it when there is
// no large one.
func TestLargeMembersGoFirst(t *testing.T) {
	for draw := range 20 { // the names decide the jitter
		synctest.Test(t, func(t *testing.T) {
			clock := cottonlanding.NewClock()
			store := keeper.New()
			var members []member
			for number, share := range []float64{0.1, 0.2, 0.8, 0.1, 0.7, 0.2} {
				one := joinWithShare(store, clock, fmt.Sprintf("m%d-%d", draw, number), share)
				defer one.Close()
				members = append(members, one)
			}
			large := func() int {
				time.Sleep(3 * time.Second)
				now := owners(clock, members)
				require.Len(t, now, 1)
				require.Contains(t, []int{2, 4}, now[0], "a small member owns the partition")
				return now[0]
			}
			first := large()
			members[first].table.set(func(t *table) { t.partitioned = true })
			second := large()
			require.NotEqual(t, first, second)
			members[first].table.set(func(t *table) { t.partitioned = false })
			time.Sleep(time.Second)
			require.NoError(t, members[second].Release(context.Background()))
			require.Equal(t, first, large())
			for _, at := range []int{2, 4} {
				members[at].table.set(func(t *table) { t.partitioned = true })
			}
			time.Sleep(3 * time.Second)
			require.Len(t, owners(clock, members), 1, "a small one takes it in the end")
		})
	}
}

// TestLargeMemberRequestsCell checks that a large member that was cut off
// gets the partition back from a small one, once.
func TestLargeMemberRequestsCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := cottonlanding.NewClock()
		store := keeper.New()
		large, small, other := joinWithShare(store, clock, "large", 0.8), joinWithShare(store, clock, "small", 0.1), joinWithShare(store, clock, "other", 0.1)
		members := []member{large, small, other}
		for _, m := range members {
			defer m.Close()
		}
		time.Sleep(3 * time.Second)
		require.Equal(t, []int{0}, owners(clock, members))
		large.table.set(func(t *table) { t.partitioned = true })
		time.Sleep(3 * time.Second)
		owner := members[owners(clock, members)[0]]
		large.table.set(func(t *table) { t.partitioned = false })
		requested := <-owner.requested
		require.Equal(t, cottonlanding.SessionID("large"), requested.ID)
		require.NoError(t, owner.ReleaseTo(context.Background(), requested))
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, []int{0}, owners(clock, members))
		time.Sleep(10 * time.Second)
		require.Equal(t, []int{0}, owners(clock, members))
		require.Empty(t, small.requested)
		require.Empty(t, other.requested)
	})
}
