package planner

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cottonlanding/cottonlanding"
)

// A lasting task that waits in a full cell is delegated: the cell that keeps its workflow, the
// keeper, writes down which cell runs the task, and starts nothing of it from then on. The other
// cell holds it as a guest (guest.go) and runs it under the task's own name, with run numbers above
// all that the keeper has used.
//
// The two cells are in different partitions, which no transaction spans, so that a task passes over
// in steps that each write one row. At most one cell may start it at any instant:
//
//   - The keeper's row names the guest cell. Only a return that the guest cell has committed
//     changes that.
//   - The guest cell takes a task under the run number that the keeper has written, and none below
//     the number with which it has returned the task before. A late or repeated question of
//     the keeper therefore changes nothing.
//   - The guest cell starts a task only while the keeper has confirmed within confirmedFor that the
//     workflow goes on. A run that goes on needs no confirmation.
//
// The keeper asks each guest cell again and again with all that it has delegated there, and the
// answer says all that the guest cell knows of it. So lost questions, lost answers and changes of
// owner on both sides need no steps of their own.

const (
	// delegateAfter is how long a task waits before it is delegated: long enough for runs that end to make
	// room, and well below the time within which an interrupted task must run again.
	delegateAfter = handOverAfter
	// returnedCellBackoff is how long a cell is passed over for a task that it has returned.
	returnedCellBackoff = 5 * cottonlanding.Second
	// delegatedPrefix begins the state of a task that another cell runs; the number of that cell follows.
	// Code that doesn't know of delegation neither places nor ends such a task, and writes its state back.
	delegatedPrefix = "L"
)

// DelegatedTask is a task as its keeper and its guest cell tell each other of it.
type DelegatedTask struct {
	Ref cottonlanding.TaskRef
	// Number is that of the last run in the cell that tells. The other one starts above it.
	Number cottonlanding.RunNumber
	// Returned, in an answer, says that the guest cell has given the task back for good.
	Returned bool `json:",omitempty"`
	// Running, in an answer, says that the task has a run.
	Running bool `json:",omitempty"`
	// Waited, of a task that was returned, is how long it had waited by then.
	Waited     cottonlanding.Millis      `json:",omitempty"`
	Crashes    cottonlanding.CrashRecord `json:",omitzero"`
	Checkpoint cottonlanding.Checkpoint  `json:",omitempty"`
}

// DelegatedWorkflow is what a keeper asks of the tasks of one workflow.
type DelegatedWorkflow struct {
	Workflow cottonlanding.Workflow
	Queue    cottonlanding.Queue
	// Over says that the workflow has ended: its tasks are to be stopped.
	Over  bool `json:",omitempty"`
	Tasks []DelegatedTask
}

// DelegationStamp is an instant of a guest cell's owner. The keeper sends it back with its next
// question, which shows how old that can be at most.
type DelegationStamp struct {
	Epoch cottonlanding.Epoch
	At    cottonlanding.Millis
}

// DelegationRequest is what a keeper asks a guest cell.
type DelegationRequest struct {
	Delegator cottonlanding.CellNumber `json:"Keeper"`
	// Last is the stamp of the last answer that this keeper's owner got.
	Last      DelegationStamp `json:",omitzero"`
	Workflows []DelegatedWorkflow
}

// DelegatedWorkflowReport is what a guest cell knows of a workflow that was asked about.
type DelegatedWorkflowReport struct {
	ID cottonlanding.WorkflowID
	// Ended says that the guest cell has ended what it held of the workflow, for good.
	Ended bool `json:",omitempty"`
	// Failed is why the guest cell has given the workflow up; empty if it hasn't.
	Failed string `json:",omitempty"`
	Tasks  []DelegatedTask
}

// DelegationResponse is what a guest cell answers.
type DelegationResponse struct {
	Stamp   DelegationStamp
	Reports []DelegatedWorkflowReport
}

// DelegableTask is a task that may be delegated.
type DelegableTask struct {
	Ref     cottonlanding.TaskRef
	Service cottonlanding.ServiceName
	Need    cottonlanding.Resources
	// Avoid lists the cells that have returned the task lately.
	Avoid []cottonlanding.CellNumber
}

// Delegation says which cell is to run a task.
type Delegation struct {
	Ref cottonlanding.TaskRef
	To  cottonlanding.CellNumber
}

// delegatedState returns the state of a task that another cell runs.
func delegatedState(cell cottonlanding.CellNumber) taskState {
	return taskState(delegatedPrefix + strconv.Itoa(int(cell)))
}

// delegateCell returns the cell that runs the task, if that isn't this one.
func (t *task) delegateCell() (cottonlanding.CellNumber, bool) {
	digits, found := strings.CutPrefix(string(t.state), delegatedPrefix)
	if !found {
		return 0, false
	}
	number, err := strconv.Atoi(digits)
	return cottonlanding.CellNumber(number), err == nil
}

// setRemote changes the state of a task without a run to or from one that isn't run here.
func (t *task) setRemote(state taskState) {
	t.job.size.remote += len(state) - len(t.state)
	t.state = state
}

// DelegableTasks returns up to a number of lasting tasks that wait without room here, those that had a run first; if there
// are more, others the next time. Workflows of which nothing was placed are left out where they can be handed over whole.
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

// taskCursor goes through tasks some at a time, so that each has its turn.
type taskCursor struct{ next int }

// nextTasks returns up to a number of tasks, beginning after those that it returned last.
func (r *taskCursor) nextTasks(tasks []*task, most int) []*task {
	count := min(len(tasks), most)
	if count == 0 {
		return nil
	}
	first := r.next % len(tasks)
	r.next = first + count
	return slices.Concat(tasks[first:], tasks[:first])[:count]
}

// mayDelegate reports whether tasks of the workflow may go to other cells.
func (c *Cell) mayDelegate(j *job) bool {
	if _, known := c.queues.Queues[j.Queue]; !known {
		return false // it is to run down
	}
	ends := j.state.Final() || j.Schedule.Rounds > 0 || j.isDelegatedHere()
	return !ends && j.persisted && rowFits(j.Workflow, maxLifeBytes)
}

// delegable reports whether the task waits without room for long enough.
func (t *task) delegable(now cottonlanding.Millis) bool {
	single := t.stage.Lasting && !t.stage.Fills && !t.stage.Gang
	return single && t.stage.ready && t.state == taskWaiting && now-max(t.waitingSince, t.returnedAt) >= delegateAfter
}

// avoidedCells returns the cells that have returned the task lately.
func (t *task) avoidedCells(now cottonlanding.Millis) []cottonlanding.CellNumber {
	var out []cottonlanding.CellNumber
	for cell, at := range t.returnedBy {
		if now-at < returnedCellBackoff {
			out = append(out, cell)
		}
	}
	return out
}

// Delegate has another cell run a task that Delegables has returned just now.
func (c *Cell) Delegate(ref cottonlanding.TaskRef, to cottonlanding.CellNumber, now cottonlanding.Millis) {
	t := c.jobs[ref.Workflow].task(ref)
	state := delegatedState(to)
	if !t.job.hasRoomForLives(len(state)) {
		c.logRowFull(t, now)
		return
	}
	t.setRemote(state)
	t.delegationCommitted = false
	c.remote[t.job.ID] = t.job
	c.markDirty(t.job)
	c.reportedAt = 0
	c.counts.Delegated++
	c.log.Info("task delegated", "Task", ref.String(), "Run", t.number, "To", to, "Waited", now-t.waitingSince, "CPU", int64(t.stage.Reserved().CPU))
}

// HasDelegations reports whether other cells may run tasks of this one.
func (c *Cell) HasDelegations() bool { return len(c.remote) > 0 }

// TakeDelegationChange reports whether a delegation, or the end of a workflow with such, was committed since it was last called:
// what guest cells are to be told at once.
func (c *Cell) TakeDelegationChange() bool {
	changed := c.delegationChanged
	c.delegationChanged = false
	return changed
}

// Delegations returns what to ask each cell that runs tasks of this one. Neither a delegation nor
// the end of a workflow is told before it is committed.
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

// delegatedTasks returns the job's tasks that other cells may run.
func (j *job) delegatedTasks() map[cottonlanding.CellNumber][]DelegatedTask {
	out := make(map[cottonlanding.CellNumber][]DelegatedTask)
	j.eachTask(func(t *task) {
		if cell, found := t.delegateCell(); found && t.delegationCommitted {
			out[cell] = append(out[cell], DelegatedTask{Ref: t.ref, Number: t.number, Crashes: t.crashes, Checkpoint: t.checkpoint.text})
		}
	})
	return out
}

// pruneRemote forgets that tasks of the job are in other cells once none is.
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

// RecordDelegationResponse takes in what a guest cell has answered.
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

// forgetDelegatedTasks notes that a cell has ended what it held of a workflow that is over.
func (c *Cell) forgetDelegatedTasks(j *job, cell cottonlanding.CellNumber) {
	j.eachTask(func(t *task) {
		if at, found := t.delegateCell(); found && at == cell {
			t.setRemote(taskWaiting)
			c.markDirty(j)
		}
	})
	c.pruneRemote(j)
}

// recordTaskReport takes in what a guest cell knows of a task.
func (c *Cell) recordTaskReport(j *job, from cottonlanding.CellNumber, reported DelegatedTask, now cottonlanding.Millis) {
	t := j.task(reported.Ref)
	if t == nil {
		return
	}
	if at, found := t.delegateCell(); !found || at != from || reported.Number < t.number {
		return // an answer that was overtaken
	}
	if reported.Running {
		t.lastRunningAt = now
		c.markStartedRemotely(j)
		c.recordRunsElsewhere(t, reported.Number, from, now)
	}
	if !reported.Returned || reported.Number == t.number || j.state.Final() {
		return // or the answer is about an earlier delegation
	}
	t.setRemote(taskWaiting)
	t.number, t.crashes = reported.Number, reported.Crashes
	t.adoptCheckpoint(reported, now)
	if t.returnedBy == nil {
		t.returnedBy = make(map[cottonlanding.CellNumber]cottonlanding.Millis)
	}
	t.returnedBy[from], t.returnedAt, t.waitingSince = now, now, now-reported.Waited
	c.recordReturned(t, from, now)
	c.markDirty(j)
	c.pruneRemote(j)
	c.log.Info("delegated task returned", "Task", t.ref.String(), "Run", t.number, "From", from, "Waited", now-t.waitingSince)
}

// adoptCheckpoint takes over the newest text of a task that passes from one cell to another.
func (t *task) adoptCheckpoint(reported DelegatedTask, now cottonlanding.Millis) {
	if reported.Checkpoint != "" && t.stage.Checkpoints {
		t.checkpoint = knownCheckpoint{text: cottonlanding.NewCheckpoint(string(reported.Checkpoint)), how: checkpointLoaded, run: reported.Number, at: now}
	}
}

// markStartedRemotely notes that a task of the workflow runs in another cell.
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
