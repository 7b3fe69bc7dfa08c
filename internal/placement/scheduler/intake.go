package scheduler

import (
	"fmt"
	"reflect"

	"github.com/cottonlanding/cottonlanding"
)

// Submit accepts a job; done is called once the acceptance is committed, or
// with the error that prevented it. A job that was accepted before is accepted
// again if it is the same, and is ErrConflict if it differs.
func (c *Cell) Submit(spec cottonlanding.JobSpec, now cottonlanding.Millis, done func(error)) {
	if known := c.jobs[spec.Name]; known != nil {
		c.resubmit(known, spec, done)
		return
	}
	if err := c.admissible(spec); err != nil {
		done(err)
		return
	}
	j := &job{Job: cottonlanding.Job{Spec: spec, Cell: c.setup.ID, State: cottonlanding.JobAccepted}}
	c.addJob(j, now)
	c.dirtyJobs[spec.Name] = j
	c.counts.Accepted++
	c.replies = append(c.replies, reply{spec.Name, done})
}

func (c *Cell) resubmit(known *job, spec cottonlanding.JobSpec, done func(error)) {
	if !reflect.DeepEqual(known.Spec, spec) {
		done(fmt.Errorf("job %s exists and differs: %w", spec.Name, cottonlanding.ErrConflict))
		return
	}
	c.whenCommitted(spec.Name, done)
}

// whenCommitted calls done once the job's last change is committed.
func (c *Cell) whenCommitted(name cottonlanding.JobName, done func(error)) {
	switch {
	case c.dirtyJobs[name] != nil:
		c.replies = append(c.replies, reply{name, done})
	case c.inFlight != nil && c.inFlight.includes(name):
		c.inFlight.replies = append(c.inFlight.replies, reply{name, done})
	default:
		done(nil)
	}
}

// admissible returns ErrCannotRun for a job that no worker could ever run, and
// ErrUnavailable while the cell knows no worker.
func (c *Cell) admissible(spec cottonlanding.JobSpec) error {
	listed := 0
	for _, w := range c.workers {
		if !w.listed {
			continue
		}
		listed++
		if spec.Resources.Fits(w.info.Capacity) {
			return c.withinQuota(spec)
		}
	}
	if listed == 0 {
		return fmt.Errorf("cell %s knows no worker: %w", c.setup.ID, cottonlanding.ErrUnavailable)
	}
	return fmt.Errorf("a task of %s needs more than any of %d workers has: %w", spec.Name, listed, cottonlanding.ErrCannotRun)
}

func (c *Cell) withinQuota(spec cottonlanding.JobSpec) error {
	quota, bounded := c.quota(spec.Team)
	if bounded && spec.Kind == cottonlanding.Batch && !spec.Resources.Fits(quota) {
		return fmt.Errorf("a task of %s needs more than the quota of team %s: %w", spec.Name, spec.Team, cottonlanding.ErrCannotRun)
	}
	return nil
}

// Cancel cancels a job; done is called once that is committed. ErrNotFound
// means that the cell has no such job; a final job stays as it is.
func (c *Cell) Cancel(name cottonlanding.JobName, now cottonlanding.Millis, done func(error)) {
	j := c.jobs[name]
	if j == nil {
		done(fmt.Errorf("job %s: %w", name, cottonlanding.ErrNotFound))
		return
	}
	if !j.State.Final() {
		c.endJob(j, cottonlanding.JobCancelled, now)
		c.counts.Cancelled++
	}
	c.whenCommitted(name, done)
}

// Job returns a job as last decided, committed or not.
func (c *Cell) Job(name cottonlanding.JobName) (cottonlanding.JobStatus, bool) {
	j := c.jobs[name]
	if j == nil {
		return cottonlanding.JobStatus{}, false
	}
	status := cottonlanding.JobStatus{Job: j.Job}
	for _, t := range j.tasks {
		status.Tasks = append(status.Tasks, t.Task)
	}
	return status, true
}
