package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A task that a worker has taken has begun, but for one of a gang: the tasks of a gang wait on their workers until
// all of one run are there.

// recordListed notes what it says of the run's job that a worker has just listed the run.
func (c *Cell) recordListed(key cottonlanding.RunKey) {
	j := c.jobs[key.Task.Workflow]
	if j == nil || j.started {
		return
	}
	t := j.task(key.Task)
	j.started = t == nil || !t.stage.Gang || t.stage.allListed()
}

// allListed reports whether each task of the step has a run that its worker has listed.
func (s *stage) allListed() bool {
	return !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.run == nil || t.run.listedAt == 0 })
}

// recordEndListed notes what the end of a run says of the run's job, also if the run was given up before.
func (c *Cell) recordEndListed(end cottonlanding.RunEnd) {
	j := c.jobs[end.Task.Workflow]
	if j == nil || j.started {
		return
	}
	t := j.task(end.Task)
	worked := end.Kind == cottonlanding.EndDone || end.Kind == cottonlanding.EndFailed
	j.started = t == nil || !t.stage.Gang || worked
}

// recordStartAccepted notes that a worker has answered that it has taken a start, in whichever life and whatever has become
// of the run since.
func (o Order) recordStartAccepted(err error) {
	if o.Verb != VerbStart || err != nil || o.run == nil {
		return
	}
	t := o.run.task
	t.job.started = t.job.started || !t.stage.Gang
}

// showsStart reports whether what is kept of the job's tasks says that one has begun: rows of older code don't
// say it otherwise.
func (j *job) showsStart() bool {
	shows := false
	j.eachTask(func(t *task) { shows = shows || t.showsStart() })
	return shows
}

func (t *task) showsStart() bool {
	outlived := t.run != nil && t.run.outlived
	return t.state == taskDone || t.failures > 0 || t.checkpoint.text != "" || outlived
}
