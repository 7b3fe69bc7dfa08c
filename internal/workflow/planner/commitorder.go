package planner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// maxCallerWrites bounds the rows that submissions and cancels take first in a plan while other rows wait. The rest of
// a plan takes the rows of about 30 running workflows.
const maxCallerWrites = 60

// commitGroup says what waits for the commit of a job's row. Lower groups go first.
type commitGroup int

const (
	// callerWaits: a caller waits for the answer to a submission or a cancel.
	callerWaits commitGroup = iota
	// overdueChange: the change was omitted from more than maxSkippedPlans plans.
	overdueChange
	// startsWait: a start waits for the commit, or the end of the workflow becomes visible with it.
	startsWait
	// callerBeyondLimit: a caller waits, but those before it take maxCallerWrites.
	callerBeyondLimit
	// nothingWaits: only the acknowledgement of ends waits.
	nothingWaits
)

// dirtyInOrder returns the jobs to commit, first those that go first.
func (c *Cell) dirtyInOrder(plan *Plan) []cottonlanding.WorkflowID {
	if c.policy.CommitsCallersFirst {
		return c.dirtyByWaiting(plan)
	}
	return c.dirtyByAcceptance()
}

// dirtyByAcceptance returns overdue jobs first, and orders by priority, then by acceptance.
func (c *Cell) dirtyByAcceptance() []cottonlanding.WorkflowID {
	ids := slices.Collect(maps.Keys(c.dirty))
	slices.SortFunc(ids, func(a, b cottonlanding.WorkflowID) int {
		x, y := c.dirty[a], c.dirty[b]
		return cmp.Or(
			cmp.Compare(asInt(c.overdue(y)), asInt(c.overdue(x))),
			cmp.Compare(x.queue.Priority, y.queue.Priority),
			cmp.Compare(x.sequence, y.sequence),
		)
	})
	return ids
}

// overdue reports whether the job's change was omitted from more than maxSkippedPlans plans.
func (c *Cell) overdue(j *job) bool { return c.plans-j.dirtySince > maxSkippedPlans }

// pendingCommit is a job to commit with its place in the order.
type pendingCommit struct {
	job   *job
	group commitGroup
}

// dirtyByWaiting orders jobs by what waits for their rows. Callers go in the order of their calls, so that a submission
// is never overtaken by a later one (see CallerWrites). Within the other groups, jobs go by priority and then by the
// age of their oldest uncommitted change: by acceptance, the rows of old workflows, which change again with each
// commit, would delay those of younger ones until they are overdue.
func (c *Cell) dirtyByWaiting(plan *Plan) []cottonlanding.WorkflowID {
	pending := make([]pendingCommit, 0, len(c.dirty))
	for _, j := range c.dirty {
		pending = append(pending, pendingCommit{j, c.commitGroup(j)})
	}
	slices.SortFunc(pending, comparePendingCommits)
	limitGroups(len(plan.Writes), pending)
	slices.SortFunc(pending, comparePendingCommits)
	ids := make([]cottonlanding.WorkflowID, 0, len(pending))
	for _, p := range pending {
		ids = append(ids, p.job.ID)
	}
	return ids
}

func comparePendingCommits(a, b pendingCommit) int {
	byPriority := 0
	if a.group != callerWaits {
		byPriority = cmp.Compare(a.job.queue.Priority, b.job.queue.Priority)
	}
	return cmp.Or(
		cmp.Compare(a.group, b.group),
		byPriority,
		cmp.Compare(a.job.dirtySince, b.job.dirtySince),
		cmp.Compare(a.job.sequence, b.job.sequence),
	)
}

// limitGroups moves callers beyond maxCallerWrites to callerBeyondLimit, and overdue jobs beyond half of the rows that
// callers leave to the group to which they would otherwise belong. Both come first in pending, in this order. Rows that
// became dirty together are overdue together, and would take whole plans in which no start of a higher priority is.
func limitGroups(writes int, pending []pendingCommit) {
	overdueLimit := 0
	for at := range pending {
		p := &pending[at]
		if p.group > overdueChange {
			return
		}
		if p.group == overdueChange && overdueLimit == 0 {
			writes = min(writes, maxCallerWrites)
			overdueLimit = writes + (maxPlanWrites-writes)/2
		}
		writes += p.job.writes()
		switch {
		case p.group == callerWaits && writes > maxCallerWrites:
			p.group = callerBeyondLimit
		case p.group == overdueChange && writes > overdueLimit:
			p.group = groupByState(p.job)
		}
	}
}

// writes returns how many rows a commit of the job writes. Deletions, which write two, are never urgent.
func (j *job) writes() int {
	if j.persisted {
		return 1
	}
	return maxJobWrites
}

func (c *Cell) commitGroup(j *job) commitGroup {
	switch {
	case len(c.callbacks[j.ID]) > 0:
		return callerWaits
	case c.overdue(j):
		return overdueChange
	}
	return groupByState(j)
}

func groupByState(j *job) commitGroup {
	if j.state.Final() && j.committedState != j.state || j.startsWait() {
		return startsWait
	}
	return nothingWaits
}

// startsWait reports whether a start or a delegation of the job waits for the commit of its row.
func (j *job) startsWait() bool {
	for _, r := range j.rounds {
		for _, s := range r.steps {
			if s.ready && slices.ContainsFunc(s.tasks, (*task).startWaits) {
				return true
			}
		}
	}
	return false
}

func (t *task) startWaits() bool {
	if t.run != nil {
		return t.run.phase == planned
	}
	_, delegated := t.delegateCell()
	return delegated && !t.delegationCommitted
}

// CallerWrites returns how many rows of submissions, cancels and referrals wait for the next plan.
func (c *Cell) CallerWrites() int {
	writes := len(c.unplannedReferrals)
	for id := range c.callbacks {
		if j := c.dirty[id]; j != nil {
			writes += j.writes()
		}
	}
	return writes
}

// PlansUntilSubmitted returns how many plans it takes until a workflow that is submitted now is in one, by the rows and
// the bytes of the callers before it.
func (c *Cell) PlansUntilSubmitted() int {
	size := 0
	for id := range c.callbacks {
		if j := c.dirty[id]; j != nil {
			size += len(j.spec) + j.size.bytes()
		}
	}
	rows := c.CallerWrites() + maxJobWrites
	return max((rows+maxCallerWrites-1)/maxCallerWrites, 1+size/maxPlanBytes)
}

// CountRefusedSlowTable counts a submission that was refused because its commit would have come too late.
func (c *Cell) CountRefusedSlowTable() { c.counts.RefusedSlowTable++ }
