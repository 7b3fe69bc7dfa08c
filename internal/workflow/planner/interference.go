package planner

import (
	"math"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/throttler"
	"github.com/cottonlanding/cottonlanding/internal/workflow/budgeter"
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
	// paceLookahead is how far a load is predicted when a pace is set, until the next measurement.
	paceLookahead = cottonlanding.Second
	// modelError is the relative error of the interference that the model predicts.
	modelError = 0.3
	// minUsage is the fraction of a worker below which filling tasks count as idle. It is also added to divisors that
	// may be zero.
	minUsage = 0.005
	// maxComparableUtilization is the utilization up to which a measurement is used: above, the tail latency says
	// little.
	maxComparableUtilization = 0.95
	// placementMargin is by how much the utilization of a serving task must be below its limit for another filling
	// task to be placed beside it.
	placementMargin = 0.03
	// overTargetTimeout is how long a serving task may exceed its target before light filling tasks are stopped too.
	// It leaves time before the excess counts as harm.
	overTargetTimeout = 900 * cottonlanding.Millis(1)
	// minPaceFraction is the fraction of its full pace that a filling task must be able to keep for it to be placed.
	minPaceFraction = 0.5
	// assumedMinTailFraction is the fraction of its latency target that an idle task's tail latency is assumed to be
	// until one was measured.
	assumedMinTailFraction = 0.25
)

// interference is the model of how images interfere with each other.
type interference struct {
	policy   cottonlanding.DisturbancePolicy
	headroom cottonlanding.HeadroomPolicy
	// season is the period that the base loads share; nil if forecasts are linear.
	season *forecaster.Season
	// weights holds the estimated weights for each serving image.
	weights map[cottonlanding.Image]*weightEstimate
	// remoteEvidence holds what other cells have learnt.
	remoteEvidence evidenceByPair
	// minTail is the shortest tail latency measured for an image.
	minTail map[cottonlanding.Image]cottonlanding.Millis
	// spreads holds the spread of the samples of each serving image.
	spreads map[cottonlanding.Image]*budgeter.Spread
	// toleratedCounts holds, by the set of images that serve together, how many filling images hardly interfere with
	// them, as of toleratedCountsAt.
	toleratedCounts   map[string]int
	toleratedCountsAt cottonlanding.Millis
}

func newInterference(policy Policy) *interference {
	return &interference{
		policy:   policy.Disturbance,
		headroom: policy.Headroom,
		season:   policy.newSeason(),
		weights:  make(map[cottonlanding.Image]*weightEstimate),
		minTail:  make(map[cottonlanding.Image]cottonlanding.Millis),
		spreads:  make(map[cottonlanding.Image]*budgeter.Spread),
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

// utilization returns the utilization that a tail latency implies, from 0 to 0.99.
func (m *interference) utilization(r *run, tail cottonlanding.Millis) float64 {
	return throttler.UtilizationAt(tail, m.minTailOf(r))
}

func (m *interference) minTailOf(r *run) cottonlanding.Millis {
	minTail, known := m.minTail[r.step.Image]
	if !known {
		minTail = cottonlanding.Millis(assumedMinTailFraction * float64(r.step.LatencyTarget))
	}
	return max(minTail, 1)
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
		c.recordSample(s, filling)
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
		if load.RampedUp(now) && !m.anyDisturbing(used, s.step.Image) {
			m.spreadOf(s.step.Image).Observe(utilization-added-load.At(now), confidence)
		}
		load.Observe(max(utilization-added, 0), confidence, now)
	}
}

// budget returns by how much the filling tasks may raise the utilization of a serving task, as decided by Headroom;
// added is by how much they raise it now. Tasks of heavy pairs are paused while it is over its latency target. Light
// ones are throttled only after that has lasted for overTargetTimeout: what they would lose at each peak of the load is
// worth more.
func (m *interference) budget(s *run, added float64, now cottonlanding.Millis) budgeter.Budget {
	load := s.task.stage.load
	out := budgeter.Budget{Light: math.Inf(1)}
	out.Heavy = m.headroom.Budget(cottonlanding.SampleView{
		Utilization: m.utilization(s, s.tailLatency), Goal: m.utilizationGoal(s),
		Load: load.At(now), PeakLoad: load.Max(now, now+paceLookahead), Added: added,
	})
	if s.tailLatency < s.step.LatencyTarget {
		s.overTargetSince = 0
		return out
	}
	out.Heavy = 0
	if s.overTargetSince == 0 {
		s.overTargetSince = now
	}
	if now-s.overTargetSince >= overTargetTimeout {
		out.Light = 0
	}
	return out
}

// slack returns by how much the utilization of a serving task may still rise, given its base load and the paces of
// the filling tasks.
func (m *interference) slack(s *run, filling []*run, capacity cottonlanding.Millicores, now cottonlanding.Millis) float64 {
	slack := m.utilizationGoal(s) - s.task.stage.load.Max(now, now+m.headroom.PlacementSpan(0))
	for _, f := range filling {
		slack -= m.weight(f.step.Image, s.step.Image) * f.share(capacity) * float64(f.paceGoal) / fullPace
	}
	return slack
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
func (c *Cell) sustainablePace(w *worker, filling *stage, now cottonlanding.Millis) float64 {
	if !c.trialAllowed(w, filling.Step, now) {
		return 0
	}
	if c.policy.Headroom.LimitsStarts() {
		return c.lastingPace(w, filling, now)
	}
	share := float64(filling.Resources.CPU) / float64(w.info.Capacity.CPU)
	fraction := 1.0
	for _, s := range c.room(w, now).slacks {
		if weight := c.interference.weight(filling.Image, s.image); weight > cottonlanding.LightWeight {
			fraction = min(fraction, budgeter.Fraction(s.slack-placementMargin, weight, share))
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
