package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A task that the blame policy isolates because of its losses starts on a worker where nothing else begins just before
// or after it, so that a further crash shows whether it was the cause.

const (
	// isolationWindow is how long nothing else begins on a worker before and after an isolated start: some 300 ms for
	// the commit and the order, and promptWindow.
	isolationWindow = 600 * cottonlanding.Millis(1)
	// longIsolationWindow is isolationWindow after the start of a task that has few losses left. A faulty task that
	// begins later would take it along, and most tasks are done by then.
	longIsolationWindow = 3 * cottonlanding.Second
	// isolationTimeout is how long a task waits for an isolated start. It is required to start within three seconds;
	// after the timeout it starts like any other task.
	isolationTimeout = cottonlanding.Second
	// fewLossesIsolationTimeout is how long a task with few losses left waits for a worker on which nothing has just
	// begun, at an instant at which no worker has just fallen silent. An innocent task must not lose its last chances
	// to a faulty one, so that nothing else begins there for longIsolationWindow after it.
	fewLossesIsolationTimeout = 3 * cottonlanding.Second
	// lastStartIsolationTimeout is fewLossesIsolationTimeout for the last start before a task is given up.
	lastStartIsolationTimeout = 15 * cottonlanding.Second
	// openLifeTimeout is how long a task with one loss left waits for the outcome of its open life. A crashed worker
	// is back by then, one that is cut off may never be.
	openLifeTimeout = 15 * cottonlanding.Second
	// isolatedWorkersDivisor is the fraction, as a divisor, of the workers that may be reserved for isolated starts,
	// so that many suspects at once don't block all other tasks.
	isolatedWorkersDivisor = 4
)

// needsIsolation reports whether a task has to start where nothing else begins at the same time.
func (c *Cell) needsIsolation(t *task, now cottonlanding.Millis) bool {
	return c.policy.Blame.Isolates(t.crashes) && (t.hasFewLossesLeft() || now-t.waitingSince < isolationTimeout)
}

// hasFewLossesLeft reports whether two further losses, or fewer, have the task given up.
func (t *task) hasFewLossesLeft() bool { return t.crashes.Losses >= maxLosses-2 }

// hasOneLossLeft reports whether the next loss has the task given up.
func (t *task) hasOneLossLeft() bool { return t.crashes.Losses >= maxLosses-1 }

// maxIsolationWait returns how long a task with few losses left waits for an isolated start.
func (t *task) maxIsolationWait() cottonlanding.Millis {
	if t.hasOneLossLeft() {
		return lastStartIsolationTimeout
	}
	return fewLossesIsolationTimeout
}

// awaitsOpenLife reports whether the task must not start yet: it has one loss left, and its open life may turn out to
// be that loss.
func (t *task) awaitsOpenLife(now cottonlanding.Millis) bool {
	return t.openLife.Worker != "" && t.hasOneLossLeft() && now-t.waitingSince < openLifeTimeout
}

// hasRecentOutage reports whether workers have just fallen silent: the cause may still be at work.
func (c *Cell) hasRecentOutage(now cottonlanding.Millis) bool {
	return slices.ContainsFunc(c.outages, func(o outage) bool { return now-o.at < outageCorrelationWindow })
}

// blockedByIsolation reports whether isolation keeps a task from a worker now, its own or that of the run that began
// there last. It never delays a lasting task that must run again.
func (c *Cell) blockedByIsolation(t *task, w *worker, now cottonlanding.Millis) bool {
	switch {
	case t.mustRunAgain(now):
		return false
	case w.isIsolated(now), t.awaitsOpenLife(now):
		return true
	case !c.needsIsolation(t, now):
		return false
	case now-t.waitingSince >= t.maxIsolationWait():
		// Where tasks begin all the time it would wait for ever: it starts there unless too many workers are isolated.
	case w.lastAssignedAt > 0 && now-w.lastAssignedAt < isolationWindow, t.hasFewLossesLeft() && c.hasRecentOutage(now):
		return true
	}
	c.isolatedWorkers = slices.DeleteFunc(c.isolatedWorkers, func(other *worker) bool { return !other.isIsolated(now) })
	return isolatedWorkersDivisor*len(c.isolatedWorkers) >= len(c.workers)
}

// isIsolated reports whether the worker is reserved for an isolated run that hasn't ended.
func (w *worker) isIsolated(now cottonlanding.Millis) bool {
	return w.isolatedRun != nil && now < w.isolatedUntil && w.runs.get(w.isolatedRun.RunKey) == w.isolatedRun
}

// recordAssignment records for blockedByIsolation that a task was assigned to a worker.
func (c *Cell) recordAssignment(t *task, w *worker, now cottonlanding.Millis) {
	w.lastAssignedAt = now
	if c.needsIsolation(t, now) {
		w.isolatedRun, w.isolatedUntil = t.run, now+isolationWindow
		if t.hasFewLossesLeft() {
			w.isolatedUntil = now + longIsolationWindow
		}
		c.isolatedWorkers = append(c.isolatedWorkers, w)
	}
}

// hasLastingRuns reports whether a lasting run would be lost if the worker crashed.
func (w *worker) hasLastingRuns() bool {
	return slices.ContainsFunc(w.runs.all(), func(r *run) bool { return r.step.Lasting && !r.stopping })
}
