package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A workflow that has placed no task may move to another cell when its home has no room for it and others have. One
// transaction stores the whole workflow in its referral and deletes its other rows; from then on this cell starts
// nothing of it. The other cell is sent the workflow repeatedly until it has accepted it. Only then are callers
// referred there, and the referral becomes an ordinary one. Until then the workflow counts as pending here.

// handOverAfter is how long a workflow waits before it is handed over: long enough for ending runs to free room, and
// well below the three seconds in which it must begin.
const handOverAfter = 600 * cottonlanding.Millis(1)

// HandOverCandidates returns up to most waiting workflows that have placed no task.
func (c *Cell) HandOverCandidates(most int, now cottonlanding.Millis) []cottonlanding.Workflow {
	var out []cottonlanding.Workflow
	for _, j := range c.openJobs {
		if len(out) < most && c.mayHandOver(j, now) {
			out = append(out, j.Workflow)
		}
	}
	return out
}

func (c *Cell) mayHandOver(j *job, now cottonlanding.Millis) bool {
	if _, known := c.queues.Queues[j.Queue]; !known {
		return false // other cells accept no workflow of a removed queue
	}
	waits := now-j.accepted >= handOverAfter && !j.placed && !j.state.Final() && j.Schedule.Rounds == 0
	if !waits || !rowFits(j.Workflow, maxLifeBytes) {
		return false // a cell whose workers have longer ids might refuse the row
	}
	return j.persisted && c.dirty[j.ID] == nil && (c.inFlight == nil || !c.inFlight.includes(j.ID))
}

// HandOver moves a workflow that HandOverCandidates has just returned to another cell.
func (c *Cell) HandOver(id cottonlanding.WorkflowID, to cottonlanding.CellNumber, now cottonlanding.Millis) {
	j := c.jobs[id]
	delete(c.jobs, id)
	c.openJobs = slices.DeleteFunc(c.openJobs, func(other *job) bool { return other == j })
	c.referrals[id] = &referral{cell: to, knownSince: now, pendingWorkflow: &j.Workflow, deleteRows: true}
	c.unplannedReferrals[id] = []func(error){}
	c.reportedAt = 0
	c.counts.HandedOver++
	c.log.Info("workflow handed over", "Workflow", id, "To", to, "Waited", now-j.accepted, "Epoch", c.setup.Epoch)
}

// PendingHandOvers returns the workflows that have yet to be accepted by other cells.
func (c *Cell) PendingHandOvers() map[cottonlanding.CellNumber][]cottonlanding.Workflow {
	out := make(map[cottonlanding.CellNumber][]cottonlanding.Workflow)
	for _, known := range c.referrals {
		if known.pendingWorkflow != nil && known.version > 0 {
			out[known.cell] = append(out[known.cell], *known.pendingWorkflow)
		}
	}
	return out
}

// HandOverAccepted records that the other cell has accepted a workflow.
func (c *Cell) HandOverAccepted(id cottonlanding.WorkflowID, now cottonlanding.Millis) {
	known := c.referrals[id]
	if known == nil || known.pendingWorkflow == nil {
		return
	}
	known.pendingWorkflow, known.knownSince = nil, now
	if c.unplannedReferrals[id] == nil {
		c.unplannedReferrals[id] = []func(error){}
	}
}

// HandOverPending reports whether a workflow has yet to be accepted by another cell.
func (c *Cell) HandOverPending(id cottonlanding.WorkflowID) bool {
	known := c.referrals[id]
	return known != nil && known.pendingWorkflow != nil
}

// pendingHandOversOf counts the workflows of a queue that have yet to be accepted by other cells.
func (c *Cell) pendingHandOversOf(queue cottonlanding.QueueName) int {
	count := 0
	for _, known := range c.referrals {
		if known.pendingWorkflow != nil && known.pendingWorkflow.Queue == queue {
			count++
		}
	}
	return count
}
