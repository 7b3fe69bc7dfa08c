package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A task counts as begun once a worker has accepted it. The tasks of a gang wait on their workers until all members are
// there, so that a gang counts as begun only then.

// markJobStarted marks the job as started if the run that a worker has just listed shows that. A run of a gang does
// once the runs of all members are listed.
func (c *Cell) markJobStarted(key cottonlanding.RunKey) {
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

// markJobStartedByEnd marks the job as started if the end of a run shows that, even if the run was given up before.
func (c *Cell) markJobStartedByEnd(end cottonlanding.RunEnd) {
	j := c.jobs[end.Task.Workflow]
	if j == nil || j.started {
		return
	}
	t := j.task(end.Task)
	worked := end.Kind == cottonlanding.EndDone || end.Kind == cottonlanding.EndFailed
	j.started = t == nil || !t.stage.Gang || worked
}

// markJobStartedByAnswer marks the job as started after a worker has accepted a start, whatever its life and whatever
// has become of the run since.
func (o Order) markJobStartedByAnswer(err error) {
	if o.Verb != VerbStart || err != nil || o.run == nil {
		return
	}
	t := o.run.task
	t.job.started = t.job.started || !t.stage.Gang
}

// showsStart reports whether the stored state of the job's tasks shows that one has begun. Rows of older versions
// record it in no other way.
func (j *job) showsStart() bool {
	shows := false
	j.eachTask(func(t *task) { shows = shows || t.showsStart() })
	return shows
}

func (t *task) showsStart() bool {
	outlastedPromptWindow := t.run != nil && t.run.outlastedPromptWindow
	return t.state == taskDone || t.failures > 0 || t.checkpoint.text != "" || outlastedPromptWindow
}
