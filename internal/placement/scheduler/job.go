package scheduler

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// job is a job with its tasks, by index.
type job struct {
	cottonlanding.Job
	// version is the job row's.
	version cottonlanding.Version
	// pointer is the version of the row that lists the job in its cell.
	pointer cottonlanding.Version
	tasks   []*task
	open    int
	failed  bool
	// settledAt is when the owner learnt that the job is final.
	settledAt cottonlanding.Millis
	pruned    bool
	// failedOn holds the workers on which tasks failed; succeeded says that a
	// task has finished, so that the job itself is sound.
	failedOn  map[cottonlanding.WorkerID]bool
	succeeded bool
}

// workersToBlame is on how many workers a job that never succeeded must fail for
// the job, not the workers, to be at fault.
const workersToBlame = 2

// atFault reports whether the job fails wherever it runs.
func (j *job) atFault() bool { return !j.succeeded && len(j.failedOn) >= workersToBlame }

// task is a task with what its owner knows beyond the row.
type task struct {
	cottonlanding.Task
	job *job
	// committed is the task as the row has it.
	committed cottonlanding.Task
	version   cottonlanding.Version
	// queued is when the task became ready; notBefore delays it after a failure.
	queued    cottonlanding.Millis
	notBefore cottonlanding.Millis
	// evicting says that a checkpoint was asked for, at evictingSince.
	evicting      bool
	evictingSince cottonlanding.Millis
	// keepUntil protects the task after an eviction that failed or succeeded.
	keepUntil cottonlanding.Millis
	// roomOn is the worker on which others give way to the task.
	roomOn cottonlanding.WorkerID
	// ran is what the worker last reported.
	ran cottonlanding.Millis
}

// closed reports whether the attempt will never be wanted again, as committed.
func (t *task) closed(attempt cottonlanding.Attempt) bool {
	if t.committed.Attempt != attempt {
		return t.committed.Attempt > attempt
	}
	return t.committed.State != cottonlanding.TaskAssigned
}

// desired reports whether the attempt should run on the worker.
func (t *task) desired(worker cottonlanding.WorkerID, attempt cottonlanding.Attempt) bool {
	return t.State == cottonlanding.TaskAssigned && t.Worker == worker && t.Attempt == attempt
}

// startable reports whether the attempt is committed and may be sent.
func (t *task) startable(worker cottonlanding.WorkerID, attempt cottonlanding.Attempt) bool {
	return t.desired(worker, attempt) && t.committed.Attempt == attempt && t.committed.State == cottonlanding.TaskAssigned
}

func (t *task) view(now cottonlanding.Millis) cottonlanding.TaskView {
	spec := t.job.Spec
	return cottonlanding.TaskView{
		ID:        t.ID,
		Team:      spec.Team,
		Kind:      spec.Kind,
		Urgent:    spec.Urgent,
		Resources: spec.Resources,
		Queued:    t.queued,
		Ran:       max(t.ran, 0),
		Evictions: t.Evictions,
	}
}

// Classes of tasks, the most pressing first.
const (
	watchPrecedence = iota
	urgentPrecedence
	batchPrecedence
	precedences
)

// precedence returns the task's class.
func (t *task) precedence() int {
	switch {
	case t.job.Spec.Kind == cottonlanding.Watch:
		return watchPrecedence
	case t.job.Spec.Urgent:
		return urgentPrecedence
	default:
		return batchPrecedence
	}
}

// pressing reports whether batch work gives way to the task.
func (t *task) pressing() bool { return t.precedence() < batchPrecedence }

// evictable reports whether the task may be made to give way.
func (t *task) evictable(now cottonlanding.Millis) bool {
	return t.precedence() == batchPrecedence && !t.evicting && now >= t.keepUntil
}

func (c *Cell) addJob(j *job, now cottonlanding.Millis) {
	c.jobs[j.Spec.Name] = j
	j.failedOn = make(map[cottonlanding.WorkerID]bool)
	j.tasks = make([]*task, j.Spec.Tasks)
	for i := range j.tasks {
		t := &task{job: j, queued: now}
		t.ID = cottonlanding.TaskID{Job: j.Spec.Name, Index: i}
		t.State = cottonlanding.TaskQueued
		t.committed = t.Task
		j.tasks[i] = t
		c.tasks[t.ID] = t
		if !j.State.Final() {
			c.queue[t.ID] = t
			j.open++
		}
	}
}

// requeue closes the present attempt and makes the task ready again.
func (c *Cell) requeue(t *task, now, delay cottonlanding.Millis) {
	t.State = cottonlanding.TaskQueued
	t.Worker, t.WorkerAddress, t.Incarnation = "", "", ""
	t.queued, t.notBefore = now, now+delay
	t.evicting = false
	t.roomOn = ""
	t.ran, t.Outlived = 0, false
	c.queue[t.ID] = t
	c.dirtyTasks[t.ID] = t
}

// settle gives a task its final state.
func (c *Cell) settle(t *task, state cottonlanding.TaskState, now cottonlanding.Millis) {
	if t.State.Final() {
		return
	}
	t.State = state
	t.evicting = false
	delete(c.queue, t.ID)
	c.dirtyTasks[t.ID] = t
	t.job.open--
	if state == cottonlanding.TaskFailed {
		t.job.failed = true
	}
	c.settleJob(t.job, now)
}

// settleJob gives a job its final state once all its tasks have theirs.
func (c *Cell) settleJob(j *job, now cottonlanding.Millis) {
	if j.open > 0 || j.State.Final() {
		return
	}
	j.State = cottonlanding.JobDone
	if j.failed {
		j.State = cottonlanding.JobFailed
	}
	j.settledAt = now
	c.dirtyJobs[j.Spec.Name] = j
}

// failJob stops a job for good and cancels what is left of it.
func (c *Cell) failJob(j *job, reason string, now cottonlanding.Millis) {
	if j.Reason == "" {
		j.Reason = reason
	}
	if !j.State.Final() {
		c.endJob(j, cottonlanding.JobFailed, now)
	}
}

func (c *Cell) endJob(j *job, state cottonlanding.JobState, now cottonlanding.Millis) {
	j.State = state
	j.settledAt = now
	c.dirtyJobs[j.Spec.Name] = j
	for _, t := range j.tasks {
		c.settle(t, cottonlanding.TaskCancelled, now)
	}
}

// prune forgets jobs that have been final for long, one plan at a time.
func (c *Cell) prune(now cottonlanding.Millis) {
	for name, j := range c.jobs {
		idle := c.dirtyJobs[name] == nil && j.State.Final() && !j.pruned
		if idle && now-j.settledAt >= c.timing.Retention {
			j.pruned = true
			c.dirtyJobs[name] = j
		}
	}
}

// sortedJobs returns jobs in order of name.
func sortedJobs(jobs map[cottonlanding.JobName]*job) []*job {
	out := make([]*job, 0, len(jobs))
	for _, j := range jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.Spec.Name, b.Spec.Name) })
	return out
}

func (c *Cell) forget(j *job) {
	delete(c.jobs, j.Spec.Name)
	for _, t := range j.tasks {
		delete(c.tasks, t.ID)
		delete(c.dirtyTasks, t.ID)
		delete(c.queue, t.ID)
	}
}

// sortedTasks returns tasks in order of job and index, so that the same events
// always lead to the same decisions.
func sortedTasks(tasks map[cottonlanding.TaskID]*task) []*task {
	out := make([]*task, 0, len(tasks))
	for _, t := range tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.ID.Job, b.ID.Job), cmp.Compare(a.ID.Index, b.ID.Index))
	})
	return out
}
