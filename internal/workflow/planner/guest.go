package planner

import (
	"slices"
	"strings"

	"github.com/cottonlanding/cottonlanding"
)

// A guest is a workflow of which this cell runs single tasks for the cell that keeps it
// (delegation.go). Its rows are like those of the workflows that the cell keeps, under a prefix of their
// own: they name the keeper, and tasks that this cell doesn't hold are marked as run elsewhere.

const (
	// taskElsewhere is the state of a guest's task that this cell doesn't hold. Its number is that with
	// which the cell has returned it, zero if it never held it.
	taskElsewhere taskState = "E"
	// confirmedFor is how long after the keeper said that a workflow goes on its tasks may be started here:
	// well below the time within which nothing of a cancelled workflow may start any more.
	confirmedFor = 1500 * cottonlanding.Millis(1)
	// returnAfter is how long a guest's task waits for room here before it goes back to its keeper.
	returnAfter = 800 * cottonlanding.Millis(1)
	// forgottenAfter is how long a keeper asks nothing about a guest before it is asked for it: its
	// workflow may have ended while nothing of it was held here.
	forgottenAfter = 30 * cottonlanding.Second
)

// guestPrefix begins the names of guests' rows.
const guestPrefix = "Guests/"

// GuestsKey returns the prefix of the keys of all guests' rows.
func GuestsKey(p cottonlanding.Partition) cottonlanding.Key { return p.Key(guestPrefix) }

// rowKeys returns the keys of the rows of a workflow's specification and state.
func (c *Cell) rowKeys(j *job) (spec, state cottonlanding.Key) {
	if j.isGuest() {
		return c.setup.Partition.Key(guestPrefix + specPrefix + string(j.ID)), c.setup.Partition.Key(guestPrefix + statePrefix + string(j.ID))
	}
	return SpecKey(c.setup.Partition, j.ID), StateKey(c.setup.Partition, j.ID)
}

// LoadGuests is Load for the rows of guests, of both kinds.
func (c *Cell) LoadGuests(rows []cottonlanding.Row, now cottonlanding.Millis) error {
	specsAt := c.setup.Partition.Key(guestPrefix + specPrefix)
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

// isGuest reports whether another cell keeps the workflow.
func (j *job) isGuest() bool { return j.delegatedBy != nil }

// mayStart reports whether tasks of the workflow may be started: always, but those of a guest only
// while its keeper has said so lately.
func (j *job) mayStart(now cottonlanding.Millis) bool {
	return !j.isGuest() || j.confirmedAt > 0 && now-j.confirmedAt < confirmedFor
}

// away reports whether another cell may run the task.
func (t *task) away() bool {
	_, found := t.guestCell()
	return found || t.state == taskElsewhere
}

// endedLine returns the log line of the workflow's end.
func (j *job) endedLine() string {
	if j.isGuest() {
		return "guest ended"
	}
	return "workflow ended"
}

// HoldGuests takes in what a keeper asks, and returns what is known here of each workflow.
func (c *Cell) HoldGuests(question DelegationQuestion, now cottonlanding.Millis) DelegationAnswer {
	answer := DelegationAnswer{Stamp: DelegationStamp{Epoch: c.setup.Epoch, At: now}}
	for _, asked := range question.Workflows {
		if asked.Over {
			answer.Reports = append(answer.Reports, c.endGuest(asked.Workflow.ID, now))
			continue
		}
		j := c.holdGuest(question.Keeper, asked, now)
		if j == nil {
			continue
		}
		if question.Last.Epoch == c.setup.Epoch {
			j.confirmedAt = max(j.confirmedAt, question.Last.At)
		}
		answer.Reports = append(answer.Reports, c.reportGuest(j, asked.Tasks, now))
	}
	return answer
}

// holdGuest takes the tasks that are asked about and aren't held yet. It returns nil for a workflow that
// can't be a guest here.
func (c *Cell) holdGuest(keeper cottonlanding.CellNumber, asked DelegatedWorkflow, now cottonlanding.Millis) *job {
	j := c.jobs[asked.Workflow.ID]
	if j == nil {
		j = c.addGuest(keeper, asked, now)
	}
	if j == nil || !j.isGuest() || *j.delegatedBy != keeper {
		c.log.Error("guest not taken", "Workflow", asked.Workflow.ID, "Keeper", keeper)
		return nil
	}
	if j.state.Final() {
		return j
	}
	for _, told := range asked.Tasks {
		if t := j.task(told.Ref); t != nil && t.state == taskElsewhere && told.Number >= t.number {
			c.takeGuest(t, told, now)
		}
	}
	return j
}

// addGuest begins to hold a workflow for its keeper, without any of its tasks. It returns nil for one that
// can't be kept in a row.
func (c *Cell) addGuest(keeper cottonlanding.CellNumber, asked DelegatedWorkflow, now cottonlanding.Millis) *job {
	queue, known := c.queues.Queues[asked.Workflow.Queue]
	if !known {
		queue = asked.Queue
	}
	spec, err := encodeSpec(asked.Workflow, queue)
	if err != nil {
		return nil
	}
	j := newJob(asked.Workflow, queue, now)
	j.spec, j.delegatedBy, j.placed, j.state = spec, &keeper, true, cottonlanding.WorkflowRunning
	j.eachTask(func(t *task) { t.setAway(taskElsewhere) })
	c.addJob(j)
	c.markDirty(j)
	c.log.Info("guest accepted", "Workflow", j.ID, "Keeper", keeper, "Epoch", c.setup.Epoch)
	return j
}

// takeGuest begins to hold a task for its keeper.
func (c *Cell) takeGuest(t *task, told DelegatedTask, now cottonlanding.Millis) {
	t.setAway(taskWaiting)
	t.number, t.crashes, t.waitingSince, t.lastRunningAt = told.Number, told.Crashes, now, 0
	t.stage.ready = true
	t.takeCheckpoint(told, now)
	c.recordDelegatedDown(t, now)
	c.markDirty(t.job)
	c.reportedAt = 0
	c.log.Info("guest task accepted", "Task", t.ref.String(), "Run", t.number, "Keeper", t.job.delegatedBy)
}

// reportGuest returns what is known of the tasks of a guest. That a task is returned, or that the workflow is
// given up, is told once it is committed.
func (c *Cell) reportGuest(j *job, asked []DelegatedTask, now cottonlanding.Millis) GuestReport {
	report := GuestReport{ID: j.ID}
	if j.committedState == cottonlanding.WorkflowFailed {
		report.Failed = j.reason
	}
	for _, told := range asked {
		t := j.task(told.Ref)
		if t == nil || t.state == taskElsewhere && c.uncommitted(j) {
			continue
		}
		report.Tasks = append(report.Tasks, DelegatedTask{
			Ref:        t.ref,
			Number:     t.number,
			Returned:   t.state == taskElsewhere,
			Running:    t.run != nil && t.run.phase == started,
			Waited:     now - t.waitingSince,
			Crashes:    t.crashes,
			Checkpoint: t.checkpoint.text,
		})
	}
	return report
}

// uncommitted reports whether the job has changes that aren't in the table for sure.
func (c *Cell) uncommitted(j *job) bool {
	return !j.persisted || c.dirty[j.ID] != nil || c.inFlight != nil && c.inFlight.includes(j.ID)
}

// endGuest stops what is held of a workflow that is over.
func (c *Cell) endGuest(id cottonlanding.WorkflowID, now cottonlanding.Millis) GuestReport {
	j := c.jobs[id]
	if j == nil || !j.isGuest() {
		return GuestReport{ID: id, Ended: true}
	}
	if !j.state.Final() {
		c.end(j, cottonlanding.WorkflowCancelled, "its workflow has ended", now)
	}
	return GuestReport{ID: id, Ended: j.committedState.Final()}
}

// returnGuests gives tasks back for which there is no room here either.
func (c *Cell) returnGuests(now cottonlanding.Millis) {
	for _, j := range c.openJobs {
		if !j.isGuest() || !j.mayStart(now) {
			continue // its keeper may have nobody who could take a task back
		}
		j.eachTask(func(t *task) {
			if t.state == taskWaiting && now-t.waitingSince >= returnAfter {
				c.returnGuest(t, now)
			}
		})
	}
}

// returnGuest gives a task back. Its number rises by one, so that no older question has it taken again.
func (c *Cell) returnGuest(t *task, now cottonlanding.Millis) {
	t.setAway(taskElsewhere)
	t.number++
	c.markDirty(t.job)
	c.reportedAt = 0
	c.log.Info("guest task returned", "Task", t.ref.String(), "Run", t.number, "Keeper", t.job.delegatedBy, "Waited", now-t.waitingSince)
}

// unlockGuests marks the steps of which this cell holds tasks: their keeper has found them ready.
func (r *round) unlockGuests() {
	for _, s := range r.steps {
		held := slices.ContainsFunc(s.tasks, func(t *task) bool { return t.state != taskElsewhere })
		s.ready = s.ready || held && s.tasks[0].job.isGuest()
	}
}

// ForgottenGuests returns up to a number of guests about which their keepers have long asked nothing, with
// these keepers.
func (c *Cell) ForgottenGuests(most int, now cottonlanding.Millis) map[cottonlanding.WorkflowID]cottonlanding.CellNumber {
	out := make(map[cottonlanding.WorkflowID]cottonlanding.CellNumber)
	for _, j := range c.openJobs {
		if len(out) < most && j.isGuest() && now-max(j.confirmedAt, j.accepted) >= forgottenAfter {
			out[j.ID] = *j.delegatedBy
		}
	}
	return out
}

// SettleGuest takes in whether the workflow of a guest goes on, by its keeper.
func (c *Cell) SettleGuest(id cottonlanding.WorkflowID, goesOn bool, now cottonlanding.Millis) {
	j := c.jobs[id]
	if j == nil || !j.isGuest() || j.state.Final() {
		return
	}
	if goesOn {
		j.accepted = now // asked again after as long
		return
	}
	c.end(j, cottonlanding.WorkflowCancelled, "its workflow has ended", now)
}
