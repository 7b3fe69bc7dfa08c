package planner

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cottonlanding/cottonlanding"
)

// A lasting task that waits in a full cell is delegated: the cell that owns its workflow, the delegator, records
// which cell runs the task and starts nothing of it from then on. The delegate cell holds the workflow as a
// delegated one (delegated.go) and runs the task under its own name, with run numbers above all that the delegator
// has used.
//
// The two cells are in different partitions, which no transaction spans, so a task is transferred in steps that
// each write one row. At most one cell may start it at any instant:
//
//   - The delegator's row names the delegate cell. Only a return that the delegate cell has committed changes that.
//   - The delegate cell accepts a task under the run number that the delegator has written, and under none below
//     the number with which it has returned the task before. A late or repeated request of the delegator
//     therefore has no effect.
//   - The delegate cell starts a task only while the delegator has confirmed within confirmationTTL that the
//     workflow is still open. A run that has started needs no confirmation.
//
// Each request of the delegator lists everything that it has delegated to the cell, and each response everything
// that the delegate cell knows of it. Requests are repeated, so lost requests, lost responses and changes of owner
// on both sides need no handling of their own.

const (
	// delegateAfter is how long a task waits before it is delegated: long enough for ending runs to free room, and
	// well below the time within which an interrupted task must run again.
	delegateAfter = handOverAfter
	// returnedCellBackoff is how long a cell is skipped for a task that it has returned.
	returnedCellBackoff = 5 * cottonlanding.Second
	// delegatedPrefix begins the state of a task that another cell runs; the number of that cell follows. Code that
	// predates delegation neither places nor ends such a task, and writes its state back unchanged.
	delegatedPrefix = "L"
)

// DelegatedTask is the state of a task as exchanged between its delegator and its delegate cell.
type DelegatedTask struct {
	Ref cottonlanding.TaskRef
	// Number is that of the last run in the sending cell. The receiving cell starts above it.
	Number cottonlanding.RunNumber
	// Returned, in a response, says that the delegate cell has returned the task for good.
	Returned bool `json:",omitempty"`
	// Running, in a response, says that the task has a run.
	Running bool `json:",omitempty"`
	// Waited, of a returned task, is how long it had waited by then.
	Waited     cottonlanding.Millis      `json:",omitempty"`
	Crashes    cottonlanding.CrashRecord `json:",omitzero"`
	Checkpoint cottonlanding.Checkpoint  `json:",omitempty"`
}

// DelegatedWorkflow is the part of a request that concerns one workflow.
type DelegatedWorkflow struct {
	Workflow cottonlanding.Workflow
	Queue    cottonlanding.Queue
	// Over says that the workflow has ended and its tasks are to be stopped.
	Over  bool `json:",omitempty"`
	Tasks []DelegatedTask
}

// DelegationStamp is an instant on the clock of a delegate cell's owner. The delegator returns it with its next
// request, which bounds the age of that request.
type DelegationStamp struct {
	Epoch cottonlanding.Epoch
	At    cottonlanding.Millis
}

// DelegationRequest is what a delegator sends to a delegate cell.
type DelegationRequest struct {
	Delegator cottonlanding.CellNumber `json:"Keeper"`
	// Last is the stamp of the last response that the delegator's current owner has received.
	Last      DelegationStamp `json:",omitzero"`
	Workflows []DelegatedWorkflow
}

// DelegatedWorkflowReport is what a delegate cell knows of a workflow in a request.
type DelegatedWorkflowReport struct {
	ID cottonlanding.WorkflowID
	// Ended says that the delegate cell has ended its part of the workflow for good.
	Ended bool `json:",omitempty"`
	// Failed is the reason for which the delegate cell has failed the workflow; empty if it hasn't.
	Failed string `json:",omitempty"`
	Tasks  []DelegatedTask
}

// DelegationResponse is what a delegate cell answers to a request.
type DelegationResponse struct {
	Stamp   DelegationStamp
	Reports []DelegatedWorkflowReport
}

// DelegableTask is a task that may be delegated.
type DelegableTask struct {
	Ref     cottonlanding.TaskRef
	Service cottonlanding.ServiceName
	Need    cottonlanding.Resources
	// Avoid lists the cells that have returned the task within returnedCellBackoff.
	Avoid []cottonlanding.CellNumber
}

// Delegation assigns a task to the cell that is to run it.
type Delegation struct {
	Ref cottonlanding.TaskRef
	To  cottonlanding.CellNumber
}

// delegatedState returns the state of a task that another cell runs.
func delegatedState(cell cottonlanding.CellNumber) taskState {
	return taskState(delegatedPrefix + strconv.Itoa(int(cell)))
}

// delegateCell returns the cell to which the task is delegated, if any.
func (t *task) delegateCell() (cottonlanding.CellNumber, bool) {
	digits, found := strings.CutPrefix(string(t.state), delegatedPrefix)
	if !found {
		return 0, false
	}
	number, err := strconv.Atoi(digits)
	return cottonlanding.CellNumber(number), err == nil
}

// setHolderState sets the state of a task without a run when this cell begins or ceases to hold it: taskWaiting if it
// holds the task, taskNotHeld or the result of delegatedState if another cell does.
func (t *task) setHolderState(state taskState) {
	t.job.size.remote += len(state) - len(t.state)
	t.state = state
}

// DelegableTasks returns up to most lasting tasks that wait without room in this cell, those that ran before first.
// Repeated calls go through all of them in turn. home reports whether this cell is the one that a workflow's id names
// (referral.go). Workflows of which nothing was placed are left out in their home cell, where they can be handed over
// whole.
func (c *Cell) DelegableTasks(most int, home func(cottonlanding.WorkflowID) bool, now cottonlanding.Millis) []DelegableTask {
	var interrupted, others []*task
	for _, j := range c.openJobs {
		if !j.hasLasting || !j.placed && home(j.ID) || !c.mayDelegate(j) {
			continue
		}
		j.eachTask(func(t *task) {
			switch {
			case !t.delegable(now):
			case t.number > 0:
				interrupted = append(interrupted, t)
			default:
				others = append(others, t)
			}
		})
	}
	chosen := c.interruptedCursor.nextTasks(interrupted, most)
	chosen = append(chosen, c.delegableCursor.nextTasks(others, most-len(chosen))...)
	var out []DelegableTask
	for _, t := range chosen {
		out = append(out, DelegableTask{Ref: t.ref, Service: t.job.queue.Service, Need: t.stage.Reserved(), Avoid: t.avoidedCells(now)})
	}
	return out
}

// taskCursor iterates over a list of tasks in batches, wrapping around, so that every task gets its turn.
type taskCursor struct{ next int }

// nextTasks returns up to most tasks, beginning after those that it returned last.
func (c *taskCursor) nextTasks(tasks []*task, most int) []*task {
	count := min(len(tasks), most)
	if count == 0 {
		return nil
	}
	first := c.next % len(tasks)
	c.next = first + count
	return slices.Concat(tasks[first:], tasks[:first])[:count]
}

// mayDelegate reports whether tasks of the workflow may be delegated.
func (c *Cell) mayDelegate(j *job) bool {
	if _, known := c.queues.Queues[j.Queue]; !known {
		return false // workflows of a removed queue stay in their cell
	}
	ends := j.state.Final() || j.Schedule.Rounds > 0 || j.isDelegatedHere()
	return !ends && j.persisted && rowFits(j.Workflow, maxLifeBytes)
}

// delegable reports whether the task has waited without room for long enough to be delegated.
func (t *task) delegable(now cottonlanding.Millis) bool {
	single := t.stage.Lasting && !t.stage.Fills && !t.stage.Gang
	return single && t.stage.ready && t.state == taskWaiting && !t.mayHaveStray(now) && now-max(t.waitingSince, t.returnedAt) >= delegateAfter
}

// avoidedCells returns the cells that have returned the task within returnedCellBackoff.
func (t *task) avoidedCells(now cottonlanding.Millis) []cottonlanding.CellNumber {
	var out []cottonlanding.CellNumber
	for cell, at := range t.returnedBy {
		if now-at < returnedCellBackoff {
			out = append(out, cell)
		}
	}
	return out
}

// Delegate assigns a task that DelegableTasks has just returned to another cell.
func (c *Cell) Delegate(ref cottonlanding.TaskRef, to cottonlanding.CellNumber, now cottonlanding.Millis) {
	t := c.jobs[ref.Workflow].task(ref)
	state := delegatedState(to)
	if !t.job.hasRoomForLives(len(state)) {
		c.logRowFull(t, now)
		return
	}
	t.setHolderState(state)
	t.delegationCommitted = false
	c.remote[t.job.ID] = t.job
	c.markDirty(t.job)
	c.reportedAt = 0
	c.counts.Delegated++
	c.log.Info("task delegated", "Task", ref.String(), "Run", t.number, "To", to, "Waited", now-t.waitingSince, "CPU", int64(t.stage.Reserved().CPU))
}

// HasDelegations reports whether other cells may run tasks of this one.
func (c *Cell) HasDelegations() bool { return len(c.remote) > 0 }

// TakeDelegationChange reports whether, since its last call, a delegation was committed or a workflow with delegated
// tasks ended. The delegate cells are to be informed at once.
func (c *Cell) TakeDelegationChange() bool {
	changed := c.delegationChanged
	c.delegationChanged = false
	return changed
}

// Delegations returns what to request of each delegate cell. A delegation, or the end of a workflow, is included only
// once it is committed.
func (c *Cell) Delegations() map[cottonlanding.CellNumber][]DelegatedWorkflow {
	out := make(map[cottonlanding.CellNumber][]DelegatedWorkflow)
	for _, id := range slices.Sorted(maps.Keys(c.remote)) {
		j := c.remote[id]
		if j.state.Final() && !j.committedState.Final() {
			continue
		}
		for cell, tasks := range j.delegatedTasks() {
			out[cell] = append(out[cell], DelegatedWorkflow{Workflow: j.Workflow, Queue: j.queue, Over: j.committedState.Final(), Tasks: tasks})
		}
	}
	return out
}

// delegatedTasks returns the job's tasks whose delegation is committed, by delegate cell.
func (j *job) delegatedTasks() map[cottonlanding.CellNumber][]DelegatedTask {
	out := make(map[cottonlanding.CellNumber][]DelegatedTask)
	j.eachTask(func(t *task) {
		if cell, found := t.delegateCell(); found && t.delegationCommitted {
			out[cell] = append(out[cell], DelegatedTask{Ref: t.ref, Number: t.number, Crashes: t.crashes, Checkpoint: t.checkpoint.text})
		}
	})
	return out
}

// pruneRemote removes the job from Cell.remote if none of its tasks is delegated.
func (c *Cell) pruneRemote(j *job) {
	remote := false
	j.eachTask(func(t *task) {
		_, found := t.delegateCell()
		remote = remote || found
	})
	if !remote {
		delete(c.remote, j.ID)
	}
}

// RecordDelegationResponse applies the response of a delegate cell.
func (c *Cell) RecordDelegationResponse(from cottonlanding.CellNumber, response DelegationResponse, now cottonlanding.Millis) {
	for _, report := range response.Reports {
		j := c.jobs[report.ID]
		if j == nil || j.isDelegatedHere() {
			continue
		}
		if report.Failed != "" && !j.state.Final() {
			c.counts.Failed++
			c.end(j, cottonlanding.WorkflowFailed, report.Failed, now)
		}
		if report.Ended && j.state.Final() {
			c.forgetDelegatedTasks(j, from)
			continue
		}
		for _, reported := range report.Tasks {
			c.recordTaskReport(j, from, reported, now)
		}
	}
}

// forgetDelegatedTasks records that a delegate cell has ended its part of a workflow that is over.
func (c *Cell) forgetDelegatedTasks(j *job, cell cottonlanding.CellNumber) {
	j.eachTask(func(t *task) {
		if at, found := t.delegateCell(); found && at == cell {
			t.setHolderState(taskWaiting)
			c.markDirty(j)
		}
	})
	c.pruneRemote(j)
}

// recordTaskReport applies what a delegate cell reports of one task.
func (c *Cell) recordTaskReport(j *job, from cottonlanding.CellNumber, reported DelegatedTask, now cottonlanding.Millis) {
	t := j.task(reported.Ref)
	if t == nil {
		return
	}
	if at, found := t.delegateCell(); !found || at != from || reported.Number < t.number {
		return // an outdated response
	}
	if reported.Running {
		t.lastRunningAt = now
		c.markStartedRemotely(j)
		c.endDowntimeElsewhere(t, reported.Number, from, now)
	}
	if !reported.Returned || reported.Number == t.number || j.state.Final() {
		return // or the response is about an earlier delegation
	}
	t.setHolderState(taskWaiting)
	t.number, t.crashes = reported.Number, reported.Crashes
	t.adoptCheckpoint(reported, now)
	if t.returnedBy == nil {
		t.returnedBy = make(map[cottonlanding.CellNumber]cottonlanding.Millis)
	}
	t.returnedBy[from], t.returnedAt, t.waitingSince = now, now, now-reported.Waited
	c.beginReturnedDowntime(t, from, now)
	c.markDirty(j)
	c.pruneRemote(j)
	c.log.Info("delegated task returned", "Task", t.ref.String(), "Run", t.number, "From", from, "Waited", now-t.waitingSince)
}

// adoptCheckpoint uses the newest checkpoint of a task that moves from one cell to another.
func (t *task) adoptCheckpoint(reported DelegatedTask, now cottonlanding.Millis) {
	if reported.Checkpoint != "" && t.stage.Checkpoints {
		t.checkpoint = knownCheckpoint{text: cottonlanding.NewCheckpoint(string(reported.Checkpoint)), how: checkpointLoaded, run: reported.Number, at: now}
	}
}

// markStartedRemotely records that a task of the workflow runs in another cell.
func (c *Cell) markStartedRemotely(j *job) {
	j.started = true
	if j.placed {
		return
	}
	j.placed = true
	if j.state == cottonlanding.WorkflowPending {
		j.state = cottonlanding.WorkflowRunning
	}
	c.markDirty(j)
}
