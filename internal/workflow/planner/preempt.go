package planner

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// preemptionTimeout is how long a task waits for the room that runs are being stopped for: the longest stop
	// plus a poll.
	preemptionTimeout = 1500 * cottonlanding.Millis(1)
	// headroomFactor is how many times a task's resources must be free in total, since a start is required where
	// capacity exists twice over.
	headroomFactor = 2
	// holdAfter is how long a lasting task waits before a worker is held for it: it must start within about 9 s.
	holdAfter = 5 * cottonlanding.Second
	// holdTimeout is how long a worker is held for a task at most.
	holdTimeout = 4 * cottonlanding.Second
	// workersPerHold is the number of workers of a cell per held one. Each held worker delays short tasks, so that as
	// few are held as suffice: among 48 workers, one was enough for lasting tasks to start in time.
	workersPerHold = 48
	// workersPerInterruptedHold is workersPerHold for interrupted tasks, each of which has to start in time.
	workersPerInterruptedHold = 4
)

// preemptFor stops runs of less urgent queues on the worker where the least work is lost, unless room is already
// being made for the task.
func (c *Cell) preemptFor(t *task, now cottonlanding.Millis) {
	if now < t.preemptionUntil || t.stage.Fills || c.yieldsToShortTasks(t, now) {
		return
	}
	var best []*run
	lowest := 0.0
	for _, w := range c.sortedWorkers() {
		if !t.stage.Reserved().Fits(c.room(w, now).withPreemption(t.job.queue.Priority)) {
			continue // computing the victims on all workers would take most of an owner's time
		}
		if !c.allowed(t, w, now) || w.health.shouldAvoid(now) || c.reservedForOthers(t, w, now) || c.reservedForShortTasks(t, w, now) {
			continue
		}
		victims, lostWork := c.victims(t, w, now)
		if len(victims) > 0 && (best == nil || lostWork < lowest) {
			best, lowest = victims, lostWork
		}
	}
	if best == nil {
		return
	}
	t.preemptionUntil = now + preemptionTimeout
	for _, r := range best {
		c.counts.Preempted++
		c.stop(r, "it gives way to "+t.ref.String(), now)
	}
}

// holdWorkers holds workers for a task and for the other interrupted tasks of its step, since the placement of a
// step ends with its first task that finds no room.
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

// holdWorker holds a worker for a lasting task that has waited long although there is enough room in total. Without
// it, short tasks would take each bit of room before one worker has enough. It reports whether a worker is held. The
// log line calls a hold a reservation; the room that reservation.go reserves follows another rule.
func (c *Cell) holdWorker(t *task, now cottonlanding.Millis) bool {
	if !t.waitsLong(now) || c.yieldsToShortTasks(t, now) || !c.hasTotalHeadroom(t, now) {
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
		room := w.roomBesideLasting()
		possible := c.allowed(t, w, now) && t.stage.Reserved().Fits(room) && !c.reservedForOthers(t, w, now) && !c.takesReservedSlots(t, room, now)
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

// maxHeld returns the number of held workers from which on no further one is held for a task. Tasks that were
// interrupted together each have to run again in time, so that they get several workers rather than wait for one
// another. Where lasting tasks take most of the room, few short tasks would end and free room, and the held workers
// would be withheld from smaller tasks here and from those of other cells.
func (c *Cell) maxHeld(t *task, now cottonlanding.Millis) int {
	if t.precedence(now) == interruptedPrecedence && !c.reserved.nearlyFull(t) {
		return max(1, len(c.workers)/workersPerInterruptedHold)
	}
	return max(1, len(c.workers)/workersPerHold)
}

// waitsLong reports whether a lasting task has waited or been down long enough for a worker to be held for it.
func (t *task) waitsLong(now cottonlanding.Millis) bool {
	waits := t.state == taskWaiting && !t.job.state.Final()
	return waits && t.stage.Lasting && !t.stage.Fills && now-t.downSince() >= holdAfter
}

// precedence ranks waiting tasks; higher values get room first.
type precedence int

const (
	// normalPrecedence is that of tasks that end by themselves or have not waited long.
	normalPrecedence precedence = iota
	// longWaitPrecedence is that of lasting tasks that have waited long.
	longWaitPrecedence
	// interruptedPrecedence is that of lasting tasks that have waited long and ran before: their users depend on
	// them, and they must run again within a set time.
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

// interruptionWindow is for how long after the end of its run a lasting task goes before others: a few decisions.
// After that its room is given to others, and it waits as they do until it has waited long.
const interruptionWindow = 500 * cottonlanding.Millis(1)

// justInterrupted reports whether the run of a lasting task ended within interruptionWindow.
func (t *task) justInterrupted(now cottonlanding.Millis) bool {
	return t.stage.Lasting && t.state == taskWaiting && t.number > 0 && now-t.waitingSince < interruptionWindow
}

// comparePrecedence orders tasks by precedence, then by waiting time.
func comparePrecedence(a, b *task, now cottonlanding.Millis) int {
	return cmp.Or(cmp.Compare(b.precedence(now), a.precedence(now)), cmp.Compare(a.waitingSince, b.waitingSince))
}

// roomBesideLasting returns the room of a worker that lasting runs don't hold: what is free or becomes free without
// preemption.
func (w *worker) roomBesideLasting() cottonlanding.Resources {
	room := w.info.Capacity
	for _, r := range w.runs.all() {
		if r.step.Lasting && !r.stopping {
			room = room.Minus(r.step.Reserved())
		}
	}
	return room
}

// hasTotalHeadroom reports whether the free room of all workers that may run the task adds up to headroomFactor
// times its resources.
func (c *Cell) hasTotalHeadroom(t *task, now cottonlanding.Millis) bool {
	var sum cottonlanding.Resources
	for _, w := range c.sortedWorkers() {
		if c.allowed(t, w, now) {
			sum = sum.Plus(c.room(w, now).free)
		}
	}
	return t.stage.Reserved().Times(headroomFactor).Fits(sum)
}

// held reports whether the worker is held for a task that still waits and can still fit here.
func (w *worker) held(now cottonlanding.Millis) bool {
	t := w.heldFor
	return t != nil && now < w.heldUntil && !w.cordoned() && t.waitsLong(now) && t.stage.Reserved().Fits(w.roomBesideLasting())
}

// heldFrom reports whether the worker is held for another task than t. A hold does not apply to filling tasks, to
// tasks that come before the holder in comparePrecedence, or to those that must run again now.
func (w *worker) heldFrom(t *task, now cottonlanding.Millis) bool {
	if t.stage.Fills || w.heldFor == t || !w.held(now) || t.mustRunAgain(now) {
		return false
	}
	return comparePrecedence(t, w.heldFor, now) >= 0
}

// victims returns the runs to stop on a worker for a task to fit, and the work in millicore-milliseconds that is
// lost by that. It returns none if the task fits without or would not fit even so.
func (c *Cell) victims(t *task, w *worker, now cottonlanding.Millis) ([]*run, float64) {
	var candidates []*run
	free := w.free()
	for _, r := range w.runs.all() {
		if r.stopping {
			free = free.Plus(r.step.Reserved()) // already giving up its room
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

// lostWork returns the work in millicore-milliseconds that is lost when the run is stopped.
func (r *run) lostWork(now cottonlanding.Millis) float64 {
	if r.step.Checkpoints {
		return 0
	}
	return float64(now-r.placedAt) * float64(r.step.Resources.CPU)
}
