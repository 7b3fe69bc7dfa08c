package planner

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// fullPace is the pace of an unthrottled run, in percent.
	fullPace = 100
	// unknownPace is the pace of a filling run whose last pace order may not have arrived, or came from a previous
	// owner.
	unknownPace = -1
	// resendPaceAfter is when a pace is ordered again after an order without an answer. Workers may carry out such an
	// order up to twelve seconds later.
	resendPaceAfter = 12500 * cottonlanding.Millis(1)
	// minPaceChange is the smallest change of pace that is worth an order, in percentage points.
	minPaceChange = 15
	// minPace is the lowest pace above zero, in percent.
	minPace = 15
	// maxPaceRise is the largest rise of a pace at a time, in percentage points: it limits the harm of a rough
	// measurement until the next one.
	maxPaceRise = 40
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
	budgets := make([]budget, len(serving))
	w.overTarget = c.includesTrial(serving, filling)
	for i, s := range serving {
		budgets[i] = c.interference.budget(s, filling, w.info.Capacity.CPU, now)
		w.overTarget = w.overTarget || c.interference.utilization(s, s.tailLatency) > c.interference.utilizationGoal(s)
	}
	slices.SortStableFunc(filling, func(a, b *run) int {
		return cmp.Compare(c.maxWeight(a, serving), c.maxWeight(b, serving))
	})
	for _, f := range filling {
		f.resendPace(now)
		share := f.share(w.info.Capacity.CPU)
		fraction := 1.0
		for i, s := range serving {
			fraction = min(fraction, budgets[i].fraction(c.interference.weight(f.step.Image, s.step.Image), share))
		}
		c.setPace(f, int(fraction*fullPace), now)
		for i, s := range serving {
			budgets[i].consume(c.interference.weight(f.step.Image, s.step.Image), share*float64(f.paceGoal)/fullPace)
		}
	}
}

// resendPace orders the pace again when a late copy of an older order may have changed it.
func (r *run) resendPace(now cottonlanding.Millis) {
	if r.resendPaceAt > 0 && now >= r.resendPaceAt {
		r.pace, r.resendPaceAt = unknownPace, 0
		r.worker.ordersDue = true
	}
}

// budget is by how much filling tasks may raise the utilization of one serving task: heavy limits those above
// LightWeight, light the others.
type budget struct {
	heavy float64
	light float64
}

// fraction returns the fraction of its full use that the budget leaves to a filling task.
func (b budget) fraction(weight, share float64) float64 {
	if weight > cottonlanding.LightWeight {
		return max(b.heavy, 0) / (weight*share + minUsage)
	}
	return max(b.light, 0) / (weight*share + minUsage)
}

// consume subtracts what a filling task uses from the budget.
func (b *budget) consume(weight, share float64) {
	b.heavy -= weight * share
	b.light -= weight * share
}

func (c *Cell) maxWeight(f *run, serving []*run) float64 {
	worst := 0.0
	for _, s := range serving {
		worst = max(worst, c.interference.weight(f.step.Image, s.step.Image))
	}
	return worst
}

// setPace changes the target pace of a run if the change is worth an order, and moves a run that was paused for
// pausedTimeout.
func (c *Cell) setPace(f *run, pace int, now cottonlanding.Millis) {
	pace = min(pace, f.paceGoal+maxPaceRise)
	if pace < minPace {
		pace = 0
	}
	change := pace - f.paceGoal
	if change < 0 || change >= minPaceChange || change > 0 && pace == fullPace {
		c.log.Debug("pace", "Task", f.Task.String(), "Worker", f.worker.info.ID, "From", f.paceGoal, "To", pace)
		if pace == 0 && f.paceGoal > 0 {
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
