package driver_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
	"github.com/cottonlanding/cottonlanding/internal/policy/placer"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/stand/runner"
	"github.com/cottonlanding/cottonlanding/internal/workflow/driver"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	partition = cottonlanding.Partition("Test")
	// testTimeout is how long a test waits for what should happen at once.
	testTimeout = 10 * time.Second
)

// owner is a driver with a table and workers of its own.
type owner struct {
	t      *testing.T
	clock  cottonlanding.Clock
	runner *runner.Runner
	driver *driver.Driver
}

// setup holds the settings in which an owner differs from the default.
type setup struct {
	workers int
	// tasksPerWorker is how many tasks of one core each worker has room for.
	tasksPerWorker int
	policy         cottonlanding.PlacementPolicy
	// client wraps the client of the workers, table the table.
	client func(cottonlanding.RunClient) cottonlanding.RunClient
	table  func(cottonlanding.Table) cottonlanding.Table
	// clock wraps the clock of the owner and its workers.
	clock func(cottonlanding.Clock) cottonlanding.Clock
	// dataCentres is how many data centres the workers are spread over; with zero they name none.
	dataCentres int
	// perWorkerSilence has each worker found silent by itself, spreadTasks has the tasks of a workflow placed wherever
	// there is room.
	perWorkerSilence, spreadTasks bool
	// learnsRunTimes has the owner learn run times.
	learnsRunTimes bool
	// callersFirst has the owner commit the rows first for which callers wait.
	callersFirst bool
	// siblings are the partitions of the other cells.
	siblings []cottonlanding.Partition
	// modify may replace dependencies of the driver.
	modify func(*driver.Dependencies)
}

func newOwner(t *testing.T, s setup) *owner {
	o := &owner{t: t, clock: cottonlanding.NewClock()}
	if s.clock != nil {
		o.clock = s.clock(o.clock)
	}
	o.runner = runner.New(o.clock, func(key cottonlanding.RunKey) runner.Fate {
		return runner.Fate{Lasts: 200, Forever: key.Task.Workflow == "lasting"}
	})
	var workers []cottonlanding.WorkerInfo
	for number := range s.workers {
		id := cottonlanding.WorkerID(fmt.Sprintf("w%d", number))
		o.runner.Add(id, 5000)
		dataCentre := cottonlanding.DataCentre("")
		if s.dataCentres > 0 {
			dataCentre = cottonlanding.DataCentre(fmt.Sprintf("d%d", number%s.dataCentres))
		}
		workers = append(workers, cottonlanding.WorkerInfo{ID: id, Address: cottonlanding.Address(id), Service: "S", DataCentre: dataCentre,
			State: cottonlanding.Live, Capacity: cottonlanding.Resources{CPU: 1000 * cottonlanding.Millicores(s.tasksPerWorker), Memory: 1 << 50}})
	}
	table := cottonlanding.Table(keeper.New())
	if s.table != nil {
		table = s.table(table)
	}
	client := cottonlanding.RunClient(&longPollWorkers{o.runner})
	if s.client != nil {
		client = s.client(client)
	}
	queues := cottonlanding.Queues{Version: 1, Queues: map[cottonlanding.QueueName]cottonlanding.Queue{
		"Q": {Name: "Q", Service: "S", Attempts: 3, Stretch: 2, LatencyTarget: 1000},
	}}
	policy := policyWithPlacement(s.policy)
	policy.CommitsCallersFirst = s.callersFirst
	policy.WatchesDataCentres, policy.KeepsInOneDataCentre = !s.perWorkerSilence, !s.spreadTasks
	policy.LearnsRunTimes = s.learnsRunTimes
	deps := driver.Dependencies{
		Table:          table,
		Workers:        client,
		Clock:          o.clock,
		Log:            slog.New(slog.NewTextHandler(io.Discard, nil)),
		ListedAt:       o.clock.Now,
		Evacuations:    noEvacuations(o.clock),
		ListWorkers:    func() ([]cottonlanding.WorkerInfo, bool) { return workers, true },
		Queues:         func() cottonlanding.Queues { return queues },
		ValidUntil:     func() cottonlanding.Millis { return o.clock.Now() + cottonlanding.Minute },
		ReferralTarget: noReferral,
		HandOverTarget: noReferral,
		Siblings:       func() []cottonlanding.Partition { return s.siblings },
		Deliver:        noDelivery,
		IsHome:         alwaysHome,
		OnLost:         func() { t.Error("the ownership was lost") },
	}
	if s.modify != nil {
		s.modify(&deps)
	}
	o.driver = driver.New(deps, planner.Setup{
		Partition: partition,
		Epoch:     1,
	}, planner.Timing{Lease: 6000, CutOffGrace: 1000, StopTimeout: 200, Retention: cottonlanding.Minute}, policy)
	return o
}

// submit submits a workflow of one step, and retries until the owner has loaded its rows.
func (o *owner) submit(id cottonlanding.WorkflowID, step cottonlanding.Step) {
	o.t.Helper()
	o.eventually("the workflow is accepted", func() bool { return o.submitOnce(id, step) == nil })
}

// submitOnce submits a workflow of one step once.
func (o *owner) submitOnce(id cottonlanding.WorkflowID, step cottonlanding.Step) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	step.Resources = cottonlanding.Resources{CPU: 1000}
	return o.driver.Submit(ctx, cottonlanding.Workflow{ID: id, Queue: "Q", Steps: []cottonlanding.Step{step}})
}

func (o *owner) cancel(id cottonlanding.WorkflowID) {
	o.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(o.t, o.driver.Cancel(ctx, id))
}

// eventually waits for a condition on the clock of the test, real or virtual.
func (o *owner) eventually(what string, holds func() bool) {
	o.t.Helper()
	for began := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		require.Less(o.t, time.Since(began), testTimeout, what)
	}
}

// policyWithPlacement returns the default policies with one placement policy for all kinds of tasks.
func policyWithPlacement(placement cottonlanding.PlacementPolicy) planner.Policy {
	policy := selector.Default().Planner
	policy.ShortPlacement, policy.LastingPlacement, policy.FillingPlacement = placement, placement, placement
	return policy
}

func spreadPlacement() cottonlanding.PlacementPolicy {
	policy, _ := placer.Catalog.Get(placer.Fallback)
	return policy
}

// longPollWorkers hold back the answer to a poll until a run has ended, like real workers.
type longPollWorkers struct {
	*runner.Runner
}

// longPollInterval is how often they check for an end meanwhile.
const longPollInterval = 20 * time.Millisecond

func (p *longPollWorkers) Poll(ctx context.Context, worker cottonlanding.WorkerRef, poll cottonlanding.Poll) (cottonlanding.RunReport, error) {
	until := time.Now().Add(poll.Wait.Duration())
	for {
		report, err := p.Runner.Poll(ctx, worker, poll)
		if err != nil || len(report.Ended) > 0 || !time.Now().Before(until) {
			return report, err
		}
		select {
		case <-time.After(longPollInterval):
		case <-ctx.Done():
			return cottonlanding.RunReport{}, cottonlanding.ErrAmbiguous
		}
	}
}

// noEvacuations reports that no evacuation is in force, as of now.
func noEvacuations(clock cottonlanding.Clock) func() cottonlanding.Evacuations {
	return func() cottonlanding.Evacuations { return cottonlanding.Evacuations{ReadAt: clock.Now()} }
}

// noReferral keeps all workflows in the cell to which they are submitted.
func noReferral(cottonlanding.Workflow, planner.Report, bool) (cottonlanding.CellNumber, bool) {
	return 0, false
}

func noDelivery(context.Context, cottonlanding.Workflow, cottonlanding.CellNumber) error {
	return cottonlanding.ErrUnavailable
}

func alwaysHome(cottonlanding.WorkflowID) bool { return true }
