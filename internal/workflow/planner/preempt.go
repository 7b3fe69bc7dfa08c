package planner

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// preemptionTimeout is how long a task waits for the room that others are being
	// stopped for: the longest stop and a look.
	preemptionTimeout = 1500 * cottonlanding.Millis(1)
	// headroomFactor is how many times over there must be room in sum. Source: the rule
	// that asks for a start where capacity exists twice over.
	headroomFactor = 2
	// holdAfter is how long a lasting task waits before a worker is kept for it,
	// keepFor how long that lasts at most. The rule asks for a start after some nine
	// seconds; each worker that is kept costs short tasks, so that as few are kept as
	// can be: one at a time for each workersPerKept, on which one was enough. For tasks that
	// were interrupted it is one for each workersPerInterrupted, since each has to start in time.
	holdAfter                 = 5 * cottonlanding.Second
	holdTimeout               = 4 * cottonlanding.Second
	workersPerHold            = 48
	workersPerInterruptedHold = 4
)

// preemptFor stops runs of less urgent queues on the worker where that loses the
// least, unless room is being made already.
func (c *Cell) preemptFor(t *task, now cottonlanding.Millis) {
	if now < t.preemptionUntil || t.stage.Fills {
		return
	}
	var best []*run
	lowest := 0.0
	for _, w := range c.sortedWorkers() {
		if !t.stage.Reserved().Fits(c.room(w, now).withPreemption(t.job.queue.Priority)) {
			continue // weighing all runs of all workers would take most of an owner's time
		}
		if !c.allowed(t, w, now) || w.health.shouldAvoid(now) || c.reservedForOthers(t, w, now) {
			continue
		}
		victims, loss := c.victims(t, w, now)
		if len(victims) > 0 && (best == nil || loss < lowest) {
			best, lowest = victims, loss
		}
	}
	if best == nil {
		return
	}
	t.preemptionUntil = now + preemptionTimeout
	for _, r := range best {
		c.counts.Evicted++
		c.stop(r, "it gives way to "+t.ref.String(), now)
	}
}

// holdWorkers keeps workers free for a task, and for those of its step that were interrupted as well: the turn of
// the step ends with the first that finds no room.
func (c *Cell) holdWorkers(t *task, now cottonlanding.Millis) {
	if !c.holdWorker(t, now) {
		return
	}
	for _, other := range t.stage.tasks {
		if other.precedence(now) == interruptedPrecedence && !c.holdWorker(other, now) {
			return
		}
	}
}

// holdWorker keeps a worker free for a lasting task that has waited for long although
// there is room in sum, or short ones would take that as soon as one worker has
// enough of it. It reports whether one is kept.
func (c *Cell) holdWorker(t *task, now cottonlanding.Millis) bool {
	if !t.waitsLong(now) || !c.hasTotalHeadroom(t, now) {
		return false
	}
	held := 0
	var best *worker
	for _, w := range c.sortedWorkers() {
		if w.held(now) {
			if w.heldFor == t {
				return true
			}
			held++
			continue
		}
		possible := c.allowed(t, w, now) && t.stage.Reserved().Fits(w.roomBesideLasting()) && !c.reservedForOthers(t, w, now)
		if possible && (best == nil || c.room(w, now).free.CPU > c.room(best, now).free.CPU) {
			best = w
		}
	}
	if best == nil || held >= c.maxHeld(t, now) {
		return false
	}
	best.heldFor, best.heldUntil = t, now+holdTimeout
	c.log.Info("capacity reserved", "Task", t.ref.String(), "Worker", best.info.ID, "Waited", now-t.waitingSince, "Free", int64(c.room(best, now).free.CPU))
	return true
}

// maxHeld returns how many workers may be kept for a task to get another one. Of many that were
// interrupted at once each has its time, so that they don't wait for one another. Where lasting tasks hold most of the
// room, short ones make way for few of them, and what is kept would be missing to smaller ones here and in other cells.
func (c *Cell) maxHeld(t *task, now cottonlanding.Millis) int {
	if t.precedence(now) == interruptedPrecedence && !c.reserved.nearlyFull(t) {
		return max(1, len(c.workers)/workersPerInterruptedHold)
	}
	return max(1, len(c.workers)/workersPerHold)
}

// waitsLong reports whether a lasting task has waited, or was down, for so long that a worker is
// kept for it.
func (t *task) waitsLong(now cottonlanding.Millis) bool {
	waits := t.state == taskWaiting && !t.job.state.Final()
	return waits && t.stage.Lasting && !t.stage.Fills && now-t.downSince() >= holdAfter
}

// precedence is how strong a precedence on room a task has.
type precedence int

const (
	// normalPrecedence is that of tasks that end by themselves, or wait only for a while.
	normalPrecedence precedence = iota
	// longWaitPrecedence is that of lasting tasks that have waited for long.
	longWaitPrecedence
	// interruptedPrecedence is that of such that had a run: their users miss them, and the rule
	// sets a time for their next run.
	interruptedPrecedence
)

func (t *task) precedence(now cottonlanding.Millis) precedence {
	switch {
	case !t.waitsLong(now):
		return normalPrecedence
	case t.number == 0:
		return longWaitPrecedence
	}
	return interruptedPrecedence
}

// interruptionWindow is for how long after the end of its run a lasting task goes before
// others: some turns. Later its room is others', and it waits as they do until its claim is
// strong.
const interruptionWindow = 500 * cottonlanding.Millis(1)

// justInterrupted reports whether the run of a lasting task has ended just now.
func (t *task) justInterrupted(now cottonlanding.Millis) bool {
	return t.stage.Lasting && t.state == taskWaiting && t.number > 0 && now-t.waitingSince < interruptionWindow
}

// comparePrecedence orders tasks by their claims, then by how long they wait.
func comparePrecedence(a, b *task, now cottonlanding.Millis) int {
	return cmp.Or(cmp.Compare(b.precedence(now), a.precedence(now)), cmp.Compare(a.waitingSince, b.waitingSince))
}

// roomBesideLasting returns the room of a worker beside its lasting tasks: what is free or
// will be by itself.
func (w *worker) roomBesideLasting() cottonlanding.Resources {
	room := w.info.Capacity
	for _, r := range w.runs.all() {
		if r.step.Lasting && !r.stopping {
			room = room.Minus(r.step.Reserved())
		}
	}
	return room
}

// hasTotalHeadroom reports whether the workers that may run the task have room for it
// several times over, if it were in one place.
func (c *Cell) hasTotalHeadroom(t *task, now cottonlanding.Millis) bool {
	var sum cottonlanding.Resources
	for _, w := range c.sortedWorkers() {
		if c.allowed(t, w, now) {
			sum = sum.Plus(c.room(w, now).free)
		}
	}
	return t.stage.Reserved().Times(headroomFactor).Fits(sum)
}

// held reports whether the worker is held: the task for which that is still waits,
// and may still find its room here.
func (w *worker) held(now cottonlanding.Millis) bool {
	t := w.heldFor
	return t != nil && now < w.heldUntil && !w.cordoned() && t.waitsLong(now) && t.stage.Reserved().Fits(w.roomBesideLasting())
}

// heldFrom reports whether the worker's room is kept from a task: from all but the
// one for which it is kept, those that go before that one, and those that can't wait any more.
func (w *worker) heldFrom(t *task, now cottonlanding.Millis) bool {
	if t.stage.Fills || w.heldFor == t || !w.held(now) || t.mustRunAgain(now) {
		return false
	}
	return comparePrecedence(t, w.heldFor, now) >= 0
}

// victims returns the runs to stop on a worker for a task to fit, and the work
// in millicore-milliseconds that is lost by it; none if that isn't enough.
func (c *Cell) victims(t *task, w *worker, now cottonlanding.Millis) ([]*run, float64) {
	var candidates []*run
	free := w.free()
	for _, r := range w.runs.all() {
		if r.stopping {
			free = free.Plus(r.step.Reserved()) // it gives way already
			continue
		}
		if r.preemptible() && r.task.job.queue.Priority > t.job.queue.Priority {
			candidates = append(candidates, r)
		}
	}
	if t.stage.Reserved().Fits(free) {
		return nil, 0
	}
	slices.SortStableFunc(candidates, func(a, b *run) int { return cmp.Compare(a.lostWork(now), b.lostWork(now)) })
	var out []*run
	lostWork := 0.0
	for _, r := range candidates {
		out = append(out, r)
		lostWork += r.lostWork(now)
		free = free.Plus(r.step.Reserved())
		if t.stage.Reserved().Fits(free) {
			return out, lostWork
		}
	}
	return nil, 0
}

// preemptible reports whether the run may be stopped for a more urgent one.
func (r *run) preemptible() bool { return r.task != nil && !r.step.Lasting && !r.step.Gang }

// lostWork returns the work that stopping the run throws away, in millicore-milliseconds.
func (r *run) lostWork(now cottonlanding.Millis) float64 {
	if r.step.Checkpoints {
		return 0
	}
	return float64(now-r.placedAt) * float64(r.step.Resources.CPU)
}
