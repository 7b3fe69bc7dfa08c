package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A lasting task that has run is missed by its users until it runs again. What keeps it waiting for the
// sake of others ends in time for a start, counted from when its run was last seen at work: that a run
// has ended may be known a whole lease later. docs/design/lasting-tasks.md adds up all waits.

const (
	// maxDowntime is how long a lasting task may be down. Source: the users' rule on lost tasks: six seconds
	// after its last run, and three of calm.
	maxDowntime = 9 * cottonlanding.Second
	// maxDeferral is how long after its run was last seen a task may be kept waiting for the sake of
	// others. What is left of mostDown is for making room and for the start.
	maxDeferral = 7 * cottonlanding.Second
	// startTimeout is how long a lasting task stays with a worker that doesn't tell of its start while
	// others have room: for two starts without an answer. lastStartPatience is the same for one that
	// must run again, for one start.
	startTimeout       = 2250 * cottonlanding.Millis(1)
	urgentStartTimeout = cottonlanding.Second
	// maxStartTimeoutDoublings is how often the patience is doubled, once for each worker that a task has left in vain: where
	// all workers carry out their orders late, a task that left each of them would never run.
	maxStartTimeoutDoublings = 3
	// maxAbandonedPerDecision bounds the tasks for which other workers are looked for in one decision.
	maxAbandonedPerDecision = 10
)

// recordRunning notes that the run was at work at an instant.
func (r *run) recordRunning(now cottonlanding.Millis) {
	if t := r.task; t != nil && t.run == r {
		t.lastRunningAt, t.abandonedStarts = now, 0
	}
}

// downSince returns when the task was last known to run or, if it never did, when it began to wait.
func (t *task) downSince() cottonlanding.Millis {
	if t.lastRunningAt > 0 {
		return t.lastRunningAt
	}
	return t.waitingSince
}

// mustRunAgain reports whether a lasting task that has run may not be kept waiting for the sake of others any more.
func (t *task) mustRunAgain(now cottonlanding.Millis) bool {
	return t.stage.Lasting && !t.stage.Fills && t.number > 0 && now-t.downSince() >= maxDeferral
}

// abandonOverdueStarts stops the runs of lasting tasks of whose start their workers don't tell, though they answer looks, where
// another worker has room. The task is placed there once the run is ruled out.
func (c *Cell) abandonOverdueStarts(now cottonlanding.Millis) {
	var startOverdue []*task
	for _, j := range c.openJobs {
		if !j.hasLasting {
			continue
		}
		j.eachTask(func(t *task) {
			if t.startOverdue(now) {
				startOverdue = append(startOverdue, t)
			}
		})
	}
	for _, t := range c.unheardCursor.nextTasks(startOverdue, maxAbandonedPerDecision) {
		if c.fitsOnOtherWorker(t, now) {
			t.abandonedStarts++
			t.failedOn = append(t.failedOn, t.run.worker.life())
			c.stop(t.run, "its worker has not told of the start", now)
		}
	}
}

// effectiveStartTimeout returns how long the task stays with a worker that doesn't tell of its start.
func (t *task) effectiveStartTimeout(now cottonlanding.Millis) cottonlanding.Millis {
	if t.abandonedStarts == 0 && t.mustRunAgain(now) {
		return urgentStartTimeout
	}
	return startTimeout << min(t.abandonedStarts, maxStartTimeoutDoublings)
}

// startOverdue reports whether the worker of a lasting task has answered a look since the task was first started there, and has
// not told of the start for long. The members of a gang wait for each other, and stay.
func (t *task) startOverdue(now cottonlanding.Millis) bool {
	r := t.run
	if r == nil || r.phase != sent || r.stopping || !t.stage.Lasting || t.stage.Fills || t.stage.Gang {
		return false
	}
	return r.hasUnansweredStart() && now-r.firstSentAt >= t.effectiveStartTimeout(now) && r.worker.reachable(now) && r.worker.lastAnswerAt > r.firstSentAt
}

// hasUnansweredStart reports whether the run's worker has left a start of it unanswered, or now does so with those before it. A
// start that waits in a busy owner says nothing of its worker.
func (r *run) hasUnansweredStart() bool {
	return r.unansweredStarts > 0 || r.firstSentAt > 0 && r.worker.orderUnanswered
}

// fitsOnOtherWorker reports whether a worker other than that of its run could take a task.
func (c *Cell) fitsOnOtherWorker(t *task, now cottonlanding.Millis) bool {
	return slices.ContainsFunc(c.sortedWorkers(), func(w *worker) bool { return w != t.run.worker && c.fits(t, w, now) })
}
