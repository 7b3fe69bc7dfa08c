package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A lasting task that has run is missed by its users, and there is a time by which it must run
// again. One that never ran holds the room that it gets for good. So where little room is left
// for lasting tasks, such newcomers take none that is due to tasks that have run: those that wait
// for their next run, and those whose run will surely or probably be lost. The latter are known
// some seconds before: a worker that falls silent keeps its runs until its lease has run out, and
// what has crashed may be back long before that.

// nearlyFullDivisor is the part of a cell's room, as a divisor, below which what lasting tasks leave is
// little. Source: the rule that asks for a start of whatever waits while less than half is in use.
const nearlyFullDivisor = 2

// reservations is what is due to lasting tasks that have run.
type reservations struct {
	tasks []*task
	// rooms is what is left for them, by service.
	rooms map[cottonlanding.ServiceName]serviceRoom
}

// serviceRoom is the room of the usable workers of a service.
type serviceRoom struct {
	// left is what lasting tasks leave of capacity.
	left     cottonlanding.Resources
	capacity cottonlanding.Resources
}

// computeReservations works out anew what is due.
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

// awaitsRun reports whether a lasting task that has run waits for its next run, or will as far as
// is known: its run is being stopped, or its worker is silent.
func (t *task) awaitsRun() bool {
	if !t.stage.Lasting || t.stage.Fills || t.number == 0 {
		return false
	}
	if t.run == nil {
		return t.state == taskWaiting
	}
	return t.run.stopping || t.run.worker.pollFailed
}

// neverRan reports whether a lasting task never ran.
func (t *task) neverRan() bool { return t.stage.Lasting && !t.stage.Fills && t.number == 0 }

// yieldsWithinStep reports whether room may be due to another task of a newcomer's step.
func (c *Cell) yieldsWithinStep(t *task) bool {
	return t.neverRan() && slices.ContainsFunc(c.reserved.tasks, func(other *task) bool {
		return other.stage == t.stage && other.awaitsRun()
	})
}

// reservedForOthers reports whether the room that a task would take on a worker is due to others: little is
// left for all of them, and one of them could use it, now or once short tasks end there.
func (c *Cell) reservedForOthers(t *task, w *worker, now cottonlanding.Millis) bool {
	if len(c.reserved.tasks) == 0 || !t.neverRan() || !c.reserved.scarce(t) {
		return false
	}
	left := w.roomBesideLasting()
	return slices.ContainsFunc(c.reserved.tasks, func(other *task) bool {
		return other.precedes(t) && other.stage.Reserved().Fits(left) && c.allowed(other, w, now)
	})
}

// precedes reports whether a task that awaited its run in this decision still does, and goes
// before a newcomer: it is of the same service and not less urgent.
func (t *task) precedes(newcomer *task) bool {
	queue, other := t.job.queue, newcomer.job.queue
	return t.awaitsRun() && queue.Service == other.Service && queue.Priority <= other.Priority
}

// scarce reports whether little is left for lasting tasks, and not several times what is due and
// what the task needs.
func (d reservations) scarce(t *task) bool {
	if !d.nearlyFull(t) {
		return false
	}
	room := d.rooms[t.job.queue.Service]
	need := t.stage.Reserved()
	for _, other := range d.tasks {
		if other.precedes(t) {
			need = need.Plus(other.stage.Reserved())
		}
	}
	return !need.Times(headroomFactor).Fits(room.left)
}

// nearlyFull reports whether lasting tasks hold so much that nearlyFull is left for others.
func (d reservations) nearlyFull(t *task) bool {
	room := d.rooms[t.job.queue.Service]
	return !room.capacity.Fits(room.left.Times(nearlyFullDivisor))
}

// deduct takes in that a lasting task was given room.
func (d reservations) deduct(t *task) {
	room, known := d.rooms[t.job.queue.Service]
	if known && t.stage.Lasting && !t.stage.Fills {
		room.left = room.left.Minus(t.stage.Reserved())
		d.rooms[t.job.queue.Service] = room
	}
}
