package scheduler_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/observer"
	"github.com/cottonlanding/cottonlanding/internal/placement/scheduler"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
	"github.com/cottonlanding/cottonlanding/internal/policy/evictor"
	"github.com/cottonlanding/cottonlanding/internal/policy/orderer"
	"github.com/cottonlanding/cottonlanding/internal/policy/placer"
	"github.com/cottonlanding/cottonlanding/internal/stand/worker"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202") // the same verdict every time
	}
	os.Exit(m.Run())
}

const (
	cellID  cottonlanding.CellID = "brno-a/0"
	leaseMS                      = 4 * cottonlanding.Second
	graceMS                      = 10 * cottonlanding.Second
)

var (
	timing   = scheduler.Timing{LeaseTTL: leaseMS, CutOffGrace: graceMS, Retention: 1 << 40}
	capacity = cottonlanding.Resources{CPU: 8 * cottonlanding.Core, Memory: 16 * cottonlanding.Gigabyte}
)

func newRules(ahead int) scheduler.Rules {
	placement, _ := placer.Catalog.Get("spread")
	eviction, _ := evictor.Catalog.Get("leastlost")
	admission, _ := orderer.Catalog.Get("fifo")
	return scheduler.Rules{
		Placement: placement, Eviction: eviction, Admission: admission,
		Limits: cottonlanding.Limits{Attempts: 3, AssignAhead: ahead},
		Teams:  []cottonlanding.TeamQuota{{Name: "members", Weight: 1}},
	}
}

// faultyStore is an object store that can be down.
type faultyStore struct {
	*keeper.Keeper
	down bool
}

func (s *faultyStore) Put(ctx context.Context, name cottonlanding.ObjectName, data []byte) error {
	if s.down {
		return fmt.Errorf("store: %w", cottonlanding.ErrUnavailable)
	}
	return s.Keeper.Put(ctx, name, data)
}

// contender is a daemon that believes that it owns the cell.
type contender struct {
	cell *scheduler.Cell
	// until is when it stops to visit workers, because it was cut off.
	until cottonlanding.Millis
	// cut holds the workers that it can't reach.
	cut map[*host]bool
}

// world is one cell with its workers, the table and all who believe to own it.
type world struct {
	now        cottonlanding.Millis
	ahead      int
	table      *keeper.Keeper
	store      *faultyStore
	hosts      []*host
	contenders []*contender
	late       []late
	epoch      cottonlanding.Epoch
	row        cottonlanding.Version
	jobs       []cottonlanding.JobName
	accepted   map[cottonlanding.JobName]bool
	cancelled  map[cottonlanding.JobName]bool
}

func newWorld(t require.TestingT, ahead int, drifts []int) *world {
	w := &world{
		now:       1000,
		ahead:     ahead,
		table:     keeper.New(),
		accepted:  make(map[cottonlanding.JobName]bool),
		cancelled: make(map[cottonlanding.JobName]bool),
	}
	w.store = &faultyStore{Keeper: w.table}
	for i, perMille := range drifts {
		h := &host{perMille: cottonlanding.Millis(perMille)}
		id := fmt.Sprintf("worker-%d", i)
		h.Worker = worker.New(cottonlanding.WorkerInfo{
			ID: cottonlanding.WorkerID(id), Address: cottonlanding.Address(id),
			DataCentre: "brno-a", Rack: "rack", Capacity: capacity, State: cottonlanding.Live,
		}, cottonlanding.ClockOf(func() cottonlanding.Millis { return h.local(w.now) }), w.store)
		w.hosts = append(w.hosts, h)
	}
	w.takeOver(t, false)
	return w
}

func (w *world) infos() []cottonlanding.WorkerInfo {
	var out []cottonlanding.WorkerInfo
	for _, h := range w.hosts {
		out = append(out, h.Info())
	}
	return out
}

// takeOver raises the epoch in the table and loads the rows. The last owner goes
// on visiting workers for the grace, or stops at once if it handed over.
func (w *world) takeOver(t require.TestingT, handedOver bool) {
	ctx := context.Background()
	w.epoch++
	receipt, err := w.table.Commit(ctx, cottonlanding.Transaction{
		ID:     cottonlanding.TransactionID(fmt.Sprint("epoch-", w.epoch)),
		Writes: []cottonlanding.Write{{Key: observer.OwnerKey(cellID), Expect: w.row}},
	})
	require.NoError(t, err)
	w.row = receipt.Version
	for _, c := range w.contenders {
		c.until = min(c.until, w.now+graceMS)
		if handedOver {
			c.until = min(c.until, w.now)
		}
	}
	cell := scheduler.New(scheduler.Setup{
		ID: cellID, Epoch: w.epoch, HandedOver: handedOver, PredecessorEnded: w.now,
		Guard: cottonlanding.Check{Key: observer.OwnerKey(cellID), Expect: w.row},
	}, timing, newRules(w.ahead))
	cell.SetWorkers(w.infos(), w.now)
	lists, err := w.table.Scan(ctx, scheduler.JobListPrefix(cellID), "", 10000)
	require.NoError(t, err)
	jobs, err := w.table.Scan(ctx, "Jobs/", "", 10000)
	require.NoError(t, err)
	tasks, err := w.table.Scan(ctx, scheduler.TaskPrefix(cellID), "", 10000)
	require.NoError(t, err)
	require.NoError(t, cell.Load(lists, jobs, tasks, w.now))
	w.contenders = append(w.contenders, &contender{cell: cell, until: 1 << 50, cut: make(map[*host]bool)})
}

func (w *world) owner() *contender { return w.contenders[len(w.contenders)-1] }

// commit sends a plan to the table. A contender that lost the cell forgets it.
func (w *world) commit(c *contender) {
	plan := c.cell.Plan()
	if plan == nil {
		return
	}
	receipt, err := w.table.Commit(context.Background(), cottonlanding.Transaction{
		ID: cottonlanding.TransactionID(fmt.Sprint("plan-", w.now)), Checks: plan.Checks, Writes: plan.Writes,
	})
	if err != nil {
		c.cell.Abandon(err)
		c.until = 0
		return
	}
	c.cell.Committed(plan, receipt)
}

func (w *world) at(address cottonlanding.Address) *host {
	for _, h := range w.hosts {
		if h.Info().Address == address {
			return h
		}
	}
	return nil
}

func (w *world) submit(t *rapid.T, spec cottonlanding.JobSpec) {
	w.jobs = append(w.jobs, spec.Name)
	w.owner().cell.Submit(spec, w.now, func(err error) {
		if err == nil {
			w.accepted[spec.Name] = true
		}
	})
}

// heal ends all faults and runs until every accepted job is final.
func (w *world) heal(t require.TestingT) {
	w.store.down = false
	for _, c := range w.contenders {
		clear(c.cut)
	}
	for _, h := range w.hosts {
		h.SetFaults(worker.Faults{})
	}
	for range 4000 {
		w.now += 50
		c := w.owner()
		c.cell.Decide(w.now)
		w.commit(c)
		w.visit(c, func() fate { return delivered })
		if c.cell.Superseded() || c.until == 0 {
			w.takeOver(t, false)
		}
		if w.settled() {
			return
		}
	}
	require.Fail(t, "jobs don't end", "%+v", w.owner().cell.State(w.now))
}

func (w *world) settled() bool {
	for name := range w.accepted {
		status, found := w.owner().cell.Job(name)
		if !found || !status.Job.State.Final() {
			return false
		}
	}
	return true
}
