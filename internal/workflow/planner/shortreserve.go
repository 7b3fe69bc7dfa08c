package planner

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/reserver"
)

// nothingRunningTimeout is how long a lasting workflow without a run leaves room to short tasks. It must have a run
// within 3 s if there is room.
const nothingRunningTimeout = 2 * cottonlanding.Second

// shortReserve is the room that lasting tasks which never ran leave to the short tasks of a service.
type shortReserve struct {
	demand *reserver.Demand
	// needed is the number of slots that short tasks need beside their runs, free the number of those that there are,
	// both as of the current decision.
	needed, free int
}

// computeShortReserves recomputes how much room lasting tasks leave to short ones.
func (c *Cell) computeShortReserves(now cottonlanding.Millis) {
	if !c.policy.ReservesForShortTasks {
		return
	}
	running, waiting := make(map[cottonlanding.ServiceName]int), make(map[cottonlanding.ServiceName]int)
	for _, w := range c.sortedWorkers() {
		for _, r := range w.runs.all() {
			if r.task != nil && kindOf(r.step) == shortTask {
				running[w.info.Service]++
			}
		}
	}
	for _, j := range c.openJobs {
		if !j.hasLasting && j.rank.Class < 2 {
			waiting[j.queue.Service] += j.waitingShortTasks()
		}
	}
	for service := range waiting {
		if c.shortReserves[service] == nil {
			c.shortReserves[service] = &shortReserve{demand: reserver.New()}
		}
	}
	for service, reserve := range c.shortReserves {
		reserve.demand.Observe(running[service]+waiting[service], now)
		reserve.needed, reserve.free = reserve.demand.Needed(running[service], now), 0
	}
	for _, w := range c.sortedWorkers() {
		if reserve := c.shortReserves[w.info.Service]; reserve != nil && w.usable(now) {
			reserve.free += reserve.demand.Slots(c.room(w, now).free)
		}
	}
}

// waitingShortTasks counts the tasks of ready short steps that have no worker.
func (j *job) waitingShortTasks() int {
	count := 0
	for _, r := range j.rounds {
		for _, s := range r.steps {
			if s.ready && !s.finished() && kindOf(s.Step) == shortTask {
				count += s.waiting()
			}
		}
	}
	return count
}

// reservedForShortTasks reports whether a task would take room that short tasks need: it is a lasting one that never
// ran, of a workflow that has a run or can wait for one.
func (c *Cell) reservedForShortTasks(t *task, w *worker, now cottonlanding.Millis) bool {
	if !c.policy.ReservesForShortTasks || !t.neverRan() {
		return false
	}
	reserve := c.shortReserves[w.info.Service]
	if reserve == nil || reserve.needed == 0 {
		return false
	}
	if now-t.waitingSince >= nothingRunningTimeout && !t.job.anyRun() {
		return false
	}
	taken := reserve.slotsTaken(t, c.room(w, now).free)
	return taken > 0 && reserve.free-taken < reserve.needed
}

// slotsTaken returns how many slots a task takes on a worker.
func (s *shortReserve) slotsTaken(t *task, free cottonlanding.Resources) int {
	return s.demand.Slots(free) - s.demand.Slots(free.Minus(t.stage.Reserved()))
}

// recordPlacement updates the reserve of a service by a task that is being placed on a worker with the given room.
func (c *Cell) recordPlacement(t *task, w *worker, free cottonlanding.Resources) {
	reserve := c.shortReserves[w.info.Service]
	if reserve == nil || t.stage.Fills {
		return
	}
	reserve.free -= reserve.slotsTaken(t, free)
	if kindOf(t.stage.Step) == shortTask {
		reserve.demand.RecordSize(t.stage.Reserved())
		reserve.needed = max(0, reserve.needed-1)
	}
}
