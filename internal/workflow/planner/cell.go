// Package planner decides what runs where for workflows.
//
// A Cell is a deterministic state machine without goroutines, clocks or I/O. Its
// driver tells it what happened and when, asks it for the rows to commit (Plan)
// and for the orders to send (Orders), and reports what became of both. No order
// is given out before the row that allows it is committed, and no worker is told
// to forget an end before what follows from it is committed.
package planner

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// Timing holds the spans that safety rests on.
type Timing struct {
	// Lease is how long a worker goes on without hearing from the owner.
	Lease cottonlanding.Millis
	// MaxLease is the most that a worker takes, whatever it is told.
	MaxLease cottonlanding.Millis
	// CutOffGrace is how long an owner that lost the table keeps renewing leases.
	CutOffGrace cottonlanding.Millis
	// MaxLeasePastOwnership is for how long after its owner surely owns the cell a lease lasts at most; zero is no bound.
	MaxLeasePastOwnership cottonlanding.Millis
	// StopTimeout is how long a worker takes at most to stop a run.
	StopTimeout cottonlanding.Millis
	// Retention is how long a final workflow is kept.
	Retention cottonlanding.Millis
}

// Setup is what a new owner knows.
type Setup struct {
	Partition cottonlanding.Partition
	// Epoch is the owner's, already committed.
	Epoch cottonlanding.Epoch
	// Guard requires in every transaction that no later owner has claimed the cell. The
	// driver sets it.
	Guard cottonlanding.Check
	// BeforeUntil is the instant by which all owners before had stopped to renew leases.
	BeforeUntil cottonlanding.Millis
	// BeforeOwnedUntil is the instant until which the very owner before surely owned the cell at most; zero if
	// that isn't known.
	BeforeOwnedUntil cottonlanding.Millis
	// BoundsKeptSince is the epoch from which on all owners keep to the lease bounds that are written; zero if that
	// isn't known. The driver sets it.
	BoundsKeptSince cottonlanding.Epoch
}

// Cell holds all workflows, their tasks and the workers of one partition.
type Cell struct {
	setup  Setup
	timing Timing
	policy Policy
	log    *slog.Logger
	logs   kindLogs
	queues cottonlanding.Queues
	// silentSince holds the data centres that are silent, and since when.
	silentSince map[cottonlanding.DataCentre]cottonlanding.Millis
	// evacuations tells where nothing new may start.
	evacuations cottonlanding.Evacuations
	// startsHeld says that no start is given out, since what is known is too old.
	startsHeld bool

	jobs     map[cottonlanding.WorkflowID]*job
	openJobs []*job // by acceptance, open ones only
	workers  map[cottonlanding.WorkerID]*worker
	// sorted holds the workers by id; nil when it must be made anew.
	sorted []*worker

	// meanWork is that of the workflows of each queue, in millicore-milliseconds.
	meanWork map[cottonlanding.QueueName]float64

	dirty     map[cottonlanding.WorkflowID]*job
	callbacks map[cottonlanding.WorkflowID][]func(error)
	inFlight  *Plan
	// referrals are the workflows of this home that other cells keep, unwritten those
	// among them that are in no plan yet, with who waits for that.
	referrals          map[cottonlanding.WorkflowID]*referral
	unplannedReferrals map[cottonlanding.WorkflowID][]func(error)
	// remote holds the workflows of which other cells may run tasks.
	remote map[cottonlanding.WorkflowID]*job
	// interruptedCursor and delegableCursor are where Delegables goes on.
	interruptedCursor, delegableCursor taskCursor
	// unheardCursor is where leaveUnheard goes on.
	unheardCursor taskCursor
	// delegationChanged says that something was committed that guest cells are to be told.
	delegationChanged bool
	// report is what was left of the cell at reportedAt, if it had usable workers.
	report     Report
	reportable bool
	reportedAt cottonlanding.Millis
	// plans counts the plans made.
	plans        int64
	interference *interference
	// hasImages says that a workflow here has named images, which disturb each other.
	hasImages bool
	// learntAt is when what was learnt was last written, learntVersion that row's version.
	learntAt      cottonlanding.Millis
	learntVersion cottonlanding.Version
	sequence      int64
	// summaryAt is when the use of the workers was last logged.
	summaryAt cottonlanding.Millis
	// ended holds the lives that have surely ended and whose entries still stand.
	ended map[cottonlanding.WorkerID]endedLife
	// outages lists when workers fell silent lately, apartWorkers those that are kept for
	// runs that run apart.
	outages         []outage
	isolatedWorkers []*worker
	// listRead says that the list of workers was read once.
	listRead bool
	// openLivesByWorker holds the lives that tasks have left openLivesByWorker, by worker.
	openLivesByWorker map[cottonlanding.WorkerID]*openLives
	// bounds are the lease bounds of silent workers that are written down.
	bounds leaseBounds
	// reserved is what is reserved to lasting tasks that have run, as of the last decision.
	reserved reservations
	// superseded says that a worker has seen a newer owner.
	superseded bool
	counts     Counts
	logBatch   logBatch
	downtimes  downtimes
}

// Counts counts a cell's decisions since its owner took it.
type Counts struct {
	Accepted  int64
	Succeeded int64
	Failed    int64
	Cancelled int64
	Starts    int64
	// Ends counts the ends that workers listed, by kind.
	Ends map[cottonlanding.EndKind]int64
	// Lost counts runs whose worker's lease surely lapsed or whose life ended.
	Lost int64
	// FailedByCrashes counts the workflows that were given up because a task crashes its workers.
	FailedByCrashes int64
	// Stuck counts runs that were stopped because they stood still.
	Stuck int64
	// Evicted counts runs that gave way to more urgent ones.
	Evicted int64
	// Referred counts workflows that were referred to another cell.
	Referred int64
	// HandedOver counts workflows that waited and went to another cell.
	HandedOver int64
	// Delegated counts tasks that were delegated to another cell.
	Delegated int64
	// RevokedStarts counts runs that were taken back before their start was answered, because
	// their worker may be given nothing any more.
	RevokedStarts int64
}

// Add adds the counts of another cell.
func (c *Counts) Add(other Counts) {
	c.Accepted += other.Accepted
	c.Succeeded += other.Succeeded
	c.Failed += other.Failed
	c.Cancelled += other.Cancelled
	c.Starts += other.Starts
	c.Lost += other.Lost
	c.FailedByCrashes += other.FailedByCrashes
	c.Stuck += other.Stuck
	c.Evicted += other.Evicted
	c.Referred += other.Referred
	c.HandedOver += other.HandedOver
	c.Delegated += other.Delegated
	c.RevokedStarts += other.RevokedStarts
	if c.Ends == nil {
		c.Ends = make(map[cottonlanding.EndKind]int64)
	}
	for kind, count := range other.Ends {
		c.Ends[kind] += count
	}
}

// New returns a cell without workflows or workers.
func New(setup Setup, timing Timing, policy Policy, log *slog.Logger) *Cell {
	return &Cell{
		setup:              setup,
		timing:             timing,
		policy:             policy,
		log:                log,
		logs:               newKindLogs(log),
		jobs:               make(map[cottonlanding.WorkflowID]*job),
		workers:            make(map[cottonlanding.WorkerID]*worker),
		silentSince:        make(map[cottonlanding.DataCentre]cottonlanding.Millis),
		ended:              make(map[cottonlanding.WorkerID]endedLife),
		meanWork:           make(map[cottonlanding.QueueName]float64),
		dirty:              make(map[cottonlanding.WorkflowID]*job),
		callbacks:          make(map[cottonlanding.WorkflowID][]func(error)),
		remote:             make(map[cottonlanding.WorkflowID]*job),
		referrals:          make(map[cottonlanding.WorkflowID]*referral),
		unplannedReferrals: make(map[cottonlanding.WorkflowID][]func(error)),
		interference:       newPressure(policy.Disturbance),
		openLivesByWorker:  make(map[cottonlanding.WorkerID]*openLives),
		counts:             Counts{Ends: make(map[cottonlanding.EndKind]int64)},
	}
}

// Epoch returns the owner's epoch.
func (c *Cell) Epoch() cottonlanding.Epoch { return c.setup.Epoch }

// Counts returns what was counted so far.
func (c *Cell) Counts() Counts {
	out := c.counts
	out.Ends = maps.Clone(c.counts.Ends)
	return out
}

// SetQueues replaces the operators' queues unless they are known or older than those.
func (c *Cell) SetQueues(queues cottonlanding.Queues) {
	if queues.Version <= c.queues.Version {
		return
	}
	c.queues = queues
	for _, j := range c.jobs {
		if queue, known := queues.Queues[j.Queue]; known {
			j.queue, j.forecast = queue, nil
		}
	}
}

// Abandon answers everyone who waits for a commit with err. The cell must not be
// used after.
func (c *Cell) Abandon(err error) {
	for _, callbacks := range c.callbacks {
		callAll(callbacks, err)
	}
	for _, callbacks := range c.unplannedReferrals {
		callAll(callbacks, err)
	}
	if c.inFlight != nil {
		callAll(c.inFlight.callbacks, err)
	}
	c.callbacks, c.unplannedReferrals, c.inFlight = nil, nil, nil
}

func callAll(callbacks []func(error), err error) {
	for _, reply := range callbacks {
		reply(err)
	}
}

// sortedWorkers returns the workers by id, so that decisions repeat.
func (c *Cell) sortedWorkers() []*worker {
	if c.sorted == nil {
		for _, w := range c.workers {
			c.sorted = append(c.sorted, w)
		}
		slices.SortFunc(c.sorted, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return c.sorted
}
