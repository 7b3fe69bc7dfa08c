package planner

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// fullPace is the pace of a run that nobody slowed, in percent.
	fullPace = 100
	// unknownPace is that of a filling run whose last order of pace may not have
	// arrived, or came from an owner before.
	unknownPace = -1
	// resendPaceAfter is when a pace is ordered once more after an order got no answer:
	// workers were seen to carry out such orders up to twelve seconds later.
	resendPaceAfter = 12500 * cottonlanding.Millis(1)
	// minPaceChange is the least change of pace that is worth an order.
	minPaceChange = 15
	// minPace is the lowest pace above standing still.
	minPace = 15
	// maxPaceRise is the most by which a pace rises at a time, so that a rough figure
	// does no harm before the next one.
	maxPaceRise = 40
	// pausedTimeout is how long a filling task stands still before it is moved. A step ends
	// with its last task: with a tenth of the tasks standing still, nearly each step of twenty
	// has such a one, and a task takes two seconds. It outlasts a figure that was wrong, of
	// half a second.
	pausedTimeout = 700 * cottonlanding.Millis(1)
	// maxDiscardedPercent is the progress, in percent, up to which a run without checkpoints
	// is thrown away for a better place.
	maxDiscardedPercent = 30
)

// controlPace sets the paces of the filling tasks on a worker so that the serving
// tasks beside them stay below their aims. Those that disturb the least go first.
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

// resendPace has the pace ordered once more when a late copy of an older order
// may have changed it.
func (r *run) resendPace(now cottonlanding.Millis) {
	if r.resendPaceAt > 0 && now >= r.resendPaceAt {
		r.pace, r.resendPaceAt = unknownPace, 0
		r.worker.ordersDue = true
	}
}

// budget is how much busier filling tasks may make one serving task: heavy ones,
// and light ones by themselves.
type budget struct {
	heavy float64
	light float64
}

// fraction returns the fraction of its use that the budget leaves to a filling task.
func (b budget) fraction(weight, share float64) float64 {
	if weight > cottonlanding.LightWeight {
		return max(b.heavy, 0) / (weight*share + minUsage)
	}
	return max(b.light, 0) / (weight*share + minUsage)
}

// consume takes what a filling task uses from the budget.
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

// setPace changes the pace that a run should have, if that is worth an order, and
// moves a run that has stood still for long.
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

// worthMoving reports whether a filling run could work elsewhere, and is cheap to move.
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
