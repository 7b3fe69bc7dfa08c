package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// Lasting tasks that ran before must run again within a set time, while one that never ran holds its room for good.
// Where little room is left for lasting tasks, room is therefore reserved for those that ran before: they wait for
// their next run, or their run is probably lost. The latter are known early, since a worker that falls silent keeps
// its runs until its lease has expired, while a crashed one may be back long before.

// nearlyFullDivisor defines a cell as nearly full when lasting tasks leave less than capacity/nearlyFullDivisor.
// Tasks must start without waiting while less than half of the capacity is in use.
const nearlyFullDivisor = 2

// reservations holds the room that is reserved for lasting tasks that ran before.
type reservations struct {
	tasks []*task
	// rooms is the room that is left for them, by service.
	rooms map[cottonlanding.ServiceName]serviceRoom
}

// serviceRoom is the room of the usable workers of a service.
type serviceRoom struct {
	// left is the part of capacity that lasting tasks don't hold.
	left     cottonlanding.Resources
	capacity cottonlanding.Resources
}

// computeReservations recomputes what is reserved.
func (c *Cell) computeReservations(now cottonlanding.Millis) {
	c.reserved = reservations{}
	for _, j := range c.openJobs {
		if j.hasLasting {
			j.eachTask(c.recordReservation)
		}
	}
	if len(c.reserved.tasks) == 0 {
		return
	}
	c.reserved.rooms = make(map[cottonlanding.ServiceName]serviceRoom)
	for _, w := range c.sortedWorkers() {
		if w.usable(now) {
			room := c.reserved.rooms[w.info.Service]
			c.reserved.rooms[w.info.Service] = serviceRoom{room.left.Plus(w.roomBesideLasting()), room.capacity.Plus(w.info.Capacity)}
		}
	}
}

func (c *Cell) recordReservation(t *task) {
	if t.awaitsRun() {
		c.reserved.tasks = append(c.reserved.tasks, t)
	}
}

// awaitsRun reports whether a lasting task that ran before waits for its next run or is expected to: its run is
// being stopped, or its worker is silent.
func (t *task) awaitsRun() bool {
	if !t.stage.Lasting || t.stage.Fills || t.number == 0 {
		return false
	}
	if t.run == nil {
		return t.state == taskWaiting
	}
	return t.run.stopping || t.run.worker.pollFailed
}

// neverRan reports whether a lasting task was never placed.
func (t *task) neverRan() bool { return t.stage.Lasting && !t.stage.Fills && t.number == 0 }

// yieldsWithinStep reports whether room may be reserved for another task of the step of a task that never ran.
func (c *Cell) yieldsWithinStep(t *task) bool {
	return t.neverRan() && slices.ContainsFunc(c.reserved.tasks, func(other *task) bool {
		return other.stage == t.stage && other.awaitsRun()
	})
}

// reservedForOthers reports whether the room that a task would take on a worker is reserved: room is scarce, and
// another task could use this worker, now or once short tasks end there.
func (c *Cell) reservedForOthers(t *task, w *worker, now cottonlanding.Millis) bool {
	if len(c.reserved.tasks) == 0 || !t.neverRan() || !c.reserved.scarce(t) {
		return false
	}
	left := w.roomBesideLasting()
	return slices.ContainsFunc(c.reserved.tasks, func(other *task) bool {
		return other.precedes(t) && other.stage.Reserved().Fits(left) && c.allowed(other, w, now)
	})
}

// precedes reports whether a task that awaited its run at the start of this decision still does, and goes before
// one that never ran: it has the same service and is not less urgent.
func (t *task) precedes(newcomer *task) bool {
	queue, other := t.job.queue, newcomer.job.queue
	return t.awaitsRun() && queue.Service == other.Service && queue.Priority <= other.Priority
}

// scarce reports whether the service is nearly full and has less left than headroomFactor times what is reserved
// plus what the task needs.
func (r reservations) scarce(t *task) bool {
	if !r.nearlyFull(t) {
		return false
	}
	room := r.rooms[t.job.queue.Service]
	need := t.stage.Reserved()
	for _, other := range r.tasks {
		if other.precedes(t) {
			need = need.Plus(other.stage.Reserved())
		}
	}
	return !need.Times(headroomFactor).Fits(room.left)
}

// nearlyFull reports whether lasting tasks hold so much of the service's capacity that little is left.
func (r reservations) nearlyFull(t *task) bool {
	room := r.rooms[t.job.queue.Service]
	return !room.capacity.Fits(room.left.Times(nearlyFullDivisor))
}

// deduct removes the resources of a lasting task that was placed from what is left.
func (r reservations) deduct(t *task) {
	room, known := r.rooms[t.job.queue.Service]
	if known && t.stage.Lasting && !t.stage.Fills {
		room.left = room.left.Minus(t.stage.Reserved())
		r.rooms[t.job.queue.Service] = room
	}
}
