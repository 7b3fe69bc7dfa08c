package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// free returns the room that no run holds.
func (w *worker) free() cottonlanding.Resources {
	free := w.info.Capacity
	for _, r := range w.runs.all() {
		free = free.Minus(r.step.Reserved())
	}
	return free
}

// room is what is left of a worker.
type room struct {
	// free is the room that no run holds.
	free cottonlanding.Resources
	// spare is the processors that all runs are expected to leave unused.
	spare cottonlanding.Millicores
	// hasTrial says that a hasTrial runs there, calm that the serving tasks can bear one.
	hasTrial, calm bool
	// slacks tells for each serving image how much busier its tasks may become.
	slacks []imageSlack
	// stopping is what runs hold that are being stopped, yields what others hold that
	// could give way, by the priority of their queue.
	stopping         cottonlanding.Resources
	preemptibleRooms []preemptibleRoom
}

// preemptibleRoom is the room of the runs of one priority that could give way.
type preemptibleRoom struct {
	priority int
	held     cottonlanding.Resources
}

type imageSlack struct {
	image cottonlanding.Image
	slack float64
}

func (r room) serves(image cottonlanding.Image) bool {
	return slices.ContainsFunc(r.slacks, func(s imageSlack) bool { return s.image == image })
}

// maxRoomAge is how old a measured room may be: the loads of serving tasks move by
// less than a hundredth meanwhile. What changes the runs makes it be measured at once.
const maxRoomAge = 100 * cottonlanding.Millis(1)

// room returns what is left of a worker.
func (c *Cell) room(w *worker, now cottonlanding.Millis) *room {
	if w.roomMeasuredAt > 0 && now-w.roomMeasuredAt < maxRoomAge {
		return &w.room
	}
	w.roomMeasuredAt = now
	w.room = room{free: w.free(), spare: w.spare()}
	for _, r := range w.runs.all() {
		w.room.recordPreemptible(r)
	}
	serving, filling := w.servingAndFilling()
	w.room.hasTrial, w.room.calm = c.includesTrial(serving, filling), c.calm(serving)
	for _, s := range serving {
		w.room.recordSlack(s.step.Image, c.interference.slack(s, filling, w.info.Capacity.CPU, now))
	}
	return &w.room
}

// recordPreemptible adds what a run would leave.
func (r *room) recordPreemptible(of *run) {
	switch {
	case of.stopping:
		r.stopping = r.stopping.Plus(of.step.Reserved())
		return
	case !of.preemptible():
		return
	}
	priority := of.task.job.queue.Priority
	for i := range r.preemptibleRooms {
		if r.preemptibleRooms[i].priority == priority {
			r.preemptibleRooms[i].held = r.preemptibleRooms[i].held.Plus(of.step.Reserved())
			return
		}
	}
	r.preemptibleRooms = append(r.preemptibleRooms, preemptibleRoom{priority, of.step.Reserved()})
}

// withPreemption returns the room for a task of a priority if all that could give way did.
func (r *room) withPreemption(priority int) cottonlanding.Resources {
	sum := r.free.Plus(r.stopping)
	for _, y := range r.preemptibleRooms {
		if y.priority > priority {
			sum = sum.Plus(y.held)
		}
	}
	return sum
}

// recordSlack keeps the least slack of each image.
func (r *room) recordSlack(image cottonlanding.Image, slack float64) {
	for i := range r.slacks {
		if r.slacks[i].image == image {
			r.slacks[i].slack = min(r.slacks[i].slack, slack)
			return
		}
	}
	r.slacks = append(r.slacks, imageSlack{image, slack})
}
