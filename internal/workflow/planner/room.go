package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// free returns the resources that no run holds.
func (w *worker) free() cottonlanding.Resources {
	free := w.info.Capacity
	for _, r := range w.runs.all() {
		free = free.Minus(r.step.Reserved())
	}
	return free
}

// room is what is left of a worker's capacity.
type room struct {
	// free is the resources that no run holds.
	free cottonlanding.Resources
	// spare is the CPU that all runs are expected to leave unused.
	spare cottonlanding.Millicores
	// hasTrial says that a trial runs on the worker, hasTrialHeadroom that all its serving tasks are below their
	// utilization goals by trialHeadroom.
	hasTrial, hasTrialHeadroom bool
	// slacks holds for each serving image by how much the load of its tasks may grow.
	slacks []imageSlack
	// startBudgets holds what the serving steps leave to filling tasks that start, if Headroom limits starts.
	startBudgets []startBudget
	// stopping is held by runs that are being stopped, preemptibleRooms by runs that could be stopped, by the
	// priority of their queue.
	stopping         cottonlanding.Resources
	preemptibleRooms []preemptibleRoom
}

// preemptibleRoom is the resources of the preemptible runs of one priority.
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

// maxRoomAge is how long a computed room may be reused: loads of serving tasks change by less than a hundredth
// within it. Changes of a worker's runs invalidate it at once.
const maxRoomAge = 100 * cottonlanding.Millis(1)

// room returns what is left of a worker, at most maxRoomAge old.
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
	w.room.hasTrial, w.room.hasTrialHeadroom = c.includesTrial(serving, filling), c.hasTrialHeadroom(serving)
	for _, s := range serving {
		if c.policy.Headroom.LimitsStarts() {
			w.room.recordSlack(s.step.Image, 0) // startBudgets are used instead
			w.room.recordStartBudget(c.interference.startBudget(s, filling, w.info.Capacity.CPU))
			continue
		}
		w.room.recordSlack(s.step.Image, c.interference.slack(s, filling, w.info.Capacity.CPU, now))
	}
	return &w.room
}

// recordPreemptible adds the resources that stopping a run would free.
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

// withPreemption returns the room for a task of a priority if all runs of less urgent queues were stopped.
func (r *room) withPreemption(priority int) cottonlanding.Resources {
	sum := r.free.Plus(r.stopping)
	for _, y := range r.preemptibleRooms {
		if y.priority > priority {
			sum = sum.Plus(y.held)
		}
	}
	return sum
}

// recordSlack keeps the smallest slack of each image.
func (r *room) recordSlack(image cottonlanding.Image, slack float64) {
	for i := range r.slacks {
		if r.slacks[i].image == image {
			r.slacks[i].slack = min(r.slacks[i].slack, slack)
			return
		}
	}
	r.slacks = append(r.slacks, imageSlack{image, slack})
}
