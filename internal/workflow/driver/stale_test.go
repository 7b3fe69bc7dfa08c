package driver_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
	"github.com/cottonlanding/cottonlanding/internal/stand/runner"
	"github.com/cottonlanding/cottonlanding/internal/workflow/driver"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// countedLooks counts the looks that are sent.
type countedLooks struct {
	cottonlanding.RunClient
	sent atomic.Int64
}

func (c *countedLooks) Poll(ctx context.Context, worker cottonlanding.WorkerRef, look cottonlanding.Poll) (cottonlanding.RunReport, error) {
	c.sent.Add(1)
	return c.RunClient.Poll(ctx, worker, look)
}

// TestLeasesAreRenewedWhileEndsAreNotCommitted: a worker whose ends wait for a commit
// is looked at all the same, or its runs end with their leases.
func TestLeasesAreRenewedWhileEndsAreNotCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, looks := &heldTable{}, &countedLooks{}
		o := newOwner(t, setup{workers: 1, room: 32, policy: spread(),
			table: func(inner cottonlanding.Table) cottonlanding.Table {
				table.Table = inner
				return table
			},
			client: func(client cottonlanding.RunClient) cottonlanding.RunClient {
				looks.RunClient = client
				return looks
			}})
		defer o.driver.Close()
		o.submit("lasting", cottonlanding.Step{Tasks: 1, Lasting: true})
		o.eventually("the lasting task runs", func() bool { return o.runner.Lasting() == 1 })
		o.submit("short", cottonlanding.Step{Tasks: 1})
		time.Sleep(100 * time.Millisecond) // it has started, and ends 100 ms later
		held := make(chan struct{})
		table.hold(held)
		time.Sleep(2 * time.Second)
		before := looks.sent.Load()
		time.Sleep(8 * time.Second)
		close(held)
		require.Equal(t, 1, o.runner.Lasting(), "lasting tasks that still run")
		require.Greater(t, looks.sent.Load(), before, "looks in 8 s without a commit; a lease has 6 s")
	})
}

// lostAnswer carries the first start of the workflow "lasting" out, and loses its answer.
type lostAnswer struct {
	slowStarts
	lost atomic.Bool
}

func (l *lostAnswer) Start(ctx context.Context, worker cottonlanding.WorkerRef, start cottonlanding.RunStart) (cottonlanding.Reading, error) {
	reading, err := l.slowStarts.Start(ctx, worker, start)
	if start.Task.Workflow == "lasting" && !l.lost.Swap(true) {
		return 0, cottonlanding.ErrAmbiguous
	}
	return reading, err
}

// TestStopDoesNotWaitForTheRepeatedStartOfItsRun: a start that is repeated because its
// answer was lost waits behind other starts; the stop of its run must not.
func TestStopDoesNotWaitForTheRepeatedStartOfItsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starts := &lostAnswer{slowStarts: slowStarts{after: 900 * time.Millisecond}}
		o := newOwner(t, setup{workers: 1, room: 32, policy: spread(), client: func(client cottonlanding.RunClient) cottonlanding.RunClient {
			starts.RunClient = client
			return starts
		}})
		defer o.driver.Close()
		o.submit("lasting", cottonlanding.Step{Tasks: 1, Lasting: true})
		o.eventually("the answer is lost", starts.lost.Load)
		o.submit("slow", cottonlanding.Step{Tasks: 10})
		time.Sleep(500 * time.Millisecond) // the start is repeated by now, behind the others
		require.Equal(t, 1, o.runner.Lasting())
		o.cancel("lasting")
		cancelled := time.Now()
		o.eventually("the stop arrives", func() bool { return o.runner.Lasting() == 0 })
		require.Less(t, time.Since(cancelled), 1300*time.Millisecond, "a call and a pause")
	})
}

// leaseLeft notes the least time that is left of a lease when a look arrives.
type leaseLeft struct {
	cottonlanding.RunClient
	clock cottonlanding.Clock
	on    atomic.Bool
	mu    sync.Mutex
	least cottonlanding.Millis
}

// offsetOf5000 is what newOwner gives the clocks of its workers.
const offsetOf5000 = 5000

func (l *leaseLeft) Poll(ctx context.Context, worker cottonlanding.WorkerRef, look cottonlanding.Poll) (cottonlanding.RunReport, error) {
	if l.on.Load() && look.LeaseUntil > 0 {
		left := cottonlanding.Millis(look.LeaseUntil) - offsetOf5000 - l.clock.Now()
		l.mu.Lock()
		l.least = min(l.least, left)
		l.mu.Unlock()
	}
	return l.RunClient.Poll(ctx, worker, look)
}

// TestDecisionsDoNotShortenLeases: the answer to a look came when it arrived, not when
// the decision under way at that time had ended.
func TestDecisionsDoNotShortenLeases(t *testing.T) {
	leases := &leaseLeft{least: 6000}
	policy := &slowPlacement{PlacementPolicy: spread()}
	o := newOwner(t, setup{workers: 24, room: 1000, policy: policy, client: func(client cottonlanding.RunClient) cottonlanding.RunClient {
		leases.RunClient = client
		return leases
	}})
	defer o.driver.Close()
	leases.clock = o.clock
	o.submit("lasting", cottonlanding.Step{Tasks: 24, Lasting: true})
	o.eventually("the lasting tasks run", func() bool { return o.runner.Lasting() == 24 })
	time.Sleep(time.Second)
	leases.on.Store(true)
	for number := range 6 {
		go o.offer(cottonlanding.WorkflowID(fmt.Sprintf("bulk%d", number)), cottonlanding.Step{Tasks: 1000, Lasting: true})
	}
	o.eventually("decisions take long", func() bool { return policy.placed.Load() >= 1500 })
	leases.mu.Lock()
	defer leases.mu.Unlock()
	require.Greater(t, leases.least, cottonlanding.Millis(5000), "what is left of a lease of 6 s when its look arrives")
}

// drainWithin is how long after a worker is known to leave a start may still reach it.
const drainWithin = 2 * time.Second

// lateStarts counts the starts that are sent while late is set.
type lateStarts struct {
	slowStarts
	late atomic.Bool
	sent atomic.Int64
}

func (l *lateStarts) Start(ctx context.Context, worker cottonlanding.WorkerRef, start cottonlanding.RunStart) (cottonlanding.Reading, error) {
	if l.late.Load() {
		l.sent.Add(1)
	}
	return l.slowStarts.Start(ctx, worker, start)
}

// queueAt is the data centre of the worker that playQueue has.
const queueAt cottonlanding.DataCentre = "d"

// playQueue has one worker take 900 ms for each of ten starts of one workflow, and returns while
// the first of them is under way. amend may replace what the owner works with.
func playQueue(t *testing.T, amend func(deps *driver.Dependencies)) *lateStarts {
	clock := cottonlanding.NewClock()
	stand := runner.New(clock, func(cottonlanding.RunKey) runner.Fate { return runner.Fate{Forever: true} })
	workers := []cottonlanding.WorkerInfo{labelled(stand, 0, "", 32)}
	workers[0].DataCentre = queueAt
	starts := &lateStarts{slowStarts: slowStarts{RunClient: &patientWorkers{stand}, after: 900 * time.Millisecond}}
	deps := dependencies(t, clock, keeper.New(), starts, workers)
	amend(&deps)
	d := driver.New(deps, planner.Setup{Partition: "Test", Epoch: 1},
		planner.Timing{Lease: 6000, CutOffGrace: 1000, StopTimeout: 200, Retention: cottonlanding.Minute}, everyPlacement(spread()))
	t.Cleanup(d.Close)
	handIn(t, d, "slow", cottonlanding.Step{Tasks: 10, Resources: cottonlanding.Resources{CPU: 1000}})
	time.Sleep(500 * time.Millisecond)
	require.EqualValues(t, 1, starts.pending.Load(), "starts under way")
	return starts
}

// requireNoneAfter checks that no start is sent in the ten seconds after a span.
func (l *lateStarts) requireNoneAfter(t *testing.T, span time.Duration, what string) {
	t.Helper()
	time.Sleep(span)
	l.late.Store(true)
	time.Sleep(10 * time.Second)
	require.Zero(t, l.sent.Load(), what)
}

// requireSomeSoon checks that starts are sent within a second.
func (l *lateStarts) requireSomeSoon(t *testing.T, what string) {
	t.Helper()
	time.Sleep(time.Second)
	require.NotZero(t, l.sent.Load(), what)
}

// TestNoStartToAWorkerThatLeaves: a start that waits behind others isn't sent once its
// worker has been known to leave for a while.
func TestNoStartToAWorkerThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var leaves atomic.Bool
		starts := playQueue(t, func(deps *driver.Dependencies) {
			workers, _ := deps.ListWorkers()
			leaving := slices.Clone(workers)
			leaving[0].State = cottonlanding.Leaving
			deps.ListWorkers = func() ([]cottonlanding.WorkerInfo, bool) {
				if leaves.Load() {
					return leaving, true
				}
				return workers, true
			}
		})
		leaves.Store(true)
		starts.requireNoneAfter(t, drainWithin, "starts later than that")
	})
}
