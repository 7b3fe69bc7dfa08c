// Package scheduler decides what runs where in one cell.
//
// A Cell is a deterministic state machine without goroutines, clocks or I/O: its
// driver tells it what happened and at which instant, asks it for the rows to
// commit (Plan) and for the commands to send to workers (Round), and reports
// what became of both. Nothing that depends on a decision is sent before the
// decision is committed.
package scheduler

import (
	"github.com/cottonlanding/cottonlanding"
)

// Timing holds the spans that safety rests on.
type Timing struct {
	// LeaseTTL is how long a worker goes on after the clock reading that its
	// lease was granted for.
	LeaseTTL cottonlanding.Millis
	// CutOffGrace is how long an owner that lost the table keeps renewing.
	CutOffGrace cottonlanding.Millis
	// Retention is how long final jobs are kept.
	Retention cottonlanding.Millis
}

// driftDivisor bounds clock drift: two clocks differ by at most 1/50 of a span.
const driftDivisor = 50

// drift returns how much longer span may take on another host's clock.
func drift(span cottonlanding.Millis) cottonlanding.Millis { return span/driftDivisor + 1 }

// Setup is what a new owner knows of its cell.
type Setup struct {
	ID cottonlanding.CellID
	// Epoch is the owner's, already committed.
	Epoch cottonlanding.Epoch
	// Guard requires in every transaction that the owner is still the owner.
	Guard cottonlanding.Check
	// HandedOver says that the predecessor had stopped renewing when it
	// released the cell.
	HandedOver bool
	// PredecessorEnded is the instant by which the predecessor's session had
	// ended, or by which the cell was released.
	PredecessorEnded cottonlanding.Millis
}

// Cell is the aggregate of one cell's jobs, tasks and workers.
type Cell struct {
	setup  Setup
	timing Timing
	rules  Rules

	jobs    map[cottonlanding.JobName]*job
	tasks   map[cottonlanding.TaskID]*task
	workers map[cottonlanding.WorkerID]*worker
	queue   map[cottonlanding.TaskID]*task

	dirtyJobs  map[cottonlanding.JobName]*job
	dirtyTasks map[cottonlanding.TaskID]*task
	replies    []reply
	inFlight   *Plan

	// began is when the first decision was asked for.
	began      cottonlanding.Millis
	superseded bool
	counts     Counts
}

// Rules is the part of the configuration that a cell obeys.
type Rules struct {
	Placement cottonlanding.PlacementPolicy
	Eviction  cottonlanding.EvictionPolicy
	Admission cottonlanding.AdmissionPolicy
	Limits    cottonlanding.Limits
	Teams     []cottonlanding.TeamQuota
	// Evacuated lists the data centres in which nothing starts.
	Evacuated []cottonlanding.DataCentre
}

// Counts counts a cell's decisions since its owner took it.
type Counts struct {
	Accepted    int64
	Started     int64
	Finished    int64
	Failures    int64
	Lost        int64
	Evictions   int64
	Cancelled   int64
	Quarantined int64
	// Adopted counts tasks that were found running at takeover.
	Adopted int64
}

// New returns a cell without jobs or workers.
func New(setup Setup, timing Timing, rules Rules) *Cell {
	return &Cell{
		setup:      setup,
		timing:     timing,
		rules:      rules,
		jobs:       make(map[cottonlanding.JobName]*job),
		tasks:      make(map[cottonlanding.TaskID]*task),
		workers:    make(map[cottonlanding.WorkerID]*worker),
		queue:      make(map[cottonlanding.TaskID]*task),
		dirtyJobs:  make(map[cottonlanding.JobName]*job),
		dirtyTasks: make(map[cottonlanding.TaskID]*task),
	}
}

// ID returns the cell's id.
func (c *Cell) ID() cottonlanding.CellID { return c.setup.ID }

// Epoch returns the owner's epoch.
func (c *Cell) Epoch() cottonlanding.Epoch { return c.setup.Epoch }

// Superseded reports whether a worker has seen a newer owner.
func (c *Cell) Superseded() bool { return c.superseded }

// SetRules replaces the rules.
func (c *Cell) SetRules(rules Rules) { c.rules = rules }

// Abandon ends all pending replies with err; the cell must not be used after.
func (c *Cell) Abandon(err error) {
	if c.inFlight != nil {
		finish(c.inFlight.replies, err)
	}
	finish(c.replies, err)
	c.inFlight, c.replies = nil, nil
}

// reply answers whoever asked for a change of a job.
type reply struct {
	job  cottonlanding.JobName
	done func(error)
}

func finish(replies []reply, err error) {
	for _, r := range replies {
		r.done(err)
	}
}

// firstLeaseBound is the latest end of any lease that a predecessor granted.
func (c *Cell) firstLeaseBound() cottonlanding.Millis {
	span := c.timing.LeaseTTL
	if !c.setup.HandedOver {
		span += c.timing.CutOffGrace
	}
	return c.setup.PredecessorEnded + span + drift(span)
}
