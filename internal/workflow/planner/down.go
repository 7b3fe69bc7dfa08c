package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A lasting task that has run is down until it runs again. Waits for the sake of other tasks are bounded from the
// instant at which its run was last seen running, since the end of a run may become known a whole lease later.
// docs/design/lasting-tasks.md adds up all waits.

const (
	// maxDowntime is how long a lasting task may be down: by the users' rule on lost tasks, six seconds after its
	// last run and three undisturbed seconds.
	maxDowntime = 9 * cottonlanding.Second
	// maxDeferral is how long after its run was last seen a task may be kept waiting for the sake of others. The
	// rest of maxDowntime is for preemption and for the start.
	maxDeferral = 7 * cottonlanding.Second
	// startTimeout is how long a lasting task stays with a worker that does not confirm its start while others have
	// room: long enough for two starts without an answer. urgentStartTimeout is the same for a task that must run
	// again, long enough for one start.
	startTimeout       = 2250 * cottonlanding.Millis(1)
	urgentStartTimeout = cottonlanding.Second
	// maxStartTimeoutDoublings bounds how often startTimeout is doubled, once for each worker that a task has left
	// without running: where all workers execute their orders late, a task that left each of them in turn would
	// never run.
	maxStartTimeoutDoublings = 3
	// maxAbandonedPerDecision bounds the tasks for which another worker is sought in one decision.
	maxAbandonedPerDecision = 10
)

// markTaskRunning records for the task that its run was seen running.
func (r *run) markTaskRunning(now cottonlanding.Millis) {
	if t := r.task; t != nil && t.run == r {
		t.lastRunningAt, t.abandonedStarts = now, 0
	}
}

// downSince returns when the task was last known to run or, if it never ran, when it began to wait.
func (t *task) downSince() cottonlanding.Millis {
	if t.lastRunningAt > 0 {
		return t.lastRunningAt
	}
	return t.waitingSince
}

// mustRunAgain reports whether a lasting task that has run may no longer be kept waiting for the sake of others.
func (t *task) mustRunAgain(now cottonlanding.Millis) bool {
	return t.stage.Lasting && !t.stage.Fills && t.number > 0 && now-t.downSince() >= maxDeferral
}

// abandonOverdueStarts stops runs of lasting tasks whose workers answer polls but do not confirm the start, if
// another worker has room. The task is placed there once its run is ruled out.
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
	for _, t := range c.overdueStartsCursor.nextTasks(startOverdue, maxAbandonedPerDecision) {
		if c.fitsOnOtherWorker(t, now) {
			t.abandonedStarts++
			t.failedOn = append(t.failedOn, t.run.worker.life())
			c.stop(t.run, "its worker has not told of the start", now)
		}
	}
}

// effectiveStartTimeout returns how long the task stays with a worker that does not confirm its start.
func (t *task) effectiveStartTimeout(now cottonlanding.Millis) cottonlanding.Millis {
	if t.abandonedStarts == 0 && t.mustRunAgain(now) {
		return urgentStartTimeout
	}
	return startTimeout << min(t.abandonedStarts, maxStartTimeoutDoublings)
}

// startOverdue reports whether the worker of a lasting task has answered a poll since the task was first started
// there, but has not confirmed the start in time. Members of a gang wait for each other and stay.
func (t *task) startOverdue(now cottonlanding.Millis) bool {
	r := t.run
	if r == nil || r.phase != sent || r.stopping || !t.stage.Lasting || t.stage.Fills || t.stage.Gang {
		return false
	}
	return r.hasUnansweredStart() && now-r.firstSentAt >= t.effectiveStartTimeout(now) &&
		r.worker.reachable(now) && r.worker.lastAnswerAt > r.firstSentAt
}

// hasUnansweredStart reports whether the worker has left a start of the run unanswered, or now leaves earlier
// orders unanswered. A start that is queued in a busy owner says nothing about the worker.
func (r *run) hasUnansweredStart() bool {
	return r.unansweredStarts > 0 || r.firstSentAt > 0 && r.worker.orderUnanswered
}

// fitsOnOtherWorker reports whether a worker other than that of its run could take the task.
func (c *Cell) fitsOnOtherWorker(t *task, now cottonlanding.Millis) bool {
	return slices.ContainsFunc(c.sortedWorkers(), func(w *worker) bool { return w != t.run.worker && c.fits(t, w, now) })
}
