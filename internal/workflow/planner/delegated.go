package planner

import (
	"slices"
	"strings"

	"github.com/cottonlanding/cottonlanding"
)

// A delegated workflow is one of which this cell runs single tasks for the cell that owns it, the delegator
// (delegation.go). Its rows have the format of the cell's own workflows under a prefix of their own: they name the
// delegator, and mark the tasks that this cell doesn't hold. Rows, messages and log lines call a delegated workflow
// guest, its delegator keeper.

const (
	// taskNotHeld is the state of a task of a delegated workflow that this cell doesn't hold. Its number is that with
	// which the cell has returned it, zero if the cell never held it.
	taskNotHeld taskState = "E"
	// confirmationTTL is how long tasks of a delegated workflow may be started after the delegator has confirmed that
	// it is open. It is well below the time after which nothing of a cancelled workflow may start any more.
	confirmationTTL = 1500 * cottonlanding.Millis(1)
	// returnAfter is how long a delegated task waits for room before it is returned to its delegator.
	returnAfter = 800 * cottonlanding.Millis(1)
	// confirmationCheckAfter is how long a delegator may send nothing about a delegated workflow before this cell asks
	// whether it is still open: it may have ended while this cell held no task of it.
	confirmationCheckAfter = 30 * cottonlanding.Second
)

// delegatedRowsPrefix begins the names of the rows of delegated workflows.
const delegatedRowsPrefix = "Guests/"

// DelegatedRowsKey returns the prefix of the keys of all rows of delegated workflows.
func DelegatedRowsKey(p cottonlanding.Partition) cottonlanding.Key { return p.Key(delegatedRowsPrefix) }

// rowKeys returns the keys of the rows of a workflow's specification and state.
func (c *Cell) rowKeys(j *job) (spec, state cottonlanding.Key) {
	if j.isDelegatedHere() {
		return c.setup.Partition.Key(delegatedRowsPrefix + specPrefix + string(j.ID)), c.setup.Partition.Key(delegatedRowsPrefix + statePrefix + string(j.ID))
	}
	return SpecKey(c.setup.Partition, j.ID), StateKey(c.setup.Partition, j.ID)
}

// LoadDelegated is Load for delegated workflows, with specification and state rows in one list. It fails as Load does.
func (c *Cell) LoadDelegated(rows []cottonlanding.Row, now cottonlanding.Millis) error {
	specsAt := c.setup.Partition.Key(delegatedRowsPrefix + specPrefix)
	var specs, states []cottonlanding.Row
	for _, row := range rows {
		if strings.HasPrefix(string(row.Key), string(specsAt)) {
			specs = append(specs, row)
			continue
		}
		states = append(states, row)
	}
	return c.Load(specs, states, now)
}

// isDelegatedHere reports whether the workflow belongs to another cell that has delegated tasks to this one.
func (j *job) isDelegatedHere() bool { return j.delegatedBy != nil }

// mayStart reports whether tasks of the workflow may be started. Those of a delegated workflow may only within
// confirmationTTL of the last confirmation.
func (j *job) mayStart(now cottonlanding.Millis) bool {
	return !j.isDelegatedHere() || j.confirmedAt > 0 && now-j.confirmedAt < confirmationTTL
}

// remote reports whether another cell holds the task: it is delegated, or it belongs to a delegated workflow of which
// this cell doesn't hold it.
func (t *task) remote() bool {
	_, found := t.delegateCell()
	return found || t.state == taskNotHeld
}

// endedMessage returns the log message for the end of the workflow.
func (j *job) endedMessage() string {
	if j.isDelegatedHere() {
		return "guest ended"
	}
	return "workflow ended"
}

// HandleDelegationRequest applies a request and returns what this cell knows of each workflow in it.
func (c *Cell) HandleDelegationRequest(request DelegationRequest, now cottonlanding.Millis) DelegationResponse {
	response := DelegationResponse{Stamp: DelegationStamp{Epoch: c.setup.Epoch, At: now}}
	for _, asked := range request.Workflows {
		if asked.Over {
			response.Reports = append(response.Reports, c.endDelegated(asked.Workflow.ID, now))
			continue
		}
		j := c.acceptDelegated(request.Delegator, asked, now)
		if j == nil {
			continue
		}
		if request.Last.Epoch == c.setup.Epoch {
			j.confirmedAt = max(j.confirmedAt, request.Last.At)
		}
		response.Reports = append(response.Reports, c.reportDelegated(j, asked.Tasks, now))
	}
	return response
}

// acceptDelegated accepts the requested tasks that this cell doesn't hold yet. It returns nil for a workflow that it
// can't accept.
func (c *Cell) acceptDelegated(delegator cottonlanding.CellNumber, asked DelegatedWorkflow, now cottonlanding.Millis) *job {
	j := c.jobs[asked.Workflow.ID]
	if j == nil {
		j = c.addDelegated(delegator, asked, now)
	}
	if j == nil || !j.isDelegatedHere() || *j.delegatedBy != delegator {
		c.log.Error("guest not taken", "Workflow", asked.Workflow.ID, "Keeper", delegator)
		return nil
	}
	if j.state.Final() {
		return j
	}
	for _, requested := range asked.Tasks {
		if t := j.task(requested.Ref); t != nil && t.state == taskNotHeld && requested.Number >= t.number {
			c.acceptDelegatedTask(t, requested, now)
		}
	}
	return j
}

// addDelegated adds a workflow for its delegator, without any of its tasks. It returns nil if its specification
// doesn't fit into a row.
func (c *Cell) addDelegated(delegator cottonlanding.CellNumber, asked DelegatedWorkflow, now cottonlanding.Millis) *job {
	queue, known := c.queues.Queues[asked.Workflow.Queue]
	if !known {
		queue = asked.Queue
	}
	spec, err := encodeSpec(asked.Workflow, queue)
	if err != nil {
		return nil
	}
	j := newJob(asked.Workflow, queue, now)
	j.spec, j.delegatedBy, j.placed, j.state = spec, &delegator, true, cottonlanding.WorkflowRunning
	j.eachTask(func(t *task) { t.setHolderState(taskNotHeld) })
	c.addJob(j)
	c.markDirty(j)
	c.log.Info("guest accepted", "Workflow", j.ID, "Keeper", delegator, "Epoch", c.setup.Epoch)
	return j
}

// acceptDelegatedTask accepts a task from its delegator.
func (c *Cell) acceptDelegatedTask(t *task, requested DelegatedTask, now cottonlanding.Millis) {
	t.setHolderState(taskWaiting)
	t.number, t.crashes, t.waitingSince, t.lastRunningAt = requested.Number, requested.Crashes, now, 0
	t.stage.ready = true
	t.adoptCheckpoint(requested, now)
	c.beginDelegatedDowntime(t, now)
	c.markDirty(t.job)
	c.reportedAt = 0
	c.log.Info("guest task accepted", "Task", t.ref.String(), "Run", t.number, "Keeper", t.job.delegatedBy)
}

// reportDelegated returns what is known of the requested tasks of a delegated workflow. The return of a task and the
// failure of the workflow are reported only once they are committed.
func (c *Cell) reportDelegated(j *job, asked []DelegatedTask, now cottonlanding.Millis) DelegatedWorkflowReport {
	report := DelegatedWorkflowReport{ID: j.ID}
	if j.committedState == cottonlanding.WorkflowFailed {
		report.Failed = j.reason
	}
	for _, requested := range asked {
		t := j.task(requested.Ref)
		if t == nil || t.state == taskNotHeld && c.uncommitted(j) {
			continue
		}
		report.Tasks = append(report.Tasks, DelegatedTask{
			Ref:        t.ref,
			Number:     t.number,
			Returned:   t.state == taskNotHeld,
			Running:    t.run != nil && t.run.phase == started,
			Waited:     now - t.waitingSince,
			Crashes:    t.crashes,
			Checkpoint: t.checkpoint.text,
		})
	}
	return report
}

// uncommitted reports whether the job has changes that may be missing from the table.
func (c *Cell) uncommitted(j *job) bool {
	return !j.persisted || c.dirty[j.ID] != nil || c.inFlight != nil && c.inFlight.includes(j.ID)
}

// endDelegated ends this cell's part of a workflow that is over.
func (c *Cell) endDelegated(id cottonlanding.WorkflowID, now cottonlanding.Millis) DelegatedWorkflowReport {
	j := c.jobs[id]
	if j == nil || !j.isDelegatedHere() {
		return DelegatedWorkflowReport{ID: id, Ended: true}
	}
	if !j.state.Final() {
		c.end(j, cottonlanding.WorkflowCancelled, "its workflow has ended", now)
	}
	return DelegatedWorkflowReport{ID: id, Ended: j.committedState.Final()}
}

// returnDelegatedTasks returns the tasks that have waited for room for too long.
func (c *Cell) returnDelegatedTasks(now cottonlanding.Millis) {
	for _, j := range c.openJobs {
		if !j.isDelegatedHere() || !j.mayStart(now) {
			continue // without an active owner the delegator can't take the task back
		}
		j.eachTask(func(t *task) {
			if t.state == taskWaiting && now-t.waitingSince >= returnAfter {
				c.returnDelegatedTask(t, now)
			}
		})
	}
}

// returnDelegatedTask returns a task. Its number rises by one, so that no earlier request can have it accepted again.
func (c *Cell) returnDelegatedTask(t *task, now cottonlanding.Millis) {
	t.setHolderState(taskNotHeld)
	t.number++
	c.markDirty(t.job)
	c.reportedAt = 0
	c.log.Info("guest task returned", "Task", t.ref.String(), "Run", t.number, "Keeper", t.job.delegatedBy, "Waited", now-t.waitingSince)
}

// markDelegatedReady marks the steps of which this cell holds tasks: their delegator has found them ready.
func (r *round) markDelegatedReady() {
	for _, s := range r.steps {
		held := slices.ContainsFunc(s.tasks, func(t *task) bool { return t.state != taskNotHeld })
		s.ready = s.ready || held && s.tasks[0].job.isDelegatedHere()
	}
}

// UnconfirmedDelegated returns up to most delegated workflows about which their delegators have sent nothing for
// confirmationCheckAfter, with these delegators.
func (c *Cell) UnconfirmedDelegated(most int, now cottonlanding.Millis) map[cottonlanding.WorkflowID]cottonlanding.CellNumber {
	out := make(map[cottonlanding.WorkflowID]cottonlanding.CellNumber)
	for _, j := range c.openJobs {
		if len(out) < most && j.isDelegatedHere() && now-max(j.confirmedAt, j.accepted) >= confirmationCheckAfter {
			out[j.ID] = *j.delegatedBy
		}
	}
	return out
}

// ResolveDelegated records whether a delegated workflow is still open according to its delegator.
func (c *Cell) ResolveDelegated(id cottonlanding.WorkflowID, goesOn bool, now cottonlanding.Millis) {
	j := c.jobs[id]
	if j == nil || !j.isDelegatedHere() || j.state.Final() {
		return
	}
	if goesOn {
		j.accepted = now // checked again after confirmationCheckAfter
		return
	}
	c.end(j, cottonlanding.WorkflowCancelled, "its workflow has ended", now)
}
