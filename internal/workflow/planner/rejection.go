package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// rejection is what rules a worker out for a task now, by the first check that does.
type rejection int

const (
	// notRejected lets the worker take the task.
	notRejected rejection = iota
	// rejectedUnusable keeps everything off the worker: it is silent, leaving, evacuated or has just refused a start.
	rejectedUnusable
	// rejectedBarred is the worker's service or label, or the bound of tasks of the step on one worker.
	rejectedBarred
	// rejectedFull is too little room.
	rejectedFull
	// rejectedHeld keeps the room for a task that has waited for long.
	rejectedHeld
	// rejectedIsolated keeps tasks apart of which one may crash its worker.
	rejectedIsolated
	// rejectedReserved leaves the room to lasting tasks that have run.
	rejectedReserved
	// rejectedDisturbing keeps a filling task off serving ones.
	rejectedDisturbing
	rejections
)

// rejection returns what rules a worker out for a task. The cheap checks come first.
func (c *Cell) rejection(t *task, w *worker, now cottonlanding.Millis) rejection {
	room := c.room(w, now)
	switch {
	case !w.usable(now):
		return rejectedUnusable
	case !w.meetsRequirements(t):
		return rejectedBarred
	case !t.stage.Reserved().Fits(room.free):
		return rejectedFull
	case w.atStepLimit(t):
		return rejectedBarred
	case w.heldFrom(t, now):
		return rejectedHeld
	case c.blockedByIsolation(t, w, now):
		return rejectedIsolated
	case c.reservedForOthers(t, w, now):
		return rejectedReserved
	case t.stage.Fills && !c.acceptsFilling(t, w, now):
		return rejectedDisturbing
	}
	return notRejected
}

// meetsRequirements reports whether the worker is of the task's service and has the label that it requires.
func (w *worker) meetsRequirements(t *task) bool {
	requires := t.stage.Requires
	return w.info.Service == t.job.queue.Service && (requires == "" || slices.Contains(w.info.Labels, requires))
}

// atStepLimit reports whether the worker has as many tasks of the step as it may.
func (w *worker) atStepLimit(t *task) bool {
	most := t.stage.MostPerWorker
	return most > 0 && w.runsOfStep(t.ref) >= most
}

// acceptsFilling reports whether a filling task would get most of its processors on a worker without disturbing others.
func (c *Cell) acceptsFilling(t *task, w *worker, now cottonlanding.Millis) bool {
	enough := float64(c.room(w, now).spare) >= minFillingShare*float64(t.stage.Resources.CPU)
	return enough && c.sustainablePace(w, t.stage.Step, now) >= minPaceFraction
}

// countRejections counts the workers by what rules them out for a task. It leaves no newer measure of their room behind,
// so that what is logged changes no decision.
func (c *Cell) countRejections(t *task, now cottonlanding.Millis) [rejections]int {
	var counts [rejections]int
	for _, w := range c.sortedWorkers() {
		room, roomMeasuredAt := w.room, w.roomMeasuredAt
		counts[c.rejection(t, w, now)]++
		w.room, w.roomMeasuredAt = room, roomMeasuredAt
	}
	return counts
}
