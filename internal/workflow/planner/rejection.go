package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// rejection is the first check by which a worker is rejected for a task.
type rejection int

const (
	// notRejected means that the worker can take the task.
	notRejected rejection = iota
	// rejectedUnusable applies to all tasks: the worker is silent, leaving, evacuated or has just refused a
	// start.
	rejectedUnusable
	// rejectedBarred means that the service or a label doesn't match, or that the worker has as many tasks of the
	// step as allowed.
	rejectedBarred
	// rejectedFull means too little room.
	rejectedFull
	// rejectedHeld means that the worker is held for a task that has waited long.
	rejectedHeld
	// rejectedIsolated separates tasks of which one may crash its worker.
	rejectedIsolated
	// rejectedReserved leaves the room to lasting tasks that ran before, or to short ones.
	rejectedReserved
	// rejectedDisturbing means that a filling task would disturb serving ones.
	rejectedDisturbing
	// rejectedUntilSample spreads the starts of filling tasks beside serving ones over several samples.
	rejectedUntilSample
	rejections
)

// rejection returns why a worker is rejected for a task. Cheap checks come first.
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
	case c.reservedForOthers(t, w, now), c.reservedForShortTasks(t, w, now):
		return rejectedReserved
	case t.stage.Fills && !c.acceptsFilling(t, w, now):
		return rejectedDisturbing
	case t.stage.Fills && c.awaitsSample(w, t.stage.Step, now):
		return rejectedUntilSample
	}
	return notRejected
}

// meetsRequirements reports whether the worker belongs to the task's service and has the required label.
func (w *worker) meetsRequirements(t *task) bool {
	requires := t.stage.Requires
	return w.info.Service == t.job.queue.Service && (requires == "" || slices.Contains(w.info.Labels, requires))
}

// atStepLimit reports whether the worker has as many tasks of the step as MostPerWorker allows.
func (w *worker) atStepLimit(t *task) bool {
	most := t.stage.MostPerWorker
	return most > 0 && w.runsOfStep(t.ref) >= most
}

// acceptsFilling reports whether a filling task would get most of its CPU on a worker without disturbing others.
func (c *Cell) acceptsFilling(t *task, w *worker, now cottonlanding.Millis) bool {
	enough := float64(c.room(w, now).spare) >= minFillingShare*float64(t.stage.Resources.CPU)
	return enough && c.sustainablePace(w, t.stage, now) >= minPaceFraction
}

// countRejections counts the workers by why they are rejected for a task. It restores their cached room afterwards,
// so that logging does not change decisions.
func (c *Cell) countRejections(t *task, now cottonlanding.Millis) [rejections]int {
	var counts [rejections]int
	for _, w := range c.sortedWorkers() {
		room, roomMeasuredAt := w.room, w.roomMeasuredAt
		counts[c.rejection(t, w, now)]++
		w.room, w.roomMeasuredAt = room, roomMeasuredAt
	}
	return counts
}
