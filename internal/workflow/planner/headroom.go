package planner

import (
	"math"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/throttler"
	"github.com/cottonlanding/cottonlanding/internal/workflow/budgeter"
)

// The decision Headroom determines how far filling tasks may raise the utilization of serving tasks. Where it limits
// starts, runs that no sample covers yet count at their full use, so that a burst of filling tasks is spread over
// several samples; and tasks that disturb start only where the budget lasts for their run.

// utilizationGoal returns the utilization up to which filling tasks that disturb may raise a serving task.
func (m *interference) utilizationGoal(r *run) float64 {
	return m.headroom.Goal(cottonlanding.ServingView{
		LatencyTarget: r.step.LatencyTarget, IdleTail: m.minTailOf(r), Spread: m.spreadOf(r.step.Image).Value(),
	})
}

// lightGoal returns the utilization that applies to light pairs and to trials under all variants of Headroom.
func (m *interference) lightGoal(r *run) float64 {
	return throttler.Fraction{}.Goal(cottonlanding.ServingView{LatencyTarget: r.step.LatencyTarget, IdleTail: m.minTailOf(r)})
}

// spreadOf returns the spread of the samples of a serving image. It is kept per image rather than per step, so that a
// new step of a known image has it at once.
func (m *interference) spreadOf(serving cottonlanding.Image) *budgeter.Spread {
	spread := m.spreads[serving]
	if spread == nil {
		spread = budgeter.NewSpread()
		m.spreads[serving] = spread
	}
	return spread
}

// anyDisturbing reports whether an image in use disturbs a serving one, or is untried beside it. The spread isn't measured
// then: an error of the weight would count as scatter, lower the goal, and keep the weight from being corrected.
func (m *interference) anyDisturbing(used map[cottonlanding.Image]float64, serving cottonlanding.Image) bool {
	for filling := range used {
		if m.untried(filling, serving) || m.weight(filling, serving) > cottonlanding.LightWeight {
			return true
		}
	}
	return false
}

// startBudget is what the serving tasks of one step on a worker leave to filling tasks that start there.
type startBudget struct {
	image cottonlanding.Image
	stage *stage
	// goal limits the tasks that disturb, target, the utilization at the latency target, all starts.
	goal, target float64
	// added is by how much the filling tasks on the worker raise the utilization, addedByDoubtful what those of heavy
	// pairs and those that no sample covers yet contribute to that. unsampled counts the latter.
	added, addedByDoubtful float64
	unsampled              int
}

// startBudget returns what a serving task leaves to filling tasks that start beside it.
func (m *interference) startBudget(s *run, filling []*run, capacity cottonlanding.Millicores) startBudget {
	out := startBudget{image: s.step.Image, stage: s.task.stage, goal: m.utilizationGoal(s), target: m.utilization(s, s.step.LatencyTarget)}
	for _, f := range filling {
		pair := m.pair(f.step.Image, s.step.Image)
		weight := m.policy.Weight(pair)
		doubtful := weight > cottonlanding.LightWeight
		if !f.coveredBy(s) {
			weight, doubtful = m.placementWeight(pair), true
			out.unsampled++
		}
		added := weight * f.share(capacity) * float64(f.paceGoal) / fullPace
		out.added += added
		if doubtful {
			out.addedByDoubtful += added
		}
	}
	return out
}

// coveredBy reports whether the last sample of a serving task was taken entirely while the filling run was known to
// run.
func (r *run) coveredBy(s *run) bool {
	return r.phase == started && s.sampledAt >= r.ackedAt+measurementSpan
}

// placementWeight returns the weight with which the start of a filling task is planned. A trial has its own limits, and
// its weight is that of the Disturbance policy.
func (m *interference) placementWeight(pair cottonlanding.PairView) float64 {
	weight := m.policy.Weight(pair)
	if m.policy.Untried(pair) {
		return weight
	}
	return m.headroom.PlacementWeight(weight, pair)
}

// recordStartBudget adds a budget, and merges it with that of another task of the same step.
func (r *room) recordStartBudget(budget startBudget) {
	for i := range r.startBudgets {
		if same := &r.startBudgets[i]; same.stage == budget.stage {
			same.added, same.addedByDoubtful = max(same.added, budget.added), max(same.addedByDoubtful, budget.addedByDoubtful)
			same.unsampled = max(same.unsampled, budget.unsampled)
			return
		}
	}
	r.startBudgets = append(r.startBudgets, budget)
}

// left returns by how much a filling task that disturbs may raise the utilization during a span. A load that still
// builds up is assumed to reach what serving tasks use on average.
func (b *startBudget) left(now, span cottonlanding.Millis) float64 {
	peak := b.stage.load.Max(now, now+span)
	if !b.stage.load.RampedUp(now) {
		peak = max(peak, defaultServingUse)
	}
	return b.goal - peak - b.added
}

// lastingPace returns the fraction of its full pace that a filling task could keep for its whole run.
func (c *Cell) lastingPace(w *worker, filling *stage, now cottonlanding.Millis) float64 {
	share := float64(filling.Resources.CPU) / float64(w.info.Capacity.CPU)
	span := c.policy.Headroom.PlacementSpan(filling.expectedTime())
	fraction := 1.0
	for _, b := range c.room(w, now).startBudgets {
		pair := c.interference.pair(filling.Image, b.image)
		if c.interference.policy.Weight(pair) > cottonlanding.LightWeight {
			fraction = min(fraction, budgeter.Fraction(b.left(now, span), c.interference.placementWeight(pair), share))
		}
	}
	return fraction
}

// heavyLeft returns by how much a filling task may raise the utilization of the serving tasks that it would disturb for
// its whole run. It is negative where they are over their goals without it.
func (c *Cell) heavyLeft(w *worker, filling *stage, now cottonlanding.Millis) float64 {
	span := c.policy.Headroom.PlacementSpan(filling.expectedTime())
	least := math.Inf(1)
	for _, b := range c.room(w, now).startBudgets {
		if c.interference.weight(filling.Image, b.image) > cottonlanding.LightWeight {
			least = min(least, b.left(now, span))
		}
	}
	return least
}

// awaitsSample reports whether a filling task must not start on a worker before the next sample: the runs there that no
// sample covers yet, and those that disturb, use up what the serving tasks leave until then. Light runs that samples
// cover don't count: they are part of what was measured, and counted they would cost light pairs 8 % of their throughput
// on full workers.
func (c *Cell) awaitsSample(w *worker, step cottonlanding.Step, now cottonlanding.Millis) bool {
	share := float64(step.Resources.CPU) / float64(w.info.Capacity.CPU)
	for _, b := range c.room(w, now).startBudgets {
		if b.unsampled == 0 {
			continue
		}
		left := b.target - b.stage.load.Max(now, now+paceLookahead) - b.addedByDoubtful
		if !budgeter.AllowsStart(left, c.interference.placementWeight(c.interference.pair(step.Image, b.image))*share, b.unsampled) {
			return true
		}
	}
	return false
}

// initialPace returns the pace with which a run starts on a worker. It applies until the first sample of the run.
func (c *Cell) initialPace(w *worker, filling *stage, now cottonlanding.Millis) int {
	if !filling.Fills || !c.policy.Headroom.LimitsStarts() {
		return fullPace
	}
	return budgeter.InitialPace(c.lastingPace(w, filling, now))
}

// recordSample counts a sample of a serving task.
func (c *Cell) recordSample(s *run, filling []*run) {
	c.counts.Samples++
	if s.tailLatency <= s.step.LatencyTarget {
		return
	}
	c.counts.SamplesOverTarget++
	for _, f := range filling {
		if f.used > 0 && c.interference.weight(f.step.Image, s.step.Image) > cottonlanding.LightWeight {
			c.counts.SamplesOverTargetBesideHeavy++
			return
		}
	}
}
