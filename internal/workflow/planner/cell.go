// Package planner decides which task runs on which worker.
//
// A Cell is a deterministic state machine without goroutines, clocks or I/O. Its driver reports events and their times
// to it, asks it for the rows to commit (Plan) and for the orders to send (Orders), and reports the outcome of both. No
// order is issued before the row that allows it is committed, and no worker is told to forget the end of a run before
// its consequences are committed.
package planner

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/estimator"
)

// Timing holds the durations on which safety depends.
type Timing struct {
	// Lease is how long a worker keeps its runs without hearing from the owner.
	Lease cottonlanding.Millis
	// MaxLease is the longest lease that a worker accepts, whatever it is granted.
	MaxLease cottonlanding.Millis
	// MaxCallDelay is how long after it was sent a call without an answer may still be carried out.
	MaxCallDelay cottonlanding.Millis
	// CutOffGrace is how long an owner that lost its connection to the table keeps renewing leases.
	CutOffGrace cottonlanding.Millis
	// MaxLeasePastAnswer is how long leases may last after the last answer of a worker with lasting tasks that has no
	// stored lease bound; zero is no limit.
	MaxLeasePastAnswer cottonlanding.Millis
	// StopTimeout is the longest that a worker takes to stop a run.
	StopTimeout cottonlanding.Millis
	// Retention is how long a final workflow is kept.
	Retention cottonlanding.Millis
}

// Setup is the state with which a new owner begins.
type Setup struct {
	Partition cottonlanding.Partition
	// Epoch is the owner's epoch, which is already committed, and FirstEpoch the first that it may use for its calls;
	// zero is Epoch. All epochs of earlier owners are below FirstEpoch.
	Epoch, FirstEpoch cottonlanding.Epoch
	// Guard is the check in every transaction that no later owner has claimed the cell. The driver sets it.
	Guard cottonlanding.Check
	// BeforeUntil is the time by which all earlier owners had stopped renewing leases.
	BeforeUntil cottonlanding.Millis
	// EarlierLeasesEnd is the latest time set with SetLeasesEnd for any earlier owner; zero if unknown.
	EarlierLeasesEnd cottonlanding.Millis
	// BoundsKeptSince is the first epoch from which all owners keep to the stored lease bounds; zero if unknown. The
	// driver sets it.
	BoundsKeptSince cottonlanding.Epoch
	// AdoptionsKeptSince is the same for the adopted leases in that row.
	AdoptionsKeptSince cottonlanding.Epoch
}

// earlierOwnersKeptAdoptions reports whether the rows of earlier owners say which lives may have adopted leases, and which
// starts were answered.
func (s Setup) earlierOwnersKeptAdoptions() bool {
	return s.AdoptionsKeptSince > 0 && s.AdoptionsKeptSince < s.FirstEpoch
}

// Cell holds the workflows, their tasks and the workers of one partition. It is not safe for concurrent use.
type Cell struct {
	setup  Setup
	timing Timing
	policy Policy
	log    *slog.Logger
	logs   kindLogs
	queues cottonlanding.Queues
	// silentSince holds the data centres that give no answers, and since when.
	silentSince map[cottonlanding.DataCentre]cottonlanding.Millis
	// evacuations says where nothing new may start.
	evacuations cottonlanding.Evacuations
	// startsSuspended says that no starts are issued because the information at hand is too old.
	startsSuspended bool

	jobs     map[cottonlanding.WorkflowID]*job
	openJobs []*job // in the order of acceptance
	workers  map[cottonlanding.WorkerID]*worker
	// sorted holds the workers ordered by id; nil when it must be rebuilt.
	sorted []*worker

	// meanWork is the mean work of the workflows of each queue, in millicore-milliseconds.
	meanWork map[cottonlanding.QueueName]float64

	dirty     map[cottonlanding.WorkflowID]*job
	callbacks map[cottonlanding.WorkflowID][]func(error)
	// changedByEnd lists the jobs that are marked dirty while recordingEnd is set.
	changedByEnd []*job
	recordingEnd bool
	inFlight     *Plan
	// referrals are the workflows of this home cell that other cells run. unplannedReferrals are those of them that are
	// in no plan yet, with the callbacks that wait for their commit. A non-nil entry, even an empty one, means that the
	// referral must be written.
	referrals          map[cottonlanding.WorkflowID]*referral
	unplannedReferrals map[cottonlanding.WorkflowID][]func(error)
	// withdrawals are the ids that were cancelled while no workflow had them. unplannedWithdrawals are those of them that
	// are in no plan yet, as unplannedReferrals.
	withdrawals          map[cottonlanding.WorkflowID]*withdrawal
	unplannedWithdrawals map[cottonlanding.WorkflowID][]func(error)
	// remote holds the workflows of which tasks are delegated to other cells.
	remote map[cottonlanding.WorkflowID]*job
	// interruptedCursor and delegableCursor are where the next call of DelegableTasks resumes.
	interruptedCursor, delegableCursor taskCursor
	// overdueStartsCursor is where the next call of abandonOverdueStarts resumes.
	overdueStartsCursor taskCursor
	// delegationChanged says that something was committed that must be reported to delegate cells.
	delegationChanged bool
	// report is the capacity left in the cell at reportedAt; reportable says that the cell had usable workers then.
	report     Report
	reportable bool
	reportedAt cottonlanding.Millis
	// nextFillingPass is the earliest time of the next search for workers for filling steps.
	nextFillingPass cottonlanding.Millis
	// plans counts the plans made.
	plans        int64
	interference *interference
	// hasImages says that a workflow of the cell names images, whose tasks can disturb each other.
	hasImages bool
	// learntAt is when the learnt interference of images was last written, learntVersion is the version of that row.
	learntAt      cottonlanding.Millis
	learntVersion cottonlanding.Version
	// runTimes holds the learnt run times, nil if the estimates of clients are used as they are. runTimesChanged says
	// that they have changed since they were last planned to be written, at runTimesAt; runTimesVersion is the version
	// of their row.
	runTimes        *estimator.Estimator
	runTimesChanged bool
	runTimesAt      cottonlanding.Millis
	runTimesVersion cottonlanding.Version
	sequence        int64
	// summaryAt is when the use of the workers was last logged, summaryCounts the counts at that time.
	summaryAt     cottonlanding.Millis
	summaryCounts Counts
	// ended holds the lives that are known to have ended and whose entries are still listed.
	ended map[cottonlanding.WorkerID]endedLife
	// outages lists recent times at which workers fell silent, isolatedWorkers are the workers reserved for isolated
	// runs.
	outages         []outage
	isolatedWorkers []*worker
	// listRead says that the list of workers has been read at least once.
	listRead bool
	// openLivesByWorker holds, for each worker, the lives of which it isn't known whether they ended under a task.
	openLivesByWorker map[cottonlanding.WorkerID]*openLives
	// bounds are the stored lease bounds of silent workers.
	bounds leaseBounds
	// reserved is the capacity reserved for interrupted lasting tasks as of the last decision.
	reserved reservations
	// shortReserves holds what lasting tasks leave to the short tasks of each service and priority, if the policy says
	// so.
	shortReserves []*shortReserve
	// forgotten holds the lives of workers that were forgotten, so that a next life is known as such.
	forgotten map[cottonlanding.WorkerID]forgottenLife
	// delayingWorkers is when an order without an answer was last found that may have been delayed, by worker.
	// delayedUntil is until when calls count as delayed.
	delayingWorkers map[cottonlanding.WorkerID]cottonlanding.Millis
	delayedUntil    cottonlanding.Millis
	// superseded says that a worker has seen a newer owner, or that no epoch is left.
	superseded   bool
	counts       Counts
	logBatch     logBatch
	downtimeLogs downtimeLogs
	overload     overload
}

// Counts counts the decisions in a cell since its owner took it over.
type Counts struct {
	Accepted int64
	// Rejected counts submissions that were rejected because of overload.
	Rejected  int64
	Succeeded int64
	Failed    int64
	Cancelled int64
	Starts    int64
	// Ends counts the ends that workers listed, by kind.
	Ends map[cottonlanding.EndKind]int64
	// Lost counts runs whose worker's lease has expired or whose life has ended.
	Lost int64
	// FailedByCrashes counts workflows that failed because one of their tasks crashes its workers.
	FailedByCrashes int64
	// Stuck counts runs that were stopped because they made no progress.
	Stuck int64
	// Preempted counts runs that were stopped to make room for more urgent ones.
	Preempted int64
	// Referred counts workflows that were referred to another cell.
	Referred int64
	// HandedOver counts waiting workflows that were handed over to another cell.
	HandedOver int64
	// Delegated counts tasks that were delegated to another cell.
	Delegated int64
	// RunTimesMeasured counts the runs from which run times were learnt.
	RunTimesMeasured int64
	// RevokedStarts counts runs that were revoked before their start was answered, because their worker may receive no
	// new runs.
	RevokedStarts int64
	// SeasonsFound and SeasonsLost count how often a period that the loads of serving steps share was found, and how
	// often one that was known no longer described them.
	SeasonsFound int64
	SeasonsLost  int64
	// RefusedSlowTable counts submissions that were refused because their commit would have come too late.
	RefusedSlowTable int64
	// Withdrawn counts cancels of unknown workflows that were recorded, RefusedWithdrawals those that were refused
	// because too many are recorded, RefusedAsWithdrawn submissions of such workflows.
	Withdrawn          int64
	RefusedWithdrawals int64
	RefusedAsWithdrawn int64
	// Samples counts the samples of serving tasks, SamplesOverTarget those over the latency target, and
	// SamplesOverTargetBesideHeavy those of the latter that were taken while a filling task of a heavy pair worked.
	Samples                      int64
	SamplesOverTarget            int64
	SamplesOverTargetBesideHeavy int64
}

// Add adds the counts of another cell to c.
func (c *Counts) Add(other Counts) {
	c.Accepted += other.Accepted
	c.Rejected += other.Rejected
	c.Succeeded += other.Succeeded
	c.Failed += other.Failed
	c.Cancelled += other.Cancelled
	c.Starts += other.Starts
	c.Lost += other.Lost
	c.FailedByCrashes += other.FailedByCrashes
	c.Stuck += other.Stuck
	c.Preempted += other.Preempted
	c.Referred += other.Referred
	c.HandedOver += other.HandedOver
	c.Delegated += other.Delegated
	c.RunTimesMeasured += other.RunTimesMeasured
	c.RevokedStarts += other.RevokedStarts
	c.SeasonsFound += other.SeasonsFound
	c.SeasonsLost += other.SeasonsLost
	c.RefusedSlowTable += other.RefusedSlowTable
	c.Withdrawn += other.Withdrawn
	c.RefusedWithdrawals += other.RefusedWithdrawals
	c.RefusedAsWithdrawn += other.RefusedAsWithdrawn
	c.Samples += other.Samples
	c.SamplesOverTarget += other.SamplesOverTarget
	c.SamplesOverTargetBesideHeavy += other.SamplesOverTargetBesideHeavy
	if c.Ends == nil {
		c.Ends = make(map[cottonlanding.EndKind]int64)
	}
	for kind, count := range other.Ends {
		c.Ends[kind] += count
	}
}

// New returns a cell without workflows or workers.
func New(setup Setup, timing Timing, policy Policy, log *slog.Logger) *Cell {
	c := &Cell{
		setup:              setup,
		timing:             timing,
		policy:             policy,
		log:                log,
		logs:               newKindLogs(log),
		jobs:               make(map[cottonlanding.WorkflowID]*job),
		workers:            make(map[cottonlanding.WorkerID]*worker),
		silentSince:        make(map[cottonlanding.DataCentre]cottonlanding.Millis),
		ended:              make(map[cottonlanding.WorkerID]endedLife),
		forgotten:          make(map[cottonlanding.WorkerID]forgottenLife),
		delayingWorkers:    make(map[cottonlanding.WorkerID]cottonlanding.Millis),
		meanWork:           make(map[cottonlanding.QueueName]float64),
		dirty:              make(map[cottonlanding.WorkflowID]*job),
		callbacks:          make(map[cottonlanding.WorkflowID][]func(error)),
		remote:             make(map[cottonlanding.WorkflowID]*job),
		referrals:          make(map[cottonlanding.WorkflowID]*referral),
		unplannedReferrals: make(map[cottonlanding.WorkflowID][]func(error)),

		withdrawals:          make(map[cottonlanding.WorkflowID]*withdrawal),
		unplannedWithdrawals: make(map[cottonlanding.WorkflowID][]func(error)),

		interference:      newInterference(policy),
		openLivesByWorker: make(map[cottonlanding.WorkerID]*openLives),
		overload:          newOverload(),
		counts:            Counts{Ends: make(map[cottonlanding.EndKind]int64)},
	}
	c.bounds.adoptionsUnknown = c.setup.FirstEpoch > 1 && !c.setup.earlierOwnersKeptAdoptions()
	if c.setup.FirstEpoch == 0 {
		c.setup.FirstEpoch = c.setup.Epoch
	}
	if policy.LearnsRunTimes {
		c.runTimes = estimator.New()
	}
	return c
}

// Epoch returns the owner's epoch.
func (c *Cell) Epoch() cottonlanding.Epoch { return c.setup.Epoch }

// Counts returns a copy of the counts so far.
func (c *Cell) Counts() Counts {
	out := c.counts
	out.Ends = maps.Clone(c.counts.Ends)
	return out
}

// SetQueues replaces the operators' queues if the given version is newer.
func (c *Cell) SetQueues(queues cottonlanding.Queues) {
	if queues.Version <= c.queues.Version {
		return
	}
	c.queues = queues
	for _, j := range c.jobs {
		if queue, known := queues.Queues[j.Queue]; known {
			j.queue, j.forecast = queue.Bounded(), nil
		}
	}
}

// Abandon calls every callback that waits for a commit with err. The cell must not be used afterwards.
func (c *Cell) Abandon(err error) {
	for _, callbacks := range c.callbacks {
		callAll(callbacks, err)
	}
	for _, callbacks := range c.unplannedReferrals {
		callAll(callbacks, err)
	}
	for _, callbacks := range c.unplannedWithdrawals {
		callAll(callbacks, err)
	}
	if c.inFlight != nil {
		callAll(c.inFlight.callbacks, err)
	}
	c.callbacks, c.unplannedReferrals, c.unplannedWithdrawals, c.inFlight = nil, nil, nil, nil
}

func callAll(callbacks []func(error), err error) {
	for _, reply := range callbacks {
		reply(err)
	}
}

// sortedWorkers returns the workers ordered by id, which keeps decisions deterministic.
func (c *Cell) sortedWorkers() []*worker {
	if c.sorted == nil {
		for _, w := range c.workers {
			c.sorted = append(c.sorted, w)
		}
		slices.SortFunc(c.sorted, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return c.sorted
}
