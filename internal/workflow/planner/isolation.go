package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A suspect runs where nothing else begins just before or after it: if the worker crashes
// again, it was that task, and if it doesn't, it wasn't.

const (
	// isolationWindow is how long nothing else begins on a worker before and after a task that runs
	// apart: the commit and the order, by estimate 300 ms, and just.
	isolationWindow = 600 * cottonlanding.Millis(1)
	// longIsolationWindow is how long nothing else begins after a task that has few losses left: a
	// culprit that began later would take it along, and most tasks are done by then.
	longIsolationWindow = 3 * cottonlanding.Second
	// isolationTimeout is how long a task waits for such a worker. The rule asks for a start
	// within three seconds; later it runs as others do.
	isolationTimeout = cottonlanding.Second
	// fewLossesIsolationTimeout is how long a task that has few losses left waits for a worker on which
	// nothing has just begun, at an instant at which none has just fallen silent. Nothing ever
	// begins just after it: an innocent one must not share its last losses with a culprit.
	fewLossesIsolationTimeout = 3 * cottonlanding.Second
	// lastStartIsolationTimeout is calmPatience for the last start before a task is given up.
	lastStartIsolationTimeout = 15 * cottonlanding.Second
	// openLifeTimeout is how long a task that has one loss left waits for what became of its last worker: a
	// crashed one is back by then, one that is cut off may never be.
	openLifeTimeout = 15 * cottonlanding.Second
	// isolatedWorkersDivisor is the part of the workers, as a divisor, that may be kept for tasks that
	// run apart: a wave of suspects must not hold up all others.
	isolatedWorkersDivisor = 4
)

// needsIsolation reports whether a task has to run where nothing else begins at the same time.
func (c *Cell) needsIsolation(t *task, now cottonlanding.Millis) bool {
	return c.policy.Blame.Isolates(t.crashes) && (t.hasFewLossesLeft() || now-t.waitingSince < isolationTimeout)
}

// hasFewLossesLeft reports whether the task has few losses left before it is given up.
func (t *task) hasFewLossesLeft() bool { return t.crashes.Losses >= maxLosses-2 }

// hasOneLossLeft reports whether the task is given up if it is lost once more.
func (t *task) hasOneLossLeft() bool { return t.crashes.Losses >= maxLosses-1 }

// maxIsolationWait returns how long the task waits for a calm worker at a calm instant.
func (t *task) maxIsolationWait() cottonlanding.Millis {
	if t.hasOneLossLeft() {
		return lastStartIsolationTimeout
	}
	return fewLossesIsolationTimeout
}

// awaitsOpenLife reports whether the task must not begin yet: it has one loss left, and what it has lost last may
// be that.
func (t *task) awaitsOpenLife(now cottonlanding.Millis) bool {
	return t.openLife.Worker != "" && t.hasOneLossLeft() && now-t.waitingSince < openLifeTimeout
}

// hasRecentOutage reports whether workers fell silent just now: what has caused that may go on.
func (c *Cell) hasRecentOutage(now cottonlanding.Millis) bool {
	return slices.ContainsFunc(c.outages, func(o outage) bool { return now-o.at < outageCorrelationWindow })
}

// blockedByIsolation reports whether a task may not begin on a worker now, because it or the one
// that has begun there runs apart. It ends in time for a lasting task to run again.
func (c *Cell) blockedByIsolation(t *task, w *worker, now cottonlanding.Millis) bool {
	switch {
	case t.mustRunAgain(now):
		return false
	case w.isIsolated(now), t.awaitsOpenLife(now):
		return true
	case !c.needsIsolation(t, now):
		return false
	case now-t.waitingSince >= t.maxIsolationWait(): // where tasks begin all the time, it would wait for ever
	case w.lastAssignedAt > 0 && now-w.lastAssignedAt < isolationWindow, t.hasFewLossesLeft() && c.hasRecentOutage(now):
		return true
	}
	c.isolatedWorkers = slices.DeleteFunc(c.isolatedWorkers, func(other *worker) bool { return !other.isIsolated(now) })
	return isolatedWorkersDivisor*len(c.isolatedWorkers) >= len(c.workers)
}

// isIsolated reports whether the worker is kept for a run that runs apart and hasn't ended.
func (w *worker) isIsolated(now cottonlanding.Millis) bool {
	return w.isolatedRun != nil && now < w.isolatedUntil && w.runs.get(w.isolatedRun.RunKey) == w.isolatedRun
}

// recordAssignment notes that a task was given to a worker, for keptApart.
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
