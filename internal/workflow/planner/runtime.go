package planner

import "github.com/cottonlanding/cottonlanding"

// learnRunTime takes in how long a run that was done took.
func (c *Cell) learnRunTime(r *run, now cottonlanding.Millis) {
	if r.ackedAt == 0 {
		return // nobody saw it start
	}
	r.noteSlowed(now)
	c.runTimes.Learn(r.task.job.Queue, r.step.Estimate, max(now-r.ackedAt-r.slowed, 1))
}

// noteSlowed counts the time that the present pace has cost since the last change.
func (r *run) noteSlowed(now cottonlanding.Millis) {
	if r.paceGoal < fullPace {
		r.slowed += (now - r.slowedAt) * cottonlanding.Millis(fullPace-r.paceGoal) / fullPace
	}
	r.slowedAt = now
}

// expected returns how long a task of a step is expected to run.
func (c *Cell) expected(j *job, s *stage) cottonlanding.Millis {
	return c.runTimes.Predict(j.Queue, s.Estimate)
}
