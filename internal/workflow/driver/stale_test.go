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

// countedPolls counts the polls that are sent.
type countedPolls struct {
	cottonlanding.RunClient
	sent atomic.Int64
}

func (c *countedPolls) Poll(ctx context.Context, worker cottonlanding.WorkerRef, poll cottonlanding.Poll) (cottonlanding.RunReport, error) {
	c.sent.Add(1)
	return c.RunClient.Poll(ctx, worker, poll)
}

// TestLeaseRenewalWithUncommittedEnds guards against leases that expire while the ends of a worker wait for a commit:
// the worker is polled all the same.
func TestLeaseRenewalWithUncommittedEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, polls := &blockingTable{}, &countedPolls{}
		o := newOwner(t, setup{workers: 1, tasksPerWorker: 32, policy: spreadPlacement(),
			table: func(inner cottonlanding.Table) cottonlanding.Table {
				table.Table = inner
				return table
			},
			client: func(client cottonlanding.RunClient) cottonlanding.RunClient {
				polls.RunClient = client
				return polls
			}})
		defer o.driver.Close()
		o.submit("lasting", cottonlanding.Step{Tasks: 1, Lasting: true})
		o.eventually("the lasting task runs", func() bool { return o.runner.Lasting() == 1 })
		o.submit("short", cottonlanding.Step{Tasks: 1})
		time.Sleep(100 * time.Millisecond) // it has started, and ends 100 ms later
		unblocked := make(chan struct{})
		table.blockUntil(unblocked)
		time.Sleep(2 * time.Second)
		before := polls.sent.Load()
		time.Sleep(8 * time.Second)
		close(unblocked)
		require.Equal(t, 1, o.runner.Lasting(), "lasting tasks that still run")
		require.Greater(t, polls.sent.Load(), before, "polls in 8 s without a commit; a lease lasts 6 s")
	})
}

// lostStartAnswer carries out the first start of the workflow "lasting" and loses its answer.
type lostStartAnswer struct {
	slowStarts
	lost atomic.Bool
}

func (l *lostStartAnswer) Start(ctx context.Context, worker cottonlanding.WorkerRef, start cottonlanding.RunStart) (cottonlanding.Reading, error) {
	reading, err := l.slowStarts.Start(ctx, worker, start)
	if start.Task.Workflow == "lasting" && !l.lost.Swap(true) {
		return 0, cottonlanding.ErrAmbiguous
	}
	return reading, err
}

// TestStopOvertakesRepeatedStart guards against a stop that waits for the start of its run, which is repeated behind
// other starts because its answer was lost.
func TestStopOvertakesRepeatedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starts := &lostStartAnswer{slowStarts: slowStarts{delay: 900 * time.Millisecond}}
		o := newOwner(t, setup{workers: 1, tasksPerWorker: 32, policy: spreadPlacement(), client: func(client cottonlanding.RunClient) cottonlanding.RunClient {
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

// leaseRemaining records the minimum remaining time of a lease when a poll arrives.
type leaseRemaining struct {
	cottonlanding.RunClient
	clock        cottonlanding.Clock
	recording    atomic.Bool
	mu           sync.Mutex
	minRemaining cottonlanding.Millis
}

// workerClockOffset is the offset of the workers' clocks in newOwner, in milliseconds.
const workerClockOffset = 5000

func (l *leaseRemaining) Poll(ctx context.Context, worker cottonlanding.WorkerRef, poll cottonlanding.Poll) (cottonlanding.RunReport, error) {
	if l.recording.Load() && poll.LeaseUntil > 0 {
		remaining := cottonlanding.Millis(poll.LeaseUntil) - workerClockOffset - l.clock.Now()
		l.mu.Lock()
		l.minRemaining = min(l.minRemaining, remaining)
		l.mu.Unlock()
	}
	return l.RunClient.Poll(ctx, worker, poll)
}

// TestSlowDecisionsKeepLeases guards against leases that are shortened by a decision: the answer to a poll counts from
// when it arrived, not from when the decision under way at that time has ended.
func TestSlowDecisionsKeepLeases(t *testing.T) {
	leases := &leaseRemaining{minRemaining: 6000}
	policy := &slowPlacement{PlacementPolicy: spreadPlacement()}
	o := newOwner(t, setup{workers: 24, tasksPerWorker: 1000, policy: policy, client: func(client cottonlanding.RunClient) cottonlanding.RunClient {
		leases.RunClient = client
		return leases
	}})
	defer o.driver.Close()
	leases.clock = o.clock
	o.submit("lasting", cottonlanding.Step{Tasks: 24, Lasting: true})
	o.eventually("the lasting tasks run", func() bool { return o.runner.Lasting() == 24 })
	time.Sleep(time.Second)
	leases.recording.Store(true)
	for number := range 6 {
		go o.submitOnce(cottonlanding.WorkflowID(fmt.Sprintf("bulk%d", number)), cottonlanding.Step{Tasks: 1000, Lasting: true})
	}
	o.eventually("decisions take long", func() bool { return policy.placed.Load() >= 1500 })
	leases.mu.Lock()
	defer leases.mu.Unlock()
	require.Greater(t, leases.minRemaining, cottonlanding.Millis(5000), "remaining time of a lease of 6 s when its poll arrives")
}

// leavingDeadline is for how long after a worker is listed as leaving a start may still be sent to it.
const leavingDeadline = 2 * time.Second

// queuedStarts counts the starts that are sent while counting is set.
type queuedStarts struct {
	slowStarts
	counting atomic.Bool
	sent     atomic.Int64
}

func (l *queuedStarts) Start(ctx context.Context, worker cottonlanding.WorkerRef, start cottonlanding.RunStart) (cottonlanding.Reading, error) {
	if l.counting.Load() {
		l.sent.Add(1)
	}
	return l.slowStarts.Start(ctx, worker, start)
}

// queueDataCentre is the data centre of the worker in startQueuedRuns.
const queueDataCentre cottonlanding.DataCentre = "d"

// startQueuedRuns has one worker take 900 ms for each of ten starts of one workflow, and returns while the first of
// them is under way. modify may replace dependencies of the driver.
func startQueuedRuns(t *testing.T, modify func(deps *driver.Dependencies)) *queuedStarts {
	clock := cottonlanding.NewClock()
	fakeWorkers := runner.New(clock, func(cottonlanding.RunKey) runner.Fate { return runner.Fate{Forever: true} })
	workers := []cottonlanding.WorkerInfo{addLabelledWorker(fakeWorkers, 0, "", 32)}
	workers[0].DataCentre = queueDataCentre
	starts := &queuedStarts{slowStarts: slowStarts{RunClient: &longPollWorkers{fakeWorkers}, delay: 900 * time.Millisecond}}
	deps := dependencies(t, clock, keeper.New(), starts, workers)
	modify(&deps)
	d := driver.New(deps, planner.Setup{Partition: "Test", Epoch: 1},
		planner.Timing{Lease: 6000, CutOffGrace: 1000, StopTimeout: 200, Retention: cottonlanding.Minute}, policyWithPlacement(spreadPlacement()))
	t.Cleanup(d.Close)
	submitUntilAccepted(t, d, "slow", cottonlanding.Step{Tasks: 10, Resources: cottonlanding.Resources{CPU: 1000}})
	time.Sleep(500 * time.Millisecond)
	require.EqualValues(t, 1, starts.pending.Load(), "starts under way")
	return starts
}

// requireNoneAfter checks that no start is sent in the ten seconds after a span.
func (l *queuedStarts) requireNoneAfter(t *testing.T, span time.Duration, what string) {
	t.Helper()
	time.Sleep(span)
	l.counting.Store(true)
	time.Sleep(10 * time.Second)
	require.Zero(t, l.sent.Load(), what)
}

// requireSomeSoon checks that starts are sent within a second.
func (l *queuedStarts) requireSomeSoon(t *testing.T, what string) {
	t.Helper()
	time.Sleep(time.Second)
	require.NotZero(t, l.sent.Load(), what)
}

// TestLeavingWorkerCancelsQueuedStarts guards against starts that wait behind others and are sent although their worker
// has been known to leave for longer than leavingDeadline.
func TestLeavingWorkerCancelsQueuedStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var leaves atomic.Bool
		starts := startQueuedRuns(t, func(deps *driver.Dependencies) {
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
		starts.requireNoneAfter(t, leavingDeadline, "starts after the deadline")
	})
}
