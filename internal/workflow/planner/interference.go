package planner

import (
	"math"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/forecaster"
)

// Serving tasks answer requests of their own users; their tail latency grows with their utilization as that of a queue
// does: tail = minTail / (1 - utilization). Filling tasks on the same worker raise the utilization in proportion to the
// processors that they use, by a weight that depends on both images. The weight is learnt for each pair of images from
// the measurements of all workers.

const (
	// initialWeight is the weight assumed for a pair without measurements.
	initialWeight = 1.5
	// measurementSpan is the time that a worker's measurement covers.
	measurementSpan = 450 * cottonlanding.Millis(1)
	// paceLookahead and placementLookahead are how far a load is predicted when a pace is set, until the next
	// measurement, and when a task is placed, for most of its run.
	paceLookahead      = cottonlanding.Second
	placementLookahead = 2500 * cottonlanding.Millis(1)
	// modelError is the relative error of the interference that the model predicts.
	modelError = 0.3
	// minUsage is the fraction of a worker below which filling tasks count as idle. It is also added to divisors that
	// may be zero.
	minUsage = 0.005
	// maxComparableUtilization is the utilization up to which a measurement is used: above, the tail latency says
	// little.
	maxComparableUtilization = 0.95
	// latencyGoalFraction is the fraction of its latency target at which a serving task is kept, so that swings of its
	// load stay below the target. docs/EXPERIMENTS.md compares 0.75, 0.85 and 0.95.
	latencyGoalFraction = 0.85
	// placementMargin is by how much the utilization of a serving task must be below its limit for another filling
	// task to be placed beside it.
	placementMargin = 0.03
	// overTargetTimeout is how long a serving task may exceed its target before light filling tasks are stopped too.
	// It leaves time before the excess counts as harm.
	overTargetTimeout = 900 * cottonlanding.Millis(1)
	// overshootCorrection is the factor by which an excess is corrected, so that the next measurement is below the
	// goal although the load rises.
	overshootCorrection = 2.0
	// minPaceFraction is the fraction of its full pace that a filling task must be able to keep for it to be placed.
	minPaceFraction = 0.5
	// assumedMinTailFraction is the fraction of its latency target that an idle task's tail latency is assumed to be
	// until one was measured.
	assumedMinTailFraction = 0.25
	// maxUtilization bounds the utilization derived from a long tail, which shows only that it is too high.
	maxUtilization = 0.99
)

// interference is the model of how images interfere with each other.
type interference struct {
	policy cottonlanding.DisturbancePolicy
	// season is the period that the base loads share; nil if forecasts are linear.
	season *forecaster.Season
	// weights holds the estimated weights for each serving image.
	weights map[cottonlanding.Image]*weightEstimate
	// remoteEvidence holds what other cells have learnt.
	remoteEvidence evidenceByPair
	// minTail is the shortest tail latency measured for an image.
	minTail map[cottonlanding.Image]cottonlanding.Millis
	// toleratedCounts holds, by the set of images that serve together, how many filling images hardly interfere with
	// them, as of toleratedCountsAt.
	toleratedCounts   map[string]int
	toleratedCountsAt cottonlanding.Millis
}

func newInterference(policy Policy) *interference {
	return &interference{
		policy:  policy.Disturbance,
		season:  policy.newSeason(),
		weights: make(map[cottonlanding.Image]*weightEstimate),
		minTail: make(map[cottonlanding.Image]cottonlanding.Millis),
	}
}

// weight returns the weight with which a filling image raises the utilization of a serving one.
func (m *interference) weight(filling, serving cottonlanding.Image) float64 {
	return m.policy.Weight(m.pair(filling, serving))
}

// pair returns what this and other cells have learnt of two images.
func (m *interference) pair(filling, serving cottonlanding.Image) cottonlanding.PairView {
	own := unknownPair
	if known := m.weights[serving]; known != nil {
		own = known.pair(filling)
	}
	return combine(own, m.remoteEvidence[serving][filling])
}

// predict returns by how much filling tasks raise the utilization of a serving image, and the variance of that.
func (m *interference) predict(known *weightEstimate, serving cottonlanding.Image, used map[cottonlanding.Image]float64) (added, variance float64) {
	added, variance = known.predict(used)
	if len(m.remoteEvidence[serving]) == 0 {
		return added, variance
	}
	added, variance = 0, 0
	for filling, share := range used {
		pair := m.pair(filling, serving)
		added += max(pair.Weight, 0) * share
		variance += pair.StandardError * pair.StandardError * share * share
	}
	return added, variance
}

// utilization returns the utilization that a tail latency implies, between 0 and maxUtilization.
func (m *interference) utilization(r *run, tail cottonlanding.Millis) float64 {
	minTail := m.minTailOf(r)
	if tail <= minTail {
		return 0
	}
	return min(1-float64(minTail)/float64(tail), maxUtilization)
}

func (m *interference) minTailOf(r *run) cottonlanding.Millis {
	minTail, known := m.minTail[r.step.Image]
	if !known {
		minTail = cottonlanding.Millis(assumedMinTailFraction * float64(r.step.LatencyTarget))
	}
	return max(minTail, 1)
}

// utilizationGoal returns the utilization at which a serving task is kept.
func (m *interference) utilizationGoal(r *run) float64 {
	return m.utilization(r, cottonlanding.Millis(latencyGoalFraction*float64(r.step.LatencyTarget)))
}

// learnInterference learns from the latest measurement of a worker.
func (c *Cell) learnInterference(w *worker, serving, filling []*run, now cottonlanding.Millis) {
	used := make(map[cottonlanding.Image]float64)
	total := 0.0
	for _, f := range filling {
		if share := float64(f.used) / float64(w.info.Capacity.CPU); share > 0 {
			used[f.step.Image] += share
			total += share
		}
	}
	if total > minUsage {
		w.fillingSeenAt = now
	}
	settling := total <= minUsage && w.fillingSeenAt > 0 && now-w.fillingSeenAt < measurementSpan+measurementSpan/2
	for _, s := range serving {
		if s.tailLatency <= 0 || settling || s.sampledAt > 0 && now-s.sampledAt < measurementSpan {
			continue // no measurement, one across a change, or maybe the same as the last
		}
		s.sampledAt = now
		trials := c.interference.untriedAmong(used, s.step.Image)
		c.interference.learnTask(s, used, now)
		c.logTrialResults(trials, s.step.Image)
	}
}

// learnTask learns the base load of a serving task's step, and the weights of the filling tasks beside it, from one
// measurement.
func (m *interference) learnTask(s *run, used map[cottonlanding.Image]float64, now cottonlanding.Millis) {
	m.recordMinTail(s.step.Image, s.tailLatency)
	known := m.weights[s.step.Image]
	if known == nil {
		known = newWeightEstimate()
		m.weights[s.step.Image] = known
	}
	utilization := m.utilization(s, s.tailLatency)
	if s.task.stage.load == nil {
		s.task.stage.load = forecaster.New(m.season)
	}
	load := s.task.stage.load
	added, variance := m.predict(known, s.step.Image, used)
	if utilization < maxComparableUtilization || load.Known() && utilization > load.At(now)+added {
		if load.RampedUp(now) && len(used) > 0 {
			known.learn(used, utilization-load.At(now))
		}
		noise := measurementNoise * measurementNoise
		confidence := noise / (noise + variance + modelError*modelError*added*added)
		load.Observe(max(utilization-added, 0), confidence, now)
	}
}

// budget returns by how much the filling tasks may raise the utilization of a serving task: by what its base load
// leaves, and, while it is over its goal, by less than they do now, whatever was learnt before. Light ones are
// throttled only after the task has been over its target for overTargetTimeout: what they would lose at each peak
// of the load is worth more.
func (m *interference) budget(s *run, filling []*run, capacity cottonlanding.Millicores, now cottonlanding.Millis) budget {
	out := budget{heavy: m.utilizationGoal(s) - s.expected(now, paceLookahead), light: math.Inf(1)}
	if over := m.utilization(s, s.tailLatency) - m.utilizationGoal(s); over > 0 {
		out.heavy = min(out.heavy, m.added(s, filling, capacity)-overshootCorrection*over)
	}
	if s.tailLatency < s.step.LatencyTarget {
		s.overTargetSince = 0
		return out
	}
	out.heavy = 0
	if s.overTargetSince == 0 {
		s.overTargetSince = now
	}
	if now-s.overTargetSince >= overTargetTimeout {
		out.light = 0
	}
	return out
}

// added returns by how much the filling tasks currently raise the utilization of a serving task.
func (m *interference) added(s *run, filling []*run, capacity cottonlanding.Millicores) float64 {
	sum := 0.0
	for _, f := range filling {
		sum += m.weight(f.step.Image, s.step.Image) * float64(f.used) / float64(capacity)
	}
	return sum
}

// slack returns by how much the utilization of a serving task may still rise, given its base load and the paces of
// the filling tasks.
func (m *interference) slack(s *run, filling []*run, capacity cottonlanding.Millicores, now cottonlanding.Millis) float64 {
	slack := m.utilizationGoal(s) - s.expected(now, placementLookahead)
	for _, f := range filling {
		slack -= m.weight(f.step.Image, s.step.Image) * f.share(capacity) * float64(f.paceGoal) / fullPace
	}
	return slack
}

// expected returns the maximum of a serving task's base load now and after span.
func (r *run) expected(now, span cottonlanding.Millis) float64 {
	return r.task.stage.load.Max(now, now+span)
}

// share returns the fraction of the worker that a filling task uses at full pace.
func (r *run) share(capacity cottonlanding.Millicores) float64 {
	return float64(r.step.Resources.CPU) / float64(capacity)
}

// servingAndFilling returns the runs on a worker that serve and those that fill.
func (w *worker) servingAndFilling() (serving, filling []*run) {
	for _, r := range w.runs.all() {
		switch {
		case r.task == nil || r.stopping:
		case r.step.Fills:
			filling = append(filling, r)
		case r.step.Serves():
			serving = append(serving, r)
		}
	}
	return serving, filling
}

// sustainablePace returns the fraction of its full pace at which one more filling task could run on a worker without
// pushing a serving task there over its goal.
func (c *Cell) sustainablePace(w *worker, step cottonlanding.Step, now cottonlanding.Millis) float64 {
	if !c.trialAllowed(w, step, now) {
		return 0
	}
	share := float64(step.Resources.CPU) / float64(w.info.Capacity.CPU)
	fraction := 1.0
	for _, s := range c.room(w, now).slacks {
		if weight := c.interference.weight(step.Image, s.image); weight > cottonlanding.LightWeight {
			fraction = min(fraction, max(s.slack-placementMargin, 0)/(weight*share+minUsage))
		}
	}
	return fraction
}

// withinInterferenceBudget reports whether a worker has serving tasks and a filling task would hardly interfere with
// any of them.
func (c *Cell) withinInterferenceBudget(w *worker, step cottonlanding.Step, now cottonlanding.Millis) bool {
	slacks := c.room(w, now).slacks
	for _, s := range slacks {
		if c.interference.untried(step.Image, s.image) || c.interference.weight(step.Image, s.image) > cottonlanding.LightWeight {
			return false
		}
	}
	return len(slacks) > 0
}
