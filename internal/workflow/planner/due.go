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

// littlePart is the part of a cell's room, as a divisor, below which what lasting tasks leave is
// little. Source: the rule that asks for a start of whatever waits while less than half is in use.
const littlePart = 2

// dues is what is due to lasting tasks that have run.
type dues struct {
	tasks []*task
	// rooms is what is left for them, by service.
	rooms map[cottonlanding.ServiceName]lastingRoom
}

// lastingRoom is the room of the usable workers of a service.
type lastingRoom struct {
	// left is what lasting tasks leave of capacity.
	left     cottonlanding.Resources
	capacity cottonlanding.Resources
}

// reckonDues works out anew what is due.
func (c *Cell) reckonDues(now cottonlanding.Millis) {
	c.reserved = dues{}
	for _, j := range c.openJobs {
		if j.hasLasting {
			j.eachTask(c.recordDue)
		}
	}
	if len(c.reserved.tasks) == 0 {
		return
	}
	c.reserved.rooms = make(map[cottonlanding.ServiceName]lastingRoom)
	for _, w := range c.sortedWorkers() {
		if w.usable(now) {
			room := c.reserved.rooms[w.info.Service]
			c.reserved.rooms[w.info.Service] = lastingRoom{room.left.Plus(w.passing()), room.capacity.Plus(w.info.Capacity)}
		}
	}
}

func (c *Cell) recordDue(t *task) {
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
	return t.run.stopping || t.run.worker.failed
}

// isNewcomer reports whether a lasting task never ran.
func (t *task) isNewcomer() bool { return t.stage.Lasting && !t.stage.Fills && t.number == 0 }

// yieldsInStep reports whether room may be due to another task of a newcomer's step.
func (c *Cell) yieldsInStep(t *task) bool {
	return t.isNewcomer() && slices.ContainsFunc(c.reserved.tasks, func(other *task) bool {
		return other.stage == t.stage && other.awaitsRun()
	})
}

// isDue reports whether the room that a task would take on a worker is due to others: little is
// left for all of them, and one of them could use it, now or once short tasks end there.
func (c *Cell) isDue(t *task, w *worker, now cottonlanding.Millis) bool {
	if len(c.reserved.tasks) == 0 || !t.isNewcomer() || !c.reserved.tight(t) {
		return false
	}
	left := w.passing()
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

// tight reports whether little is left for lasting tasks, and not several times what is due and
// what the task needs.
func (d dues) tight(t *task) bool {
	if !d.little(t) {
		return false
	}
	room := d.rooms[t.job.queue.Service]
	need := t.stage.Reserved()
	for _, other := range d.tasks {
		if other.precedes(t) {
			need = need.Plus(other.stage.Reserved())
		}
	}
	return !need.Times(roomFactor).Fits(room.left)
}

// little reports whether lasting tasks hold so much that little is left for others.
func (d dues) little(t *task) bool {
	room := d.rooms[t.job.queue.Service]
	return !room.capacity.Fits(room.left.Times(littlePart))
}

// recordTaken takes in that a lasting task was given room.
func (d dues) recordTaken(t *task) {
	room, known := d.rooms[t.job.queue.Service]
	if known && t.stage.Lasting && !t.stage.Fills {
		room.left = room.left.Minus(t.stage.Reserved())
		d.rooms[t.job.queue.Service] = room
	}
}
