package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"

	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/holder"
	"github.com/cottonlanding/cottonlanding/internal/discovery/relayer"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/stand/proxy"
	"github.com/cottonlanding/cottonlanding/internal/stand/runner"
	"github.com/cottonlanding/cottonlanding/internal/workflow/gateway"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// deployment is three hosts on loopback that share one table and some workers.
type deployment struct {
	t        *testing.T
	clock    cottonlanding.Clock
	table    *faultyTable
	watched  cottonlanding.Feed
	recorder *recorder
	runner   *runner.Runner
	workers  []cottonlanding.WorkerInfo
	perCell  int
	referral cottonlanding.ReferralPolicy
	overload cottonlanding.OverloadPolicy
	// slowThreshold is the duration of a call from which on hosts consider the table slow.
	slowThreshold cottonlanding.Millis
	// restarts counts the hosts that were started to replace killed ones.
	restarts int
	hosts    []*gateway.Gateway
	// lists are the hosts' relays of the list of workers; listReads counts how often the list itself is read.
	lists     []*relayer.Relay
	listReads atomic.Int64
	// proxies stand between each host and the hosts that call it.
	proxies []*proxy.Proxy
}

// faultyTable is a table that can be made unavailable or slow.
type faultyTable struct {
	cottonlanding.Table
	unavailable atomic.Bool
	// callDelay is added to each commit and read, in nanoseconds.
	callDelay atomic.Int64
	// scanRowDelay is added to a scan for each of its rows, in nanoseconds, as on a slow link.
	scanRowDelay atomic.Int64
	// commitDelay is added to each commit of several rows, in nanoseconds.
	commitDelay atomic.Int64
}

// faultyFeed fails while its table is unavailable.
type faultyFeed struct {
	cottonlanding.Feed
	table *faultyTable
}

func (f faultyFeed) Read(ctx context.Context, version cottonlanding.Version, wait cottonlanding.Millis) (cottonlanding.FeedReading, error) {
	news, err := f.Feed.Read(ctx, version, wait)
	if f.table.unavailable.Load() {
		return cottonlanding.FeedReading{}, cottonlanding.ErrUnavailable
	}
	return news, err
}

func (t *faultyTable) Commit(ctx context.Context, transaction cottonlanding.Transaction) (cottonlanding.Receipt, error) {
	if t.unavailable.Load() {
		return cottonlanding.Receipt{}, cottonlanding.ErrUnavailable
	}
	time.Sleep(time.Duration(t.callDelay.Load()))
	if len(transaction.Writes) > 1 { // a heartbeat writes one row
		time.Sleep(time.Duration(t.commitDelay.Load()))
	}
	return t.Table.Commit(ctx, transaction)
}

func (t *faultyTable) Read(ctx context.Context, keys ...cottonlanding.Key) ([]cottonlanding.Row, error) {
	if t.unavailable.Load() {
		return nil, cottonlanding.ErrUnavailable
	}
	time.Sleep(time.Duration(t.callDelay.Load()))
	return t.Table.Read(ctx, keys...)
}

func (t *faultyTable) Scan(ctx context.Context, prefix, after cottonlanding.Key, limit int) ([]cottonlanding.Row, error) {
	if t.unavailable.Load() {
		return nil, cottonlanding.ErrUnavailable
	}
	rows, err := t.Table.Scan(ctx, prefix, after, limit)
	select {
	case <-time.After(time.Duration(t.scanRowDelay.Load() * int64(len(rows)))):
		return rows, err
	case <-ctx.Done():
		return nil, cottonlanding.ErrUnavailable
	}
}

// peerIP is the loopback address of the hosts' listeners. Proxies and connections use any free port of 127.0.0.1, and
// so can't take a listener's port between the probe and the listening.
const peerIP = "127.0.66.1"

const (
	// neverSlow exceeds the duration of any call of the table in memory on a loaded machine, so that only tests that
	// delay the table have hosts that consider it slow, from slowCall on.
	neverSlow = cottonlanding.Minute
	slowCall  = 150 * cottonlanding.Millis(1)
)

// deploy starts hosts whose workers are in one cell.
func deploy(t *testing.T) *deployment { return deployCells(t, 1) }

// deployCells starts hosts and as many data centres of workers as there are to be cells.
func deployCells(t *testing.T, cells int) *deployment {
	return deployWithReferral(t, cells, selector.Default().Referral)
}

func deployWithReferral(t *testing.T, cells int, referral cottonlanding.ReferralPolicy) *deployment {
	return deployWithSlowCall(t, cells, referral, neverSlow)
}

// deployWithSlowCall starts hosts that consider the table slow if calls take slowThreshold or longer.
func deployWithSlowCall(t *testing.T, cells int, referral cottonlanding.ReferralPolicy, slowThreshold cottonlanding.Millis) *deployment {
	return deployWithOverload(t, cells, referral, slowThreshold, selector.Default().Planner.Overload)
}

// deployWithOverload is deployWithSlowCall with a policy that may reject workflows.
func deployWithOverload(t *testing.T, cells int, referral cottonlanding.ReferralPolicy, slowThreshold cottonlanding.Millis, overload cottonlanding.OverloadPolicy) *deployment {
	const workersPerCell = 4
	clock := cottonlanding.NewClock()
	store := keeper.New()
	recorded := newRecorder(store)
	d := &deployment{t: t, clock: clock, watched: store.Watched(clock), table: &faultyTable{Table: recorded}, recorder: recorded, perCell: workersPerCell, referral: referral, overload: overload, slowThreshold: slowThreshold}
	d.runner = runner.New(clock, func(key cottonlanding.RunKey) runner.Fate {
		return runner.Fate{Lasts: 100, Forever: strings.HasPrefix(string(key.Task.Workflow), "lasting")}
	})
	for number := range workersPerCell * cells {
		id := cottonlanding.WorkerID(fmt.Sprintf("w%d", number))
		d.runner.Add(id, 5000)
		d.workers = append(d.workers, cottonlanding.WorkerInfo{ID: id, Address: cottonlanding.Address(id), Service: "S",
			DataCentre: cottonlanding.DataCentre(fmt.Sprintf("d%d", number/workersPerCell)), State: cottonlanding.Live, Capacity: cottonlanding.Resources{CPU: 8000, Memory: 8 * cottonlanding.Gigabyte}})
	}
	for number := range 3 {
		d.hosts = append(d.hosts, d.host(number))
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		for _, host := range d.hosts {
			host.Close(ctx)
		}
		require.Empty(t, d.runner.Violations())
		require.Empty(t, d.recorder.inconsistencies())
	})
	return d
}

func (d *deployment) host(number int) *gateway.Gateway { return d.hostWithShare(number, 0) }

// hostWithShare starts a host with a share of a core.
func (d *deployment) hostWithShare(number int, share float64) *gateway.Gateway {
	probe, err := net.Listen("tcp", peerIP+":0")
	require.NoError(d.t, err)
	address := cottonlanding.Address(probe.Addr().String())
	require.NoError(d.t, probe.Close())
	peerProxy, err := proxy.New(address)
	require.NoError(d.t, err)
	d.t.Cleanup(peerProxy.Close)
	d.proxies = append(d.proxies, peerProxy)
	queues := cottonlanding.Queues{Version: 1, Queues: map[cottonlanding.QueueName]cottonlanding.Queue{
		"Q": {Name: "Q", Service: "S", Attempts: 3, Stretch: 2, LatencyTarget: 1000},
	}}
	policy := selector.Default().Planner
	policy.Overload = d.overload
	lists := d.newLists()
	d.lists = append(d.lists, lists)
	host, err := gateway.New(gateway.Settings{
		Self:        holder.Member{ID: cottonlanding.SessionID(fmt.Sprintf("h%d", number)), Address: peerProxy.Address(), Share: share},
		PeerAddress: address,
		Holder: holder.Timing{TTL: 600, SlowTTL: 2000, SlowCall: d.slowThreshold, Poll: 100, Timeout: 500, SlowTimeout: 1000, SmallShareDelay: 300, SlowSmallShareDelay: 300,
			DelayPerOwned: 300, Jitter: 50},
		Planner:        planner.Timing{Lease: 3000, CutOffGrace: 1000, StopTimeout: 300, Retention: cottonlanding.Minute},
		Policy:         policy,
		Referral:       d.referral,
		WorkersPerCell: d.perCell,
	}, gateway.Dependencies{
		Table:         d.table,
		Watched:       faultyFeed{d.watched, d.table},
		Workers:       d.runner,
		Clock:         d.clock,
		Log:           slog.New(slog.NewTextHandler(io.Discard, nil)),
		FollowWorkers: func(bool) {},
		Lists:         lists,
		ListWorkers:   func() ([]cottonlanding.WorkerInfo, bool) { return d.workers, true },
		Queues:        func() cottonlanding.Queues { return queues },
		ListedAt:      d.clock.Now,
		Evacuations:   func() cottonlanding.Evacuations { return cottonlanding.Evacuations{ReadAt: d.clock.Now()} },
	})
	require.NoError(d.t, err)
	return host
}

// owner waits until a host owns the workflows, and returns it.
func (d *deployment) owner() int {
	found := -1
	require.Eventually(d.t, func() bool {
		for at, host := range d.hosts {
			if _, owns := host.Counts(); owns {
				found = at
				return true
			}
		}
		return false
	}, 10*time.Second, 5*time.Millisecond)
	return found
}

func workflow(id cottonlanding.WorkflowID) cottonlanding.Workflow {
	step := cottonlanding.Step{Tasks: 3, Resources: cottonlanding.Resources{CPU: 1000, Memory: cottonlanding.Gigabyte}, Estimate: 100}
	second := step
	second.After = []int{0}
	return cottonlanding.Workflow{ID: id, Queue: "Q", Payload: "p", Steps: []cottonlanding.Step{step, second}}
}

// submit submits a workflow like a client, with retries under the same id until it is accepted.
func (d *deployment) submit(host int, w cottonlanding.Workflow) {
	require.Eventually(d.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return d.hosts[host].Submit(ctx, w) == nil
	}, 15*time.Second, 20*time.Millisecond)
}

func (d *deployment) state(host int, id cottonlanding.WorkflowID) cottonlanding.WorkflowState {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	state, err := d.hosts[host].State(ctx, id)
	if err != nil {
		require.NotErrorIs(d.t, err, cottonlanding.ErrNotFound, "an accepted workflow is not found")
	}
	return state
}

func (d *deployment) requireSuccess(host int, id cottonlanding.WorkflowID) {
	require.Eventually(d.t, func() bool { return d.state(host, id) == cottonlanding.WorkflowSucceeded },
		15*time.Second, 20*time.Millisecond, "workflow %s", id)
}

// TestSubmitAtAnyHost guards against a workflow that is lost at a host which isn't the owner, or runs twice because it
// was submitted at two hosts.
func TestSubmitAtAnyHost(t *testing.T) {
	d := deploy(t)
	d.owner()
	for host := range d.hosts {
		id := cottonlanding.WorkflowID(fmt.Sprintf("at%d", host))
		d.submit(host, workflow(id))
		d.submit((host+1)%3, workflow(id)) // the same workflow at another host
		d.requireSuccess((host+2)%3, id)
	}
	require.Equal(t, 18, d.runner.Starts())
	_, err := d.hosts[0].State(context.Background(), "unknown")
	require.ErrorIs(t, err, cottonlanding.ErrNotFound)
}

// TestInvalidWorkflowError guards against a host that refuses an invalid workflow with another error than ErrCannotRun
// because the owner is elsewhere.
func TestInvalidWorkflowError(t *testing.T) {
	d := deploy(t)
	d.owner()
	bad := workflow("bad")
	bad.Steps[1].After = []int{1}
	for host := range d.hosts {
		require.Eventually(t, func() bool {
			err := d.hosts[host].Submit(context.Background(), bad)
			return errors.Is(err, cottonlanding.ErrCannotRun)
		}, 10*time.Second, 20*time.Millisecond)
	}
}

// TestOwnerKilled guards against workflows that are lost, and lasting tasks that are interrupted, when the owner is
// killed.
func TestOwnerKilled(t *testing.T) {
	d := deploy(t)
	old := d.owner()
	other := (old + 1) % 3
	d.submit(other, cottonlanding.Workflow{ID: "lasting", Queue: "Q", Steps: []cottonlanding.Step{
		{Tasks: 4, Resources: cottonlanding.Resources{CPU: 1000, Memory: cottonlanding.Gigabyte}, Lasting: true}}})
	require.Eventually(t, func() bool { return d.runner.Running() == 4 }, 10*time.Second, 10*time.Millisecond)
	for number := range 10 {
		d.submit(other, workflow(cottonlanding.WorkflowID(fmt.Sprintf("before%d", number))))
	}
	killed, cancel := context.WithCancel(context.Background())
	cancel()
	d.hosts[old].Close(killed)
	d.hosts[old] = d.hosts[other]
	d.submit(other, workflow("after"))
	d.requireSuccess(other, "after")
	for number := range 10 {
		d.requireSuccess(other, cottonlanding.WorkflowID(fmt.Sprintf("before%d", number)))
	}
	require.Equal(t, 4, d.runner.Running(), "lasting tasks continue on their workers")
	ctx, end := context.WithTimeout(context.Background(), 5*time.Second)
	defer end()
	require.NoError(t, d.hosts[other].Cancel(ctx, "lasting"))
	require.Eventually(t, func() bool { return d.runner.Running() == 0 }, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, cottonlanding.WorkflowCancelled, d.state(other, "lasting"))
}

// TestTakeOverOverSlowLink guards against an owner with a slow link that never loads hundreds of workflows, because a
// page takes longer than the time limit of a call.
func TestTakeOverOverSlowLink(t *testing.T) {
	d := deploy(t)
	old := d.owner()
	other := (old + 1) % 3
	const workflows = 200
	for number := range workflows {
		d.submit(old, workflow(cottonlanding.WorkflowID(fmt.Sprintf("w%d", number))))
	}
	d.table.scanRowDelay.Store(int64(7 * time.Millisecond))
	killed, cancel := context.WithCancel(context.Background())
	cancel()
	d.hosts[old].Close(killed)
	d.hosts[old] = d.hosts[other]
	d.submit(other, workflow("after"))
	d.requireSuccess(other, "after")
}

// TestSmallOwnerHandsOver guards against a small host that keeps the workflows when a large one starts, and against
// workflows that are lost or run twice in the hand-over.
func TestSmallOwnerHandsOver(t *testing.T) {
	d := deploy(t)
	d.owner()
	d.hosts = append(d.hosts, d.hostWithShare(3, 0.8))
	end := time.Now().Add(15 * time.Second)
	number := 0
	for {
		id := cottonlanding.WorkflowID(fmt.Sprintf("w%d", number))
		d.submit(number%3, workflow(id))
		number++
		if _, owns := d.hosts[3].Counts(); owns {
			break
		}
		require.True(t, time.Now().Before(end), "the large host doesn't take over within 15 s")
	}
	for at := range number {
		d.requireSuccess(at%4, cottonlanding.WorkflowID(fmt.Sprintf("w%d", at)))
	}
	require.Equal(t, 6*number, d.runner.Starts(), "each task starts once")
}

// TestOwnerLeaves guards against a leaving owner whose workflows wait for its time to live, or that refuses calls which
// it could forward to the next owner.
func TestOwnerLeaves(t *testing.T) {
	d := deploy(t)
	old := d.owner()
	d.submit(old, workflow("before"))
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	began := time.Now()
	d.hosts[old].Leave(ctx)
	d.submit(old, workflow("meanwhile")) // the leaving host forwards calls
	took := time.Since(began)
	d.requireSuccess(old, "before")
	d.requireSuccess(old, "meanwhile")
	require.Less(t, took, 2*time.Second)
	t.Logf("a workflow was accepted %s after the owner began to leave", took)
}

// TestTableUnavailableFailsCallsFast guards against calls that wait for their time limit while the table is
// unavailable, and against hosts that don't recover with it.
func TestTableUnavailableFailsCallsFast(t *testing.T) {
	d := deploy(t)
	old := d.owner()
	d.submit(old, workflow("before"))
	d.requireSuccess(old, "before")
	d.table.unavailable.Store(true)
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		return errors.Is(d.hosts[(old+1)%3].Submit(ctx, workflow("refused")), cottonlanding.ErrUnavailable)
	}, 5*time.Second, 50*time.Millisecond, "calls are refused without delay")
	d.table.unavailable.Store(false)
	d.submit(old, workflow("after"))
	d.requireSuccess(old, "after")
}
