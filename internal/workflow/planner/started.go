package planner

import "github.com/cottonlanding/cottonlanding"

// recordListed notes that a worker has listed a run, as going on or as ended, so that its job has begun.
func (c *Cell) recordListed(key cottonlanding.RunKey) {
	if j := c.jobs[key.Task.Workflow]; j != nil {
		j.started = true
	}
}

// recordStartTaken notes that a worker has answered that it has begun the run, in whichever life and whatever
// has become of the run since.
func (o Order) recordStartTaken(err error) {
	if o.Verb == VerbStart && err == nil && o.run != nil {
		o.run.task.job.started = true
	}
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
