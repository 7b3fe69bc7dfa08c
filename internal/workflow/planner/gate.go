package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// gate is what rules a worker out for a task now, by the first check that does.
type gate int

const (
	// noGate lets the worker take the task.
	noGate gate = iota
	// unusableGate keeps everything off the worker: it is silent, leaving, evacuated or has just refused a start.
	unusableGate
	// barredGate is the worker's service or label, or the bound of tasks of the step on one worker.
	barredGate
	// fullGate is too little room.
	fullGate
	// keptForOtherGate keeps the room for a task that has waited for long.
	keptForOtherGate
	// keptApartGate keeps tasks apart of which one may crash its worker.
	keptApartGate
	// dueGate leaves the room to lasting tasks that have run.
	dueGate
	// disturbGate keeps a filling task off serving ones.
	disturbGate
	gates
)

// gate returns what rules a worker out for a task. The cheap checks come first.
func (c *Cell) gate(t *task, w *worker, now cottonlanding.Millis) gate {
	room := c.room(w, now)
	switch {
	case !w.usable(now):
		return unusableGate
	case !w.suits(t):
		return barredGate
	case !t.stage.Reserved().Fits(room.free):
		return fullGate
	case w.boundReached(t):
		return barredGate
	case w.keptFrom(t, now):
		return keptForOtherGate
	case c.keptApart(t, w, now):
		return keptApartGate
	case c.isDue(t, w, now):
		return dueGate
	case t.stage.Fills && !c.bears(t, w, now):
		return disturbGate
	}
	return noGate
}

// suits reports whether the worker is of the task's service and has the label that it requires.
func (w *worker) suits(t *task) bool {
	requires := t.stage.Requires
	return w.info.Service == t.job.queue.Service && (requires == "" || slices.Contains(w.info.Labels, requires))
}

// boundReached reports whether the worker has as many tasks of the step as it may.
func (w *worker) boundReached(t *task) bool {
	most := t.stage.MostPerWorker
	return most > 0 && w.countOf(t.ref) >= most
}

// bears reports whether a filling task would get most of its processors on a worker without disturbing others.
func (c *Cell) bears(t *task, w *worker, now cottonlanding.Millis) bool {
	enough := float64(c.room(w, now).spare) >= leastFillShare*float64(t.stage.Resources.CPU)
	return enough && c.bearable(w, t.stage.Step, now) >= leastPart
}

// countGates counts the workers by what rules them out for a task. It leaves no newer measure of their room behind,
// so that what is logged changes no decision.
func (c *Cell) countGates(t *task, now cottonlanding.Millis) [gates]int {
	var counts [gates]int
	for _, w := range c.sortedWorkers() {
		room, measuredAt := w.room, w.measuredAt
		counts[c.gate(t, w, now)]++
		w.room, w.measuredAt = room, measuredAt
	}
	return counts
}
