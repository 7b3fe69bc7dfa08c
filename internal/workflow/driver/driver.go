// Package driver runs a cell of workflows while this process owns it: it loads the rows, commits decisions, sends
// orders, and polls the workers.
package driver

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/committer"
	"github.com/cottonlanding/cottonlanding/internal/duty/pauser"
	"github.com/cottonlanding/cottonlanding/internal/duty/ticker"
	"github.com/cottonlanding/cottonlanding/internal/duty/waker"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// tick is the interval at which the owner decides, and looks for due orders, without being woken. Long decisions and
	// commits make the time between two decisions longer: see pauseAfter.
	tick = 100 * cottonlanding.Millis(1)
	// coalescingInterval is the minimum time between two transactions, so that changes in between share the next one;
	// the table takes about 15 ms for a transaction.
	coalescingInterval = 15 * cottonlanding.Millis(1)
	// maxWritesPerTransaction keeps a transaction below the table's limit of 100 entries.
	maxWritesPerTransaction = 95
	tableTimeout            = cottonlanding.Second
	// callTimeout bounds an order, and a poll beyond the wait that it asks for.
	callTimeout       = cottonlanding.Second
	loadRetryInterval = 100 * cottonlanding.Millis(1)
	// initialPageSize is how many rows are read at once at first: with usual payloads they come over a 10-Mbit/s link
	// within a quarter of tableTimeout. Each failed load halves the size, down to minPageSize, so that pages arrive over
	// slower links too.
	initialPageSize = 150
	minPageSize     = 25
	// overloadThreshold is the maximum duration of a decision with which new work is accepted. A request that comes
	// just after a decision has begun waits for it, for a pause of the same length, for the next decision and for a
	// commit, and has 1.2 s for all of these.
	overloadThreshold = 350 * cottonlanding.Millis(1)
	// slowCommitThreshold is the duration from which a commit counts as slow.
	slowCommitThreshold = 300 * cottonlanding.Millis(1)
	// slowBoundThreshold is the duration of a commit from which no lease bounds are added: a worker that answers again
	// waits for two commits before its lease is renewed.
	slowBoundThreshold = cottonlanding.Second
	// leasesEndInterval is how often the limit for leases is computed that the next heartbeat is to say.
	leasesEndInterval = 50 * cottonlanding.Millis(1)
	// maxReportAge is the maximum age of a capacity report that is passed on: three times the interval at which
	// a cell reports its free capacity.
	maxReportAge = 900 * cottonlanding.Millis(1)
	// maxImmediatePolls bounds the polls under way that ask for an answer at once. A small host takes about 10 ms for
	// each, so that it reads the answers within callTimeout.
	maxImmediatePolls = 32
	// pollSlotTimeout is how long such a poll holds its slot while others are answered sooner, so that workers that
	// can't be reached delay the others by a second at most.
	pollSlotTimeout = 250 * cottonlanding.Millis(1)
)

// Dependencies are what a driver works with.
type Dependencies struct {
	// Cell is the driven cell.
	Cell  cottonlanding.CellNumber
	Table cottonlanding.Table
	// TableClock returns a reading of the table's clock, and false while there is none. It may be nil.
	TableClock func() (cottonlanding.TableReading, bool)
	Workers    cottonlanding.RunClient
	Clock      cottonlanding.Clock
	Log        *slog.Logger
	// ListWorkers returns the workers, and false before they are known.
	ListWorkers func() ([]cottonlanding.WorkerInfo, bool)
	// ListedAt returns the instant as of which the list of workers is complete.
	ListedAt func() cottonlanding.Millis
	// Queues returns the newest configuration; version zero means that there is none.
	Queues func() cottonlanding.Queues
	// Evacuations returns the evacuations that were read last; nothing may start in an evacuated data centre.
	Evacuations func() cottonlanding.Evacuations
	// ValidUntil returns the instant until which this process is guaranteed to own the cell, as holder.Holder.ValidUntil
	// does.
	ValidUntil func() cottonlanding.Millis
	// LeasesEnd returns by when the leases must end that this process grants, as holder.Holder.LeasesEnd does. It may be
	// nil for no limit.
	LeasesEnd func() cottonlanding.Millis
	// ReferralTarget returns the cell that is to own a new workflow, which means to store it and to decide about it, if
	// that isn't this one. It is given the free capacity of this cell, and whether this cell has usable workers.
	ReferralTarget func(workflow cottonlanding.Workflow, report planner.Report, usable bool) (cottonlanding.CellNumber, bool)
	// HandOverTarget is the same for a waiting workflow, which is handed over to the cell that it returns.
	HandOverTarget func(workflow cottonlanding.Workflow, report planner.Report, usable bool) (cottonlanding.CellNumber, bool)
	// Deliver submits a workflow that was handed over to the cell that is to own it.
	Deliver func(ctx context.Context, workflow cottonlanding.Workflow, to cottonlanding.CellNumber) error
	// Delegate returns the cells that are to run tasks for which this cell has no room.
	Delegate func([]planner.DelegableTask) []planner.Delegation
	// SendDelegationRequest asks another cell about the tasks that it is to run for this one.
	SendDelegationRequest func(ctx context.Context, to cottonlanding.CellNumber, request planner.DelegationRequest) (planner.DelegationResponse, error)
	// IsHome reports whether this cell is the home of a workflow.
	IsHome func(cottonlanding.WorkflowID) bool
	// Siblings returns the partitions of all other cells, whose findings about images this one uses.
	Siblings func() []cottonlanding.Partition
	// OnLost is called once when the cell is lost to another owner.
	OnLost func()
}

// Driver drives one cell during one ownership.
type Driver struct {
	deps   Dependencies
	setup  planner.Setup
	timing planner.Timing
	policy planner.Policy

	mu             sync.Mutex // guards the fields below
	cell           *planner.Cell
	pollers        map[cottonlanding.WorkerID]waker.Waker
	lastWorkerList []cottonlanding.WorkerInfo
	// lastHandOverAt and lastDelegationAt are when workflows to hand over and tasks to delegate were last looked for.
	lastHandOverAt   cottonlanding.Millis
	lastDelegationAt cottonlanding.Millis

	committer      *committer.Committer
	outbox         *outbox
	startValidator *startValidator
	meter          *meter
	commitTimes    commitTimes
	// refusing says that a submission was refused because commits are slow, and none has been fast since.
	refusing atomic.Bool
	stalled  atomic.Bool
	// overloaded says that the last decision took longer than overloadThreshold.
	overloaded atomic.Bool
	// nextLeasesEnd is the limit for leases that the next heartbeat is to say, in milliseconds of the clock, computed at
	// leasesEndAt.
	nextLeasesEnd atomic.Int64
	leasesEndAt   cottonlanding.Millis
	// lastReport is the capacity report after the last decision.
	lastReport atomic.Pointer[lastReport]
	// delegationRequestsStarted says that sendDelegationRequests was started, which runs until the driver ends and which
	// delegationRequestsDue wakes before its next interval.
	delegationRequestsStarted bool
	delegationRequestsDue     waker.Waker
	// decisionsDue and ordersDue wake the two loops before their next tick.
	decisionsDue waker.Waker
	ordersDue    waker.Waker
	// pollSlots holds a slot for each poll under way that asks for an answer at once.
	pollSlots chan struct{}
	// lastImmediatePollTook is the duration of the last of these polls that was answered, in milliseconds.
	lastImmediatePollTook atomic.Int64
	// stopping is closed to end the decisions, decisionsEnded when they have ended.
	stopping       chan struct{}
	decisionsEnded chan struct{}
	stopOnce       sync.Once
	endOnce        sync.Once
	ctx            context.Context
	cancel         context.CancelFunc
	work           sync.WaitGroup
}

// lastReport is the capacity report of a cell at an instant.
type lastReport struct {
	report planner.Report
	usable bool
	at     cottonlanding.Millis
}

// New starts to drive a cell that was just taken over.
func New(deps Dependencies, setup planner.Setup, timing planner.Timing, policy planner.Policy) *Driver {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Driver{
		deps:                  deps,
		setup:                 setup,
		timing:                timing,
		policy:                policy,
		pollers:               make(map[cottonlanding.WorkerID]waker.Waker),
		pollSlots:             make(chan struct{}, maxImmediatePolls),
		outbox:                newOutbox(),
		startValidator:        newStartValidator(deps),
		meter:                 newMeter(deps.Log),
		delegationRequestsDue: waker.New(),
		decisionsDue:          waker.New(),
		ordersDue:             waker.New(),
		stopping:              make(chan struct{}),
		decisionsEnded:        make(chan struct{}),
		ctx:                   ctx,
		cancel:                cancel,
	}
	lane := setup.Partition.Key("Lanes/" + uuid.NewString())
	d.committer = committer.New(deps.Table, deps.Clock, lane,
		committer.WithSpacing(0), committer.WithMaxWrites(maxWritesPerTransaction), committer.WithTimeout(tableTimeout))
	d.work.Go(func() {
		defer close(d.decisionsEnded)
		d.run()
	})
	return d
}

// Release ends the driver once all decisions are committed, or when ctx ends.
func (d *Driver) Release(ctx context.Context) {
	d.stopOnce.Do(func() { close(d.stopping) })
	select {
	case <-d.decisionsEnded:
		d.flush(ctx)
	case <-ctx.Done():
	}
	d.end(ctx)
}

// Close ends the driver at once; pending calls get ErrAmbiguous.
func (d *Driver) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.end(ctx)
}

// end may be called more than once, also concurrently: a driver that is being released can lose its ownership
// meanwhile.
func (d *Driver) end(ctx context.Context) {
	d.endOnce.Do(func() { d.endNow(ctx) })
}

func (d *Driver) endNow(ctx context.Context) {
	d.cancel()
	d.work.Wait()
	d.committer.Close(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cell != nil {
		d.cell.Abandon(fmt.Errorf("%w: the owner of the workflows ended", cottonlanding.ErrAmbiguous))
		d.cell = nil
	}
}

// flush commits all changes that are not committed yet.
func (d *Driver) flush(ctx context.Context) {
	for ctx.Err() == nil {
		d.mu.Lock()
		var plan *planner.Plan
		if d.cell != nil {
			plan = d.cell.Plan(d.deps.Clock.Now())
		}
		d.mu.Unlock()
		if plan == nil || d.commit(plan) != nil {
			return
		}
	}
}

func (d *Driver) run() {
	guard, written, err := d.claim()
	if err != nil {
		if d.ctx.Err() == nil {
			d.reportLost(err.Error())
		}
		return
	}
	d.setup.Guard, d.setup.BoundsKeptSince, d.setup.AdoptionsKeptSince = guard, written.BoundsKeptSince, written.AdoptionsKeptSince
	cell := d.load()
	if cell == nil {
		return
	}
	d.mu.Lock()
	d.cell = cell
	d.mu.Unlock()
	d.work.Go(d.sendOrders)
	d.work.Go(d.applyResults)
	d.work.Go(d.followLearnt)
	d.work.Go(d.deliverAll)
	turns := ticker.New(tick)
	defer turns.Stop()
	for {
		took, owned := d.turn()
		if !owned {
			return
		}
		d.await(d.stopping, d.pauseAfterTurn(took))
		select {
		case <-d.ctx.Done():
			return
		case <-d.stopping:
			return
		case <-d.decisionsDue:
		case <-turns.Next():
		}
	}
}

// pauseAfter returns how long to wait after a turn. Decisions take at most half of the time, however long they are,
// because polls, orders and calls share the processor and the lock with them. These already have the time of the
// commit.
func pauseAfter(took turnTimes) cottonlanding.Millis {
	deciding, turn := took.decided-took.began, took.ended-took.began
	return max(0, coalescingInterval-turn, 2*deciding-turn)
}

// turn decides and commits; false means that the cell is lost.
func (d *Driver) turn() (turnTimes, bool) {
	took := turnTimes{began: d.deps.Clock.Now()}
	if took.began >= d.deps.ValidUntil() {
		took.decided, took.ended = took.began, took.began
		return took, true // nothing may be decided until the ownership is confirmed again
	}
	now := took.began
	d.mu.Lock()
	d.refresh(now)
	d.readTableClock(d.cell)
	d.limitLeases(now)
	d.cell.Decide(now, time.Now().UnixMilli())
	d.handOver(now)
	d.delegate(now)
	plan := d.cell.Plan(now)
	superseded := d.cell.Superseded()
	report, usable := d.cell.Report(now)
	d.lastReport.Store(&lastReport{report, usable, now})
	took.decided = d.deps.Clock.Now()
	d.recordDecisionTime(took.decided - took.began)
	d.commitTimes.recordDecided(took.decided - took.began)
	if plan != nil {
		d.commitTimes.recordBegan(took.decided)
	}
	d.mu.Unlock()
	if superseded {
		d.reportLost("a worker has seen a newer owner")
		return took, false
	}
	if plan != nil {
		if err := d.commit(plan); err != nil {
			if d.ctx.Err() == nil {
				d.reportLost(err.Error())
			}
			return took, false
		}
	}
	d.wakeSender()
	took.ended = d.deps.Clock.Now()
	d.meter.recordTurn(took)
	return took, true
}

func (d *Driver) reportLost(reason string) {
	d.deps.Log.Warn("workflows lost to another owner", "Epoch", d.setup.Epoch, "Why", reason)
	d.deps.OnLost()
}

// commit commits a plan. It returns once the plan is committed or can't be any more, or when the driver ends.
func (d *Driver) commit(plan *planner.Plan) error {
	type outcome struct {
		receipt cottonlanding.Receipt
		err     error
	}
	done := make(chan outcome, 1)
	began := d.deps.Clock.Now()
	proposal := committer.Proposal{
		Checks: plan.Checks,
		Writes: plan.Writes,
		Done:   func(receipt cottonlanding.Receipt, err error) { done <- outcome{receipt, err} },
	}
	if err := d.committer.Propose(proposal); err != nil {
		return err
	}
	for {
		select {
		case result := <-done:
			d.recordStalled(false)
			if result.err != nil {
				return result.err
			}
			d.mu.Lock()
			d.cell.Committed(plan, result.receipt.Version)
			now := d.deps.Clock.Now()
			d.cell.SetTableSlow(now-began >= slowBoundThreshold)
			d.commitTimes.recordEnded(now)
			d.recordCommitted(now - began)
			if d.cell.TakeDelegationChange() {
				d.delegationRequestsDue.Wake()
			}
			d.wakePollers()
			d.mu.Unlock()
			return nil
		case <-time.After(tick.Duration()):
			d.recordStalled(d.committer.Stalled())
		case <-d.ctx.Done():
			return d.ctx.Err()
		}
	}
}

func (d *Driver) recordDecisionTime(took cottonlanding.Millis) {
	overloaded := took > overloadThreshold
	if d.overloaded.Swap(overloaded) != overloaded {
		d.deps.Log.Warn("decisions", "Behind", overloaded, "Took", took)
	}
}

func (d *Driver) recordStalled(stalled bool) {
	if d.stalled.Swap(stalled) == stalled {
		return
	}
	if stalled {
		d.deps.Log.Warn("commits wait for the table")
		return
	}
	d.deps.Log.Info("commits go on")
}

func (d *Driver) sleep(span cottonlanding.Millis) { pauser.Pause(d.ctx, span) }
