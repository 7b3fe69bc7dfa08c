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
	// slacks tells for each serving image how much busier its tasks may become.
	slacks []imageSlack
}

type imageSlack struct {
	image cottonlanding.Image
	slack float64
}

func (r room) serves(image cottonlanding.Image) bool {
	return slices.ContainsFunc(r.slacks, func(s imageSlack) bool { return s.image == image })
}

// roomAge is how old a measured room may be: the loads of serving tasks move by
// less than a hundredth meanwhile. What changes the runs makes it be measured at once.
const roomAge = 100 * cottonlanding.Millis(1)

// room returns what is left of a worker.
func (c *Cell) room(w *worker, now cottonlanding.Millis) *room {
	if w.measuredAt > 0 && now-w.measuredAt < roomAge {
		return &w.room
	}
	w.measuredAt = now
	w.room = room{free: w.free(), spare: w.spare()}
	serving, filling := w.servingAndFilling()
	for _, s := range serving {
		w.room.note(s.step.Image, c.pressure.slack(s, filling, w.info.Capacity.CPU, now))
	}
	return &w.room
}

// note keeps the least slack of each image.
func (r *room) note(image cottonlanding.Image, slack float64) {
	for i := range r.slacks {
		if r.slacks[i].image == image {
			r.slacks[i].slack = min(r.slacks[i].slack, slack)
			return
		}
	}
	r.slacks = append(r.slacks, imageSlack{image, slack})
}
