package planner

import (
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// job is an accepted workflow, or one whose acceptance is being committed.
type job struct {
	cottonlanding.Workflow
	queue cottonlanding.Queue
	state cottonlanding.WorkflowState
	// reason says why the workflow failed.
	reason   string
	accepted cottonlanding.Millis
	ended    cottonlanding.Millis
	// sequence orders jobs by acceptance.
	sequence int64
	rounds   map[int]*round
	// size bounds the length of the job's state row, which may leave out the tasks of the first
	// leftOut rounds: they are finished.
	size    rowSize
	leftOut int
	// forecast is what is left to be done, nil when it must be worked out anew.
	forecast *forecast
	// hasLasting says that a step of the job is lasting, interrupted that a task of such a step
	// was interrupted and has waited for long.
	hasLasting, interrupted bool
	// rank is where the workflow goes among those of its priority.
	rank cottonlanding.Rank
	// placed says that a task of the job has been placed once, so that the job may no longer leave the
	// cell, started that a worker is known to have begun one: a start may be lost, refused or late.
	placed, started bool
	// dataCentre is where tasks of the job that don't last go if there is room.
	dataCentre cottonlanding.DataCentre
	// dirtySince is the number of plans made before the job's first change that is not
	// in a plan yet.
	dirtySince int64
	// persisted says that the job's rows exist, shown is the persisted state.
	persisted      bool
	committedState cottonlanding.WorkflowState
	version        cottonlanding.Version
	// spec is the row that never changes until it is committed, specVersion its version then.
	spec        []byte
	specVersion cottonlanding.Version
	// delegatedBy is the cell that keeps the workflow, if this one only runs tasks for it, confirmedAt when
	// that cell last said for sure that the workflow goes on.
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
	tasks []*task
	done  int
	// ready says that all tasks of the steps before have ended well.
	ready bool
	// load is that of a serving step.
	load baseLoad
	// nextRoomTry is when room may be made for the step again.
	nextRoomTry cottonlanding.Millis
	// loggedAt is when it was last logged why the step waits.
	loggedAt cottonlanding.Millis
}

// taskState is where a task stands.
type taskState string

const (
	taskWaiting  taskState = "" // not yet placed, or to be placed again
	taskAssigned taskState = "A"
	taskDone     taskState = "D"
)

// task is one task with its present run, if there is one.
type task struct {
	ref   cottonlanding.TaskRef
	job   *job
	stage *stage
	state taskState
	// number is that of the last run, zero before the first.
	number   cottonlanding.RunNumber
	failures int
	crashes  cottonlanding.CrashRecord
	// openLife is the last life whose lease ran out under the task and that nobody has heard since.
	openLife cottonlanding.Life
	// checkpoint is the newest text of the task, resumeFrom the one with which its present run is
	// started. Of a gang's tasks only the first has them, for all: see keeper.
	checkpoint knownCheckpoint
	resumeFrom knownCheckpoint
	// life is where the last run was placed.
	life cottonlanding.Life
	run  *run
	// waitingSince is when the task began to wait.
	waitingSince cottonlanding.Millis
	// downtime is set while a lasting task that was placed before isn't known to run.
	downtime *downtime
	// lastRunningAt is when a run of the task was last known to be at work, zero if none was.
	lastRunningAt cottonlanding.Millis
	// abandonedStarts counts the workers that the task has left since, because they didn't tell of its start.
	abandonedStarts int
	// failedOn lists the lives of workers that failed it or on which it stood still.
	failedOn []cottonlanding.Life
	// preemptionUntil is how long the task waits for room that is being made.
	preemptionUntil cottonlanding.Millis
	// delegationCommitted says that the row which names the task's guest cell is committed. returnedBy holds the
	// cells that have returned the task, and when, returnedAt the last of these instants.
	delegationCommitted bool
	returnedBy          map[cottonlanding.CellNumber]cottonlanding.Millis
	returnedAt          cottonlanding.Millis
}

func newJob(workflow cottonlanding.Workflow, queue cottonlanding.Queue, now cottonlanding.Millis) *job {
	j := &job{
		Workflow:   workflow,
		queue:      queue,
		state:      cottonlanding.WorkflowPending,
		accepted:   now,
		rounds:     make(map[int]*round),
		hasLasting: slices.ContainsFunc(workflow.Steps, func(s cottonlanding.Step) bool { return s.Lasting }),
	}
	if workflow.Schedule.Rounds == 0 {
		j.addRound(0, now)
	}
	return j
}

// addRound makes the tasks of one repetition.
func (j *job) addRound(number int, now cottonlanding.Millis) *round {
	r := &round{number: number}
	for index, step := range j.Steps {
		s := &stage{Step: step}
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

// markReady marks the steps whose earlier steps are done.
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

// finished reports whether every round was run to its end.
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

// eachTaskFrom is eachTask for those of a round and of all later ones.
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

// Submit accepts a workflow. done is called once the acceptance is committed or
// can't be. A workflow that was accepted before is accepted again.
func (c *Cell) Submit(workflow cottonlanding.Workflow, now cottonlanding.Millis, done func(error)) {
	if known := c.jobs[workflow.ID]; known != nil {
		if known.isDelegatedHere() {
			done(fmt.Errorf("cell %s keeps workflow %s: %w", known.delegatedBy, workflow.ID, cottonlanding.ErrUnavailable))
			return
		}
		c.whenCommitted(workflow.ID, done)
		return
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
	c.addJob(j)
	c.markDirty(j)
	c.counts.Accepted++
	c.callbacks[j.ID] = append(c.callbacks[j.ID], done)
	c.logs.tasks.Info("workflow accepted", "Workflow", j.ID, "Queue", j.Queue, "Steps", len(j.Steps),
		"Queues", c.queues.Version, "Epoch", c.setup.Epoch)
}

// Knows reports whether a workflow was handed in before, accepted or not yet.
func (c *Cell) Knows(id cottonlanding.WorkflowID) bool { return c.ownJob(id) != nil }

// ownJob returns a workflow that this cell keeps, or nil.
func (c *Cell) ownJob(id cottonlanding.WorkflowID) *job {
	if j := c.jobs[id]; j != nil && !j.isDelegatedHere() {
		return j
	}
	return nil
}

func (c *Cell) addJob(j *job) {
	c.hasImages = c.hasImages || j.namesImages()
	c.sequence++
	c.reportedAt = 0 // it waits for room that others must not count on
	j.sequence = c.sequence
	c.recordWork(j)
	c.jobs[j.ID] = j
	if !j.state.Final() {
		c.openJobs = append(c.openJobs, j)
	}
}

// markDirty marks a job whose state must be committed.
func (c *Cell) markDirty(j *job) {
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

// Cancel cancels a workflow; done is called once that is committed. A final
// workflow stays as it is. ErrNotFound means that there is none.
func (c *Cell) Cancel(id cottonlanding.WorkflowID, now cottonlanding.Millis, done func(error)) {
	if c.HandOverPending(id) {
		done(fmt.Errorf("workflow %s is being handed over: %w", id, cottonlanding.ErrUnavailable))
		return
	}
	j := c.ownJob(id)
	if j == nil {
		done(fmt.Errorf("workflow %s: %w", id, cottonlanding.ErrNotFound))
		return
	}
	if !j.state.Final() {
		c.counts.Cancelled++
		c.end(j, cottonlanding.WorkflowCancelled, "cancelled by its client", now)
	}
	c.whenCommitted(id, done)
}

// State returns the committed state of a workflow, and whether there is one.
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

// Waiting counts the accepted workflows of a queue of which no task has begun, as far as is known: a new owner
// counts also those that have until their workers tell. Guests are counted by their keepers.
func (c *Cell) Waiting(queue cottonlanding.QueueName) int {
	count := 0
	for _, j := range c.openJobs {
		if j.Queue == queue && j.persisted && !j.started && !j.isDelegatedHere() && !j.state.Final() {
			count++
		}
	}
	return count + c.pendingHandOversOf(queue)
}

// end makes a workflow final and stops what it runs.
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

// prune forgets workflows that were final for long enough, and what they have waited for.
func (c *Cell) prune(now cottonlanding.Millis) {
	c.pruneOpenLives(now)
	for _, j := range c.jobs {
		if j.persisted && c.expired(j, now) && c.dirty[j.ID] == nil {
			c.markDirty(j)
		}
	}
}

func (c *Cell) expired(j *job, now cottonlanding.Millis) bool {
	return j.state.Final() && now-j.ended > c.timing.Retention && c.remote[j.ID] == nil
}

// namesImages reports whether a step of the workflow names what its tasks run.
func (j *job) namesImages() bool {
	return slices.ContainsFunc(j.Steps, func(step cottonlanding.Step) bool { return step.Image != "" })
}
