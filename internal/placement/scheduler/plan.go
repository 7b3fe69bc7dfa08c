package scheduler

import (
	"encoding/json"
	"fmt"

	"github.com/cottonlanding/cottonlanding"
)

// Keys of a cell's rows.
const (
	jobPrefix  cottonlanding.Key = "Jobs/"
	cellPrefix cottonlanding.Key = "Cells/"
)

// JobKey returns the key of a job's row. Its existence makes the job's name
// taken in the whole deployment.
func JobKey(name cottonlanding.JobName) cottonlanding.Key {
	return jobPrefix + cottonlanding.Key(name)
}

// JobListPrefix returns the prefix of the rows that list a cell's jobs.
func JobListPrefix(cell cottonlanding.CellID) cottonlanding.Key {
	return cellPrefix + cottonlanding.Key(cell) + "/Jobs/"
}

// TaskPrefix returns the prefix of a cell's task rows.
func TaskPrefix(cell cottonlanding.CellID) cottonlanding.Key {
	return cellPrefix + cottonlanding.Key(cell) + "/Tasks/"
}

// JobTaskPrefix returns the prefix of the task rows of one job.
func JobTaskPrefix(cell cottonlanding.CellID, name cottonlanding.JobName) cottonlanding.Key {
	return TaskPrefix(cell) + cottonlanding.Key(name) + "/"
}

func taskKey(cell cottonlanding.CellID, id cottonlanding.TaskID) cottonlanding.Key {
	return JobTaskPrefix(cell, id.Job) + cottonlanding.Key(fmt.Sprintf("%06d", id.Index))
}

// Plan is a set of decisions to be committed as a whole.
type Plan struct {
	Checks []cottonlanding.Check
	Writes []cottonlanding.Write

	jobs    []*job
	tasks   []plannedTask
	replies []reply
}

// plannedTask is a task with the state that the plan writes.
type plannedTask struct {
	task  *task
	state cottonlanding.Task
}

func (p *Plan) includes(name cottonlanding.JobName) bool {
	for _, j := range p.jobs {
		if j.Spec.Name == name {
			return true
		}
	}
	return false
}

// Plan returns the decisions that wait to be committed, or nil if there are none
// or if a plan is being committed already. The caller ends it with Committed,
// or with Abandon if it can't be committed because the cell was taken over.
func (c *Cell) Plan() *Plan {
	if c.inFlight != nil || len(c.dirtyJobs)+len(c.dirtyTasks) == 0 {
		return nil
	}
	plan := &Plan{Checks: []cottonlanding.Check{c.setup.Guard}, replies: c.replies}
	c.replies = nil
	for _, j := range sortedJobs(c.dirtyJobs) {
		c.planJob(plan, j)
	}
	for _, t := range sortedTasks(c.dirtyTasks) {
		if !t.job.pruned {
			c.planTask(plan, t)
		}
	}
	clear(c.dirtyJobs)
	clear(c.dirtyTasks)
	c.inFlight = plan
	return plan
}

func (c *Cell) planJob(plan *Plan, j *job) {
	plan.jobs = append(plan.jobs, j)
	list := JobListPrefix(c.setup.ID) + cottonlanding.Key(j.Spec.Name)
	if j.pruned {
		plan.Writes = append(plan.Writes,
			cottonlanding.Write{Key: JobKey(j.Spec.Name), Expect: j.version, Delete: true},
			cottonlanding.Write{Key: list, Expect: j.pointer, Delete: true})
		plan.Writes = append(plan.Writes, c.taskDeletes(j)...)
		return
	}
	plan.Writes = append(plan.Writes, cottonlanding.Write{Key: JobKey(j.Spec.Name), Expect: j.version, Value: encode(j.Job)})
	if j.pointer == 0 {
		plan.Writes = append(plan.Writes, cottonlanding.Write{Key: list})
	}
}

func (c *Cell) taskDeletes(j *job) []cottonlanding.Write {
	var out []cottonlanding.Write
	for _, t := range j.tasks {
		if t.version != 0 {
			out = append(out, cottonlanding.Write{Key: taskKey(c.setup.ID, t.ID), Expect: t.version, Delete: true})
		}
	}
	return out
}

func (c *Cell) planTask(plan *Plan, t *task) {
	if t.version == 0 && t.State == cottonlanding.TaskCancelled {
		t.committed = t.Task // implied by the job's row
		return
	}
	plan.tasks = append(plan.tasks, plannedTask{task: t, state: t.Task})
	plan.Writes = append(plan.Writes, cottonlanding.Write{
		Key: taskKey(c.setup.ID, t.ID), Expect: t.version, Value: encode(t.Task),
	})
}

// Committed takes in that the plan took effect with the receipt's version.
func (c *Cell) Committed(plan *Plan, receipt cottonlanding.Receipt) {
	c.inFlight = nil
	for _, j := range plan.jobs {
		if j.pruned {
			c.forget(j)
			continue
		}
		j.version = receipt.Version
		if j.pointer == 0 {
			j.pointer = receipt.Version
		}
	}
	for _, planned := range plan.tasks {
		planned.task.version = receipt.Version
		planned.task.committed = planned.state
	}
	finish(plan.replies, nil)
}

// NewJobs returns the names that the plan takes for the first time.
func (p *Plan) NewJobs() []cottonlanding.JobName {
	var out []cottonlanding.JobName
	for _, j := range p.jobs {
		if j.version == 0 {
			out = append(out, j.Spec.Name)
		}
	}
	return out
}

// Rejected takes back a plan that could not be committed because the names in
// taken belong to jobs of other cells. All else in it is planned again.
func (c *Cell) Rejected(plan *Plan, taken map[cottonlanding.JobName]bool) {
	c.inFlight = nil
	for _, j := range plan.jobs {
		if taken[j.Spec.Name] {
			delete(c.dirtyJobs, j.Spec.Name)
			c.forget(j)
			continue
		}
		c.dirtyJobs[j.Spec.Name] = j
	}
	for _, planned := range plan.tasks {
		if !taken[planned.task.ID.Job] {
			c.dirtyTasks[planned.task.ID] = planned.task
		}
	}
	var kept []reply
	for _, r := range append(plan.replies, c.replies...) {
		if taken[r.job] {
			r.done(fmt.Errorf("job %s was accepted elsewhere: %w", r.job, cottonlanding.ErrConflict))
			continue
		}
		kept = append(kept, r)
	}
	c.replies = kept
}

// encode returns the JSON of a type that can always be encoded.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", value, err))
	}
	return data
}
