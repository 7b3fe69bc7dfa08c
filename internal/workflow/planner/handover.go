package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A workflow of which nothing was ever sent may go to another cell: from its home, when
// that has no room for it while others have. One transaction puts the whole workflow into
// its referral and deletes its other rows; from then on nothing of it is started here. It
// is told to the other cell again and again until that has it; only then callers are sent
// there, and the referral becomes an ordinary one. Until then it counts as pending here.

// handOverAfter is how long a workflow waits before it is handed over: long enough for runs
// that end to make room, and well below the three seconds in which it must begin.
const handOverAfter = 600 * cottonlanding.Millis(1)

// HandOverCandidates returns up to a number of workflows that wait, of which nothing was ever placed.
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
		return false // other cells take no workflow of a queue that was removed
	}
	waits := now-j.accepted >= handOverAfter && !j.placed && !j.state.Final() && j.Schedule.Rounds == 0
	if !waits || !rowFits(j.Workflow, maxLifeBytes) {
		return false // a cell whose workers have longer ids might refuse it
	}
	return j.persisted && c.dirty[j.ID] == nil && (c.inFlight == nil || !c.inFlight.includes(j.ID))
}

// HandOver has another cell keep a workflow that Leavers has returned just now.
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

// PendingHandOvers returns the workflows that other cells have to be told of.
func (c *Cell) PendingHandOvers() map[cottonlanding.CellNumber][]cottonlanding.Workflow {
	out := make(map[cottonlanding.CellNumber][]cottonlanding.Workflow)
	for _, known := range c.referrals {
		if known.pendingWorkflow != nil && known.version > 0 {
			out[known.cell] = append(out[known.cell], *known.pendingWorkflow)
		}
	}
	return out
}

// HandOverAccepted takes in that the other cell has taken a workflow.
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

// HandOverPending reports whether a workflow is on its way to another cell.
func (c *Cell) HandOverPending(id cottonlanding.WorkflowID) bool {
	known := c.referrals[id]
	return known != nil && known.pendingWorkflow != nil
}

// pendingHandOversOf counts the workflows of a queue that other cells have to be told of.
func (c *Cell) pendingHandOversOf(queue cottonlanding.QueueName) int {
	count := 0
	for _, known := range c.referrals {
		if known.pendingWorkflow != nil && known.pendingWorkflow.Queue == queue {
			count++
		}
	}
	return count
}
