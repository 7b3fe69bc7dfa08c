package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/reserver"
)

// Lasting tasks keep their room for a minute and more, while short ones are of no use to their callers after a few
// seconds. Lasting tasks that never ran therefore leave as much room as short ones needed in the last seconds.

const (
	// firstRunDeferral is how long a lasting workflow without a run leaves room to short tasks. It must have a run
	// within 3 s if there is room.
	firstRunDeferral = 2 * cottonlanding.Second
	// expiredClass is the class in which ranking policies put workflows that are of no use to their callers any
	// more (package ranker).
	expiredClass = 2
)

// shortReserve is the room that lasting tasks which never ran leave to short tasks of one service and priority.
type shortReserve struct {
	service  cottonlanding.ServiceName
	priority int
	demand   *reserver.Demand
	// running and waiting count the short tasks at the start of the current decision.
	running, waiting int
	// needed is the number of slots that short tasks need beside their runs, free the number of those that there are,
	// both as of the current decision. free is only known while needed is positive.
	needed, free int
}

// computeShortReserves recomputes how much room lasting tasks leave to short ones.
func (c *Cell) computeShortReserves(now cottonlanding.Millis) {
	if !c.policy.ReservesForShortTasks {
		return
	}
	for _, r := range c.shortReserves {
		r.running, r.waiting = 0, 0
	}
	largest := c.largestCapacities(now)
	for _, j := range c.openJobs {
		c.countShortTasks(j, largest[j.queue.Service])
	}
	for _, r := range c.shortReserves {
		r.demand.Observe(r.running+r.waiting, now)
		r.needed = r.demand.Needed(r.running, now)
	}
	c.countFreeSlots(now)
}

// largestCapacities returns the largest processors and memory of the usable workers of each service.
func (c *Cell) largestCapacities(now cottonlanding.Millis) map[cottonlanding.ServiceName]cottonlanding.Resources {
	largest := make(map[cottonlanding.ServiceName]cottonlanding.Resources)
	for _, w := range c.sortedWorkers() {
		if w.usable(now) {
			largest[w.info.Service] = largest[w.info.Service].Max(w.info.Capacity)
		}
	}
	return largest
}

// countShortTasks adds the short tasks of a workflow to its reserve. Tasks that fit on no worker, or request no
// processors, need no slot; those of a workflow that is of no use any more get what is left.
func (c *Cell) countShortTasks(j *job, largest cottonlanding.Resources) {
	for number := range len(j.rounds) {
		for _, s := range j.rounds[number].steps {
			if !s.ready || s.finished() || kindOf(s.Step) != shortTask || s.Resources.CPU <= 0 || !s.Reserved().Fits(largest) {
				continue
			}
			r := c.shortReserveOf(j.queue.Service, j.queue.Priority)
			for _, t := range s.tasks {
				switch {
				case t.run != nil:
					r.running++
				case t.state == taskWaiting && j.rank.Class < expiredClass:
					r.waiting++
				}
			}
			if !r.demand.HasSize() {
				r.demand.RecordSize(s.Reserved())
			}
		}
	}
}

// shortReserveOf returns the reserve of a service and priority, which it creates if there is none.
func (c *Cell) shortReserveOf(service cottonlanding.ServiceName, priority int) *shortReserve {
	at := slices.IndexFunc(c.shortReserves, func(r *shortReserve) bool { return r.service == service && r.priority == priority })
	if at < 0 {
		at = len(c.shortReserves)
		c.shortReserves = append(c.shortReserves, &shortReserve{service: service, priority: priority, demand: reserver.New()})
	}
	return c.shortReserves[at]
}

// countFreeSlots counts the free slots of the reserves that need any.
func (c *Cell) countFreeSlots(now cottonlanding.Millis) {
	for _, r := range c.shortReserves {
		if r.free = 0; r.needed == 0 {
			continue
		}
		for _, w := range c.sortedWorkers() {
			if w.info.Service == r.service && w.usable(now) {
				r.free += r.demand.Slots(c.room(w, now).free)
			}
		}
	}
}

// reservedSlots returns how many slots all reserves need.
func (c *Cell) reservedSlots() int {
	sum := 0
	for _, r := range c.shortReserves {
		sum += r.needed
	}
	return sum
}

// protectsFrom reports whether the reserve is for tasks of the same service as a lasting one, and no less urgent.
func (r *shortReserve) protectsFrom(t *task) bool {
	return r.needed > 0 && r.service == t.job.queue.Service && r.priority <= t.job.queue.Priority
}

// slotsTaken returns how many slots a task takes on a worker with the given room.
func (r *shortReserve) slotsTaken(t *task, free cottonlanding.Resources) int {
	return r.demand.Slots(free) - r.demand.Slots(free.Minus(t.stage.Reserved()))
}

// reservedForShortTasks reports whether a task would take room on a worker that short tasks need. Where the worker is
// held for the task, nobody else could use the room.
func (c *Cell) reservedForShortTasks(t *task, w *worker, now cottonlanding.Millis) bool {
	if len(c.shortReserves) == 0 || !t.neverRan() || w.heldFor == t && w.held(now) {
		return false
	}
	return c.takesReservedSlots(t, c.room(w, now).free, now)
}

// takesReservedSlots reports whether a lasting task that never ran would take slots that short tasks need if it were
// placed on a worker with the given room.
func (c *Cell) takesReservedSlots(t *task, room cottonlanding.Resources, now cottonlanding.Millis) bool {
	reserved := t.neverRan() && slices.ContainsFunc(c.shortReserves, func(r *shortReserve) bool {
		if !r.protectsFrom(t) {
			return false
		}
		taken := r.slotsTaken(t, room)
		return taken > 0 && r.free-taken < r.needed
	})
	return reserved && !t.awaitsFirstRun(now)
}

// yieldsToShortTasks reports whether short tasks lack room, so that none is to be made for a lasting task that never
// ran.
func (c *Cell) yieldsToShortTasks(t *task, now cottonlanding.Millis) bool {
	lacking := t.neverRan() && slices.ContainsFunc(c.shortReserves, func(r *shortReserve) bool {
		return r.protectsFrom(t) && r.free < r.needed
	})
	return lacking && !t.awaitsFirstRun(now)
}

// awaitsFirstRun reports whether a lasting task has waited for its first run for as long as it may: for firstRunDeferral
// if its workflow has no run, and for maxDeferral, so that sustained demand of short tasks doesn't starve it, if it has.
func (t *task) awaitsFirstRun(now cottonlanding.Millis) bool {
	waited := now - t.waitingSince
	return waited >= maxDeferral || waited >= firstRunDeferral && !t.job.anyRun()
}

// recordPlacement updates the reserves by a task that is about to be placed on a worker.
func (c *Cell) recordPlacement(t *task, w *worker, now cottonlanding.Millis) {
	if len(c.shortReserves) == 0 || t.stage.Fills {
		return
	}
	c.takeSlots(t, w, now)
	if kindOf(t.stage.Step) == shortTask && t.stage.Resources.CPU > 0 {
		r := c.shortReserveOf(t.job.queue.Service, t.job.queue.Priority)
		r.demand.RecordSize(t.stage.Reserved())
		r.needed = max(0, r.needed-1)
	}
}

// takeSlots deducts from the free slots what a task takes on a worker.
func (c *Cell) takeSlots(t *task, w *worker, now cottonlanding.Millis) {
	for _, r := range c.shortReserves {
		if r.needed > 0 && r.service == w.info.Service {
			r.free -= r.slotsTaken(t, c.room(w, now).free)
		}
	}
}
