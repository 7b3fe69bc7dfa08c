package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/budgeter"
)

const (
	// fullPace is the pace of an unthrottled run, in percent.
	fullPace = budgeter.FullPace
	// unknownPace is the pace of a filling run whose last pace order may not have arrived, or came from a previous
	// owner.
	unknownPace = -1
	// resendPaceAfter is when a pace is ordered again after an order without an answer. Workers may carry out such an
	// order up to twelve seconds later.
	resendPaceAfter = 12500 * cottonlanding.Millis(1)
	// pausedTimeout is how long a filling task is paused before it is moved. A step ends with its last task: if a
	// tenth of all tasks are paused, most steps of twenty tasks contain one, and a task takes two seconds. The timeout
	// is longer than a wrong measurement lasts, which is half a second.
	pausedTimeout = 700 * cottonlanding.Millis(1)
	// maxDiscardedPercent is the progress, in percent, up to which a run without checkpoints is discarded to be
	// moved.
	maxDiscardedPercent = 30
)

// controlPace sets the paces of the filling tasks on a worker so that the serving tasks there stay below their
// utilization goals. Filling tasks that interfere least are served first.
func (c *Cell) controlPace(w *worker, now cottonlanding.Millis) {
	serving, filling := w.servingAndFilling()
	c.learnInterference(w, serving, filling, now)
	if len(filling) == 0 {
		return
	}
	tasks := make([]budgeter.Task, len(filling))
	added := make([]float64, len(serving))
	for i, f := range filling {
		f.resendPace(now)
		tasks[i] = budgeter.Task{Weights: make([]float64, len(serving)), Share: f.share(w.info.Capacity.CPU), Pace: f.paceGoal}
		for at, s := range serving {
			weight := c.interference.weight(f.step.Image, s.step.Image)
			tasks[i].Weights[at] = weight
			added[at] += weight * float64(f.used) / float64(w.info.Capacity.CPU)
		}
	}
	c.watchClosely(w, serving, filling, tasks)
	budgets := make([]budgeter.Budget, len(serving))
	for at, s := range serving {
		budgets[at] = c.interference.budget(s, added[at], now)
	}
	budgeter.SetPaces(budgets, tasks)
	for i, f := range filling {
		c.setPace(f, tasks[i].Pace, now)
	}
}

// watchClosely has the worker polled often while a serving task exceeds the utilization goal that applies to the filling
// tasks beside it, or while a trial runs there.
func (c *Cell) watchClosely(w *worker, serving, filling []*run, tasks []budgeter.Task) {
	w.overTarget = c.includesTrial(serving, filling)
	for at, s := range serving {
		goal := c.interference.lightGoal(s)
		if slices.ContainsFunc(tasks, func(t budgeter.Task) bool { return t.Weights[at] > cottonlanding.LightWeight }) {
			goal = c.interference.utilizationGoal(s)
		}
		w.overTarget = w.overTarget || c.interference.utilization(s, s.tailLatency) > goal
	}
}

// resendPace orders the pace again when a late copy of an older order may have changed it.
func (r *run) resendPace(now cottonlanding.Millis) {
	if r.resendPaceAt > 0 && now >= r.resendPaceAt {
		r.pace, r.resendPaceAt = unknownPace, 0
		r.worker.ordersDue = true
	}
}

// setPace changes the target pace of a run, and moves a run that was paused for pausedTimeout.
func (c *Cell) setPace(f *run, pace int, now cottonlanding.Millis) {
	if pace != f.paceGoal {
		c.log.Debug("pace", "Task", f.Task.String(), "Worker", f.worker.info.ID, "From", f.paceGoal, "To", pace)
		if pace == 0 {
			f.paceSince = now
		}
		f.paceGoal = pace
		f.worker.ordersDue = true
	}
	if f.paceGoal == 0 && now-f.paceSince > pausedTimeout && f.task != nil && c.worthMoving(f, now) {
		c.stop(f, "it disturbs what serves beside it", now)
	}
}

// worthMoving reports whether a filling run would fit on another worker and loses little by moving.
func (c *Cell) worthMoving(f *run, now cottonlanding.Millis) bool {
	if !f.step.Checkpoints && f.percent > maxDiscardedPercent {
		return false
	}
	for _, w := range c.sortedWorkers() {
		if w != f.worker && c.fits(f.task, w, now) {
			return true
		}
	}
	return false
}

// maxWeight returns the largest weight of a filling task for the serving ones beside it.
func (c *Cell) maxWeight(f *run, serving []*run) float64 {
	worst := 0.0
	for _, s := range serving {
		worst = max(worst, c.interference.weight(f.step.Image, s.step.Image))
	}
	return worst
}
