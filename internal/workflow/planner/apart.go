package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A suspect runs where nothing else begins just before or after it: if the worker crashes
// again, it was that task, and if it doesn't, it wasn't.

const (
	// apartFor is how long nothing else begins on a worker before and after a task that runs
	// apart: the commit and the order, by estimate 300 ms, and just.
	apartFor = 600 * cottonlanding.Millis(1)
	// lastApartFor is how long nothing else begins after a task that has few losses left: a
	// culprit that began later would take it along, and most tasks are done by then.
	lastApartFor = 3 * cottonlanding.Second
	// apartPatience is how long a task waits for such a worker. The rule asks for a start
	// within three seconds; later it runs as others do.
	apartPatience = cottonlanding.Second
	// calmPatience is how long a task that has few losses left waits for a worker on which
	// nothing has just begun, at an instant at which none has just fallen silent. Nothing ever
	// begins just after it: an innocent one must not share its last losses with a culprit.
	calmPatience = 3 * cottonlanding.Second
	// lastPatience is calmPatience for the last start before a task is given up.
	lastPatience = 15 * cottonlanding.Second
	// newsPatience is how long a task that has one loss left waits for what became of its last worker: a
	// crashed one is back by then, one that is cut off may never be.
	newsPatience = 15 * cottonlanding.Second
	// apartShare is the part of the workers, as a divisor, that may be kept for tasks that
	// run apart: a wave of suspects must not hold up all others.
	apartShare = 4
)

// apart reports whether a task has to run where nothing else begins at the same time.
func (c *Cell) apart(t *task, now cottonlanding.Millis) bool {
	return c.policy.Blame.Isolates(t.crashes) && (t.hasFewLosses() || now-t.waitingSince < apartPatience)
}

// hasFewLosses reports whether the task has few losses left before it is given up.
func (t *task) hasFewLosses() bool { return t.crashes.Losses >= mostLosses-2 }

// hasLastStart reports whether the task is given up if it is lost once more.
func (t *task) hasLastStart() bool { return t.crashes.Losses >= mostLosses-1 }

// patience returns how long the task waits for a calm worker at a calm instant.
func (t *task) patience() cottonlanding.Millis {
	if t.hasLastStart() {
		return lastPatience
	}
	return calmPatience
}

// awaitsNews reports whether the task must not begin yet: it has one loss left, and what it has lost last may
// be that.
func (t *task) awaitsNews(now cottonlanding.Millis) bool {
	return t.openLife.Worker != "" && t.hasLastStart() && now-t.waitingSince < newsPatience
}

// unstable reports whether workers fell silent just now: what has caused that may go on.
func (c *Cell) unstable(now cottonlanding.Millis) bool {
	return slices.ContainsFunc(c.outages, func(o outage) bool { return now-o.at < together })
}

// keptApart reports whether a task may not begin on a worker now, because it or the one
// that has begun there runs apart. It ends in time for a lasting task to run again.
func (c *Cell) keptApart(t *task, w *worker, now cottonlanding.Millis) bool {
	switch {
	case t.mustRunAgain(now):
		return false
	case w.runsApart(now), t.awaitsNews(now):
		return true
	case !c.apart(t, now):
		return false
	case now-t.waitingSince >= t.patience(): // where tasks begin all the time, it would wait for ever
	case w.beganAt > 0 && now-w.beganAt < apartFor, t.hasFewLosses() && c.unstable(now):
		return true
	}
	c.isolatedWorkers = slices.DeleteFunc(c.isolatedWorkers, func(other *worker) bool { return !other.runsApart(now) })
	return apartShare*len(c.isolatedWorkers) >= len(c.workers)
}

// runsApart reports whether the worker is kept for a run that runs apart and hasn't ended.
func (w *worker) runsApart(now cottonlanding.Millis) bool {
	return w.apartRun != nil && now < w.apartUntil && w.runs.get(w.apartRun.RunKey) == w.apartRun
}

// recordBegun notes that a task was given to a worker, for keptApart.
func (c *Cell) recordBegun(t *task, w *worker, now cottonlanding.Millis) {
	w.beganAt = now
	if c.apart(t, now) {
		w.apartRun, w.apartUntil = t.run, now+apartFor
		if t.hasFewLosses() {
			w.apartUntil = now + lastApartFor
		}
		c.isolatedWorkers = append(c.isolatedWorkers, w)
	}
}

// lastingRuns reports whether a lasting run would be lost if the worker crashed.
func (w *worker) lastingRuns() bool {
	return slices.ContainsFunc(w.runs.all(), func(r *run) bool { return r.step.Lasting && !r.stopping })
}
