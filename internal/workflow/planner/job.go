package planner

import (
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/estimator"
	"github.com/cottonlanding/cottonlanding/internal/workflow/forecaster"
)

// job is an accepted workflow, or one whose acceptance is being committed.
type job struct {
	cottonlanding.Workflow
	queue cottonlanding.Queue
	state cottonlanding.WorkflowState
	// reason says why the workflow failed or was cancelled.
	reason   string
	accepted cottonlanding.Millis
	ended    cottonlanding.Millis
	// sequence numbers the jobs in the order of acceptance.
	sequence int64
	rounds   map[int]*round
	// size is an upper bound of the length of the job's state row. The row omits the tasks of the first leftOut rounds,
	// which are finished.
	size    rowSize
	leftOut int
	// forecast is the estimate of the remaining work; nil when it must be recomputed.
	forecast *forecast
	// runTimes are the learnt run times of the cell; nil if the estimates of clients are used as they are.
	runTimes *estimator.Estimator
	// hasLasting says that a step of the job is lasting; interrupted says that a task of such a step was interrupted
	// and has waited for long.
	hasLasting, interrupted bool
	// fills says that a step of the job is filling.
	fills bool
	// assignedWork is the work of the job's assigned tasks when that was last measured: see measureWork.
	assignedWork float64
	// rank orders the job among those of the same priority.
	rank cottonlanding.Rank
	// placed says that a task of the job has been placed at least once, after which the job may no longer leave the
	// cell. started says that a worker is known to have begun one: a start may be lost, refused or late.
	placed, started bool
	// dataCentre is the preferred data centre of the job's tasks that aren't lasting.
	dataCentre cottonlanding.DataCentre
	// dirtySince is the value of Cell.plans at the first change of the job that is in no plan yet.
	dirtySince int64
	// lastPlan is the value of Cell.plans of the last plan with the job.
	lastPlan int64
	// persisted says that the job's rows exist; committedState is the state in its committed row.
	persisted      bool
	committedState cottonlanding.WorkflowState
	version        cottonlanding.Version
	// spec is the job's immutable row until it is committed, specVersion is the version of that row afterwards.
	spec        []byte
	specVersion cottonlanding.Version
	// delegatedBy is the cell that delegated tasks of the workflow to this one; nil for a workflow of this cell.
	// confirmedAt is when that cell last confirmed that the workflow is still running.
	delegatedBy *cottonlanding.CellNumber
	confirmedAt cottonlanding.Millis
}

// round is one repetition of a job's steps.
type round struct {
	number int
	steps  []*stage
}

// stage is a step of one round.
type stage struct {
	cottonlanding.Step
	job   *job
	tasks []*task
	done  int
	// ready says that all tasks of the earlier steps have succeeded.
	ready bool
	// ended summarizes the measured run times of the tasks that have ended; lastMeasuredBegan is when the last of their
	// runs began.
	ended             estimator.Ended
	lastMeasuredBegan cottonlanding.Millis
	// estimated is the cached estimate of the step's run time, estimatedFrom what it was computed from.
	estimated     *estimator.Estimate
	estimatedFrom estimateBasis
	// load forecasts the base load of a serving step; nil until that was first measured.
	load *forecaster.Series
	// nextRoomTry is the earliest time at which the planner may try again to preempt runs for the step.
	nextRoomTry cottonlanding.Millis
	// loggedAt is when the reason for which the step waits was last logged.
	loggedAt cottonlanding.Millis
}

// taskState is the state of a task as stored in its row.
type taskState string

const (
	taskWaiting  taskState = "" // not placed, or to be placed again
	taskAssigned taskState = "A"
	taskDone     taskState = "D"
)

// task is a task and its current run, if it has one.
type task struct {
	ref   cottonlanding.TaskRef
	job   *job
	stage *stage
	state taskState
	// startsAfter is when the task may start again: until then a start of an earlier run may be carried out late.
	startsAfter cottonlanding.Millis
	// strays counts the runs of the task that workers list and no task asks for: it waits until they have ended.
	strays int
	// number is the number of the last run; zero before the first.
	number   cottonlanding.RunNumber
	failures int
	crashes  cottonlanding.CrashRecord
	// openLife is the last life whose lease expired under the task and that hasn't been heard from since.
	openLife cottonlanding.Life
	// checkpoint is the newest checkpoint of the task, resumeFrom the one with which its current run is started. In a
	// gang only the first task has them, for all members: see checkpointHolder.
	checkpoint knownCheckpoint
	resumeFrom knownCheckpoint
	// life is the life on which the last run was placed.
	life cottonlanding.Life
	run  *run
	// waitingSince is when the task began to wait.
	waitingSince cottonlanding.Millis
	// downtimeLog is set while a lasting task that was placed before isn't known to be running.
	downtimeLog *downtimeLog
	// lastRunningAt is when a run of the task was last known to be running; zero if none was.
	lastRunningAt cottonlanding.Millis
	// abandonedStarts counts the workers from which the task was moved since lastRunningAt because they didn't confirm
	// its start.
	abandonedStarts int
	// failedOn lists the lives on which the task failed or made no progress.
	failedOn []cottonlanding.Life
	// preemptionUntil is until when the task waits for room that preemption is freeing.
	preemptionUntil cottonlanding.Millis
	// delegationCommitted says that the row which names the task's delegate cell is committed. returnedBy holds the
	// cells that have returned the task, and when; returnedAt is the latest of these times.
	delegationCommitted bool
	returnedBy          map[cottonlanding.CellNumber]cottonlanding.Millis
	returnedAt          cottonlanding.Millis
	// creditedPercent is the progress of the task that is counted as completed work.
	creditedPercent int
}

func newJob(workflow cottonlanding.Workflow, queue cottonlanding.Queue, now cottonlanding.Millis) *job {
	workflow = workflow.Bounded()
	j := &job{
		Workflow:   workflow,
		queue:      queue.Bounded(),
		state:      cottonlanding.WorkflowPending,
		accepted:   now,
		rounds:     make(map[int]*round),
		hasLasting: slices.ContainsFunc(workflow.Steps, func(s cottonlanding.Step) bool { return s.Lasting }),
		fills:      slices.ContainsFunc(workflow.Steps, func(s cottonlanding.Step) bool { return s.Fills }),
	}
	if workflow.Schedule.Rounds == 0 {
		j.addRound(0, now)
	}
	return j
}

// addRound creates the tasks of one repetition.
func (j *job) addRound(number int, now cottonlanding.Millis) *round {
	r := &round{number: number}
	for index, step := range j.Steps {
		s := &stage{Step: step, job: j}
		for at := range step.Tasks {
			ref := cottonlanding.TaskRef{Workflow: j.ID, Round: number, Step: index, Index: at}
			s.tasks = append(s.tasks, &task{ref: ref, job: j, stage: s, waitingSince: now})
		}
		r.steps = append(r.steps, s)
	}
	j.rounds[number] = r
	j.size.undone += tasksPerRound(j.Workflow)
	j.forecast = nil
	r.markReady(now)
	return r
}

// markReady marks the steps whose earlier steps are all done as ready.
func (r *round) markReady(now cottonlanding.Millis) {
	for _, s := range r.steps {
		if s.ready {
			continue
		}
		s.ready = !slices.ContainsFunc(s.After, func(earlier int) bool { return !r.steps[earlier].finished() })
		if !s.ready {
			continue
		}
		for _, t := range s.tasks {
			t.waitingSince = now
		}
	}
}

func (s *stage) finished() bool { return s.done == len(s.tasks) }

func (r *round) finished() bool {
	return !slices.ContainsFunc(r.steps, func(s *stage) bool { return !s.finished() })
}

// finished reports whether all rounds are finished.
func (j *job) finished() bool {
	if len(j.rounds) < max(1, j.Schedule.Rounds) {
		return false
	}
	for _, r := range j.rounds {
		if !r.finished() {
			return false
		}
	}
	return true
}

// eachTask calls visit for every task in order.
func (j *job) eachTask(visit func(*task)) { j.eachTaskFrom(0, visit) }

// eachTaskFrom calls visit for every task of round first and of all later rounds in order.
func (j *job) eachTaskFrom(first int, visit func(*task)) {
	for number := first; number < len(j.rounds); number++ {
		for _, s := range j.rounds[number].steps {
			for _, t := range s.tasks {
				visit(t)
			}
		}
	}
}

// anyRun reports whether a task of the job has a run.
func (j *job) anyRun() bool {
	found := false
	j.eachTask(func(t *task) { found = found || t.run != nil })
	return found
}

func (j *job) task(ref cottonlanding.TaskRef) *task {
	r := j.rounds[ref.Round]
	if r == nil || ref.Step >= len(r.steps) || ref.Index >= len(r.steps[ref.Step].tasks) {
		return nil
	}
	return r.steps[ref.Step].tasks[ref.Index]
}

// Submit accepts a workflow. done is called once the acceptance is committed or has failed. Submitting an accepted
// workflow again is not an error. The error has a retry time if the workflow is rejected because of overload.
func (c *Cell) Submit(workflow cottonlanding.Workflow, now cottonlanding.Millis, done func(error)) {
	c.submit(workflow, false, now, done)
}

// SubmitHandedOver accepts a workflow that its home cell had accepted and then handed over to this cell. It isn't
// rejected because of overload.
func (c *Cell) SubmitHandedOver(workflow cottonlanding.Workflow, now cottonlanding.Millis, done func(error)) {
	c.submit(workflow, true, now, done)
}

func (c *Cell) submit(workflow cottonlanding.Workflow, handedOver bool, now cottonlanding.Millis, done func(error)) {
	if known := c.jobs[workflow.ID]; known != nil {
		if known.isDelegatedHere() {
			done(fmt.Errorf("cell %s keeps workflow %s: %w", known.delegatedBy, workflow.ID, cottonlanding.ErrUnavailable))
			return
		}
		c.whenCommitted(workflow.ID, done)
		return
	}
	if !handedOver {
		if err := c.refuseWithdrawn(workflow.ID); err != nil {
			done(err)
			return
		}
	}
	queue, known := c.queues.Queues[workflow.Queue]
	if !known {
		done(fmt.Errorf("queue %s: %w", workflow.Queue, cottonlanding.ErrNotFound))
		return
	}
	if err := workflow.Check(); err != nil {
		done(err)
		return
	}
	spec, err := encodeSpec(workflow, queue)
	if err != nil {
		done(err)
		return
	}
	if err := c.checkRowFits(workflow, queue); err != nil {
		done(err)
		return
	}
	j := newJob(workflow, queue, now)
	j.spec = spec
	if !handedOver {
		if err := c.admit(j, now); err != nil {
			done(err)
			return
		}
	}
	c.addJob(j)
	c.recordArrival(j, now)
	c.markDirty(j)
	c.counts.Accepted++
	c.callbacks[j.ID] = append(c.callbacks[j.ID], done)
	c.logs.tasks.Info("workflow accepted", "Workflow", j.ID, "Queue", j.Queue, "Steps", len(j.Steps),
		"Queues", c.queues.Version, "Epoch", c.setup.Epoch)
}

// Knows reports whether the workflow was submitted before, whether or not its acceptance is committed.
func (c *Cell) Knows(id cottonlanding.WorkflowID) bool { return c.ownJob(id) != nil }

// ownJob returns the workflow if it belongs to this cell, nil if it is unknown or delegated by another cell.
func (c *Cell) ownJob(id cottonlanding.WorkflowID) *job {
	if j := c.jobs[id]; j != nil && !j.isDelegatedHere() {
		return j
	}
	return nil
}

func (c *Cell) addJob(j *job) {
	c.hasImages = c.hasImages || j.namesImages()
	c.sequence++
	c.reportedAt = 0 // recompute the report: other cells must not count on room that the job needs
	j.sequence = c.sequence
	j.runTimes = c.runTimes
	c.recordWork(j)
	c.jobs[j.ID] = j
	if !j.state.Final() {
		c.openJobs = append(c.openJobs, j)
	}
}

// markDirty marks a job whose state must be committed.
func (c *Cell) markDirty(j *job) {
	if c.recordingEnd {
		c.changedByEnd = append(c.changedByEnd, j)
	}
	if c.dirty[j.ID] == nil {
		c.dirty[j.ID], j.dirtySince = j, c.plans
	}
}

// whenCommitted calls done once the last change of the workflow is committed.
func (c *Cell) whenCommitted(id cottonlanding.WorkflowID, done func(error)) {
	switch {
	case c.dirty[id] != nil:
		c.callbacks[id] = append(c.callbacks[id], done)
	case c.inFlight != nil && c.inFlight.includes(id):
		c.inFlight.callbacks = append(c.inFlight.callbacks, done)
	default:
		done(nil)
	}
}

// Cancel cancels a workflow and calls done once that is committed. A final workflow keeps its state. done gets
// ErrNotFound if there is no such workflow; none is accepted under its id from then on. It gets ErrBusy with a retry time
// if too many unknown workflows were cancelled.
func (c *Cell) Cancel(id cottonlanding.WorkflowID, now cottonlanding.Millis, done func(error)) {
	if c.HandOverPending(id) {
		done(fmt.Errorf("workflow %s is being handed over: %w", id, cottonlanding.ErrUnavailable))
		return
	}
	j := c.ownJob(id)
	if j == nil {
		c.withdraw(id, now, done)
		return
	}
	if !j.state.Final() {
		c.counts.Cancelled++
		c.end(j, cottonlanding.WorkflowCancelled, "cancelled by its client", now)
	}
	c.whenCommitted(id, done)
}

// State returns the committed state of a workflow, and whether the workflow exists.
func (c *Cell) State(id cottonlanding.WorkflowID) (cottonlanding.WorkflowState, bool) {
	if c.HandOverPending(id) {
		return cottonlanding.WorkflowPending, true
	}
	j := c.ownJob(id)
	if j == nil || !j.persisted {
		return "", false
	}
	return j.committedState, true
}

// Waiting counts the accepted workflows of a queue of which no task is known to have begun. A new owner also counts
// those that have begun until their workers report it. Delegated workflows are counted by their delegators.
func (c *Cell) Waiting(queue cottonlanding.QueueName) int {
	count := 0
	for _, j := range c.openJobs {
		if j.Queue == queue && j.persisted && !j.started && !j.isDelegatedHere() && !j.state.Final() {
			count++
		}
	}
	return count + c.pendingHandOversOf(queue)
}

// end makes a workflow final and stops its runs.
func (c *Cell) end(j *job, state cottonlanding.WorkflowState, reason string, now cottonlanding.Millis) {
	j.state, j.reason, j.ended = state, reason, now
	j.eachTask(func(t *task) {
		if t.run != nil {
			c.stop(t.run, "the workflow ended", now)
		}
	})
	c.openJobs = slices.DeleteFunc(c.openJobs, func(other *job) bool { return other == j })
	c.markDirty(j)
	c.logs.forEnd(state).Info(j.endedMessage(), "Workflow", j.ID, "State", state, "Reason", reason, "After", now-j.accepted)
}

// prune removes workflows that have been final and withdrawals that have been kept for longer than Retention, and open
// lives that are no longer needed.
func (c *Cell) prune(now cottonlanding.Millis) {
	c.pruneOpenLives(now)
	c.expireWithdrawals(now)
	for _, j := range c.jobs {
		if j.persisted && c.expired(j, now) && c.dirty[j.ID] == nil {
			c.markDirty(j)
		}
	}
}

func (c *Cell) expired(j *job, now cottonlanding.Millis) bool {
	return j.state.Final() && now-j.ended > c.timing.Retention && c.remote[j.ID] == nil
}

// namesImages reports whether a step of the workflow names an image.
func (j *job) namesImages() bool {
	return slices.ContainsFunc(j.Steps, func(step cottonlanding.Step) bool { return step.Image != "" })
}
