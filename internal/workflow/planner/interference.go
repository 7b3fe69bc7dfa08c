package planner

import (
	"math"

	"github.com/cottonlanding/cottonlanding"
)

// Serving tasks answer their own users; their tail latency grows with how busy
// they are, as that of a queue does: tail = base / (1 - busy). Filling tasks
// beside them add to busy in proportion to the processors that they use, by an
// amount that depends on both images. That amount is learnt for each pair of
// images from the figures of all workers.

const (
	// initialWeight is the weight assumed for a pair that was not seen yet.
	initialWeight = 1.5
	// measurementSpan is the span that a worker's figures cover.
	measurementSpan = 450 * cottonlanding.Millis(1)
	// maxExtrapolation is how far a load is extrapolated at most.
	maxExtrapolation = 2500 * cottonlanding.Millis(1)
	// paceLookahead and placeAhead are how far a load is looked ahead when a pace is
	// set, until the next figure, and when a task is placed, for most of its run.
	paceLookahead      = cottonlanding.Second
	placementLookahead = 2500 * cottonlanding.Millis(1)
	// modelError is the part of a disturbance by which the model may be wrong.
	modelError = 0.3
	// minUsage is the part of a worker that filling tasks must use to disturb at all.
	minUsage = 0.005
	// maxComparableUtilization is how busy a task may be for its figure to be compared: above, its
	// tail says little.
	maxComparableUtilization = 0.95
	// latencyGoalFraction is the share of its latency target at which a serving task is
	// kept, so that a swing of its load stays below the target. Source: plays on the
	// users' platform with 0.75, 0.85 and 0.95 (docs/EXPERIMENTS.md).
	latencyGoalFraction = 0.85
	// placementMargin is how much less busy a serving task must be for another filling
	// task to be placed beside it.
	placementMargin = 0.03
	// overTargetTimeout is how long a serving task may be over its target before light
	// filling tasks are stopped too, which leaves time before harm is done.
	overTargetTimeout = 900 * cottonlanding.Millis(1)
	// overshootCorrection is how much more than what is too much is taken away, so that
	// the next figure is below the aim although the load rises.
	overshootCorrection = 2.0
	// minPaceFraction is the part of its pace that a filling task must be able to keep for
	// it to be placed.
	minPaceFraction = 0.5
	// assumedBaseFraction is the share of its target that an idle task's tail is assumed
	// to have before a lower tail was seen.
	assumedBaseFraction = 0.25
	// maxUtilization bounds what a long tail says: beyond it only "too busy" is known.
	maxUtilization = 0.99
)

// interference is what was learnt of how images disturb each other.
type interference struct {
	policy cottonlanding.DisturbancePolicy
	// weights holds the estimate for each serving image.
	weights map[cottonlanding.Image]*weightEstimate
	// remoteFindings is what other cells have learnt.
	remoteFindings findings
	// base is the shortest tail seen of an image.
	base map[cottonlanding.Image]cottonlanding.Millis
	// toleratedCounts counts, by the images that serve together, the filling images that hardly
	// disturb them, as of borneAt.
	toleratedCounts   map[string]int
	toleratedCountsAt cottonlanding.Millis
}

func newPressure(policy cottonlanding.DisturbancePolicy) *interference {
	return &interference{
		policy:  policy,
		weights: make(map[cottonlanding.Image]*weightEstimate),
		base:    make(map[cottonlanding.Image]cottonlanding.Millis),
	}
}

// weight returns how much a filling image is taken to disturb a serving one.
func (p *interference) weight(filling, serving cottonlanding.Image) float64 {
	return p.policy.Weight(p.pair(filling, serving))
}

// pair returns what is known of two images.
func (p *interference) pair(filling, serving cottonlanding.Image) cottonlanding.PairView {
	own := unknownPair
	if known := p.weights[serving]; known != nil {
		own = known.pair(filling)
	}
	return combine(own, p.remoteFindings[serving][filling])
}

// predict returns how much busier filling tasks make a serving image, and the variance of
// that.
func (p *interference) predict(known *weightEstimate, serving cottonlanding.Image, used map[cottonlanding.Image]float64) (added, variance float64) {
	added, variance = known.predict(used)
	if len(p.remoteFindings[serving]) == 0 {
		return added, variance
	}
	added, variance = 0, 0
	for filling, share := range used {
		pair := p.pair(filling, serving)
		added += max(pair.Weight, 0) * share
		variance += pair.Doubt * pair.Doubt * share * share
	}
	return added, variance
}

// utilization returns how utilization a tail shows its task to be, between 0 and mostBusy.
func (p *interference) utilization(r *run, tail cottonlanding.Millis) float64 {
	base := p.baseOf(r)
	if tail <= base {
		return 0
	}
	return min(1-float64(base)/float64(tail), maxUtilization)
}

func (p *interference) baseOf(r *run) cottonlanding.Millis {
	base, known := p.base[r.step.Image]
	if !known {
		base = cottonlanding.Millis(assumedBaseFraction * float64(r.step.LatencyTarget))
	}
	return max(base, 1)
}

// utilizationGoal returns how busy a serving task may be.
func (p *interference) utilizationGoal(r *run) float64 {
	return p.utilization(r, cottonlanding.Millis(latencyGoalFraction*float64(r.step.LatencyTarget)))
}

// learnInterference takes in the latest figures of one worker.
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
			continue // no figure, a mixed one, or maybe the same as the last
		}
		s.sampledAt = now
		trials := c.interference.untriedAmong(used, s.step.Image)
		c.interference.learnTask(s, used, now)
		c.logTrialResults(trials, s.step.Image)
	}
}

// learnTask learns from one figure of a serving task what its step's own load is,
// and what the filling tasks beside it add.
func (p *interference) learnTask(s *run, used map[cottonlanding.Image]float64, now cottonlanding.Millis) {
	p.recordBase(s.step.Image, s.tailLatency)
	known := p.weights[s.step.Image]
	if known == nil {
		known = newWeightEstimate()
		p.weights[s.step.Image] = known
	}
	utilization := p.utilization(s, s.tailLatency)
	load := &s.task.stage.load
	added, variance := p.predict(known, s.step.Image, used)
	if utilization < maxComparableUtilization || load.known() && utilization > load.forecastAt(now)+added {
		if load.hasRampedUp(now) && len(used) > 0 {
			known.learn(used, utilization-load.forecastAt(now))
		}
		noise := measurementNoise * measurementNoise
		confidence := noise / (noise + variance + modelError*modelError*added*added)
		load.observe(max(utilization-added, 0), confidence, now)
	}
}

// budget returns how much busier the filling tasks beside a serving task may make
// it: what is left by its own load, and less than they do now while it is over its
// aim, whatever was learnt before. Light ones are let be unless it was over its
// target for a while: what they would lose at each peak of the load is worth more.
func (p *interference) budget(s *run, filling []*run, capacity cottonlanding.Millicores, now cottonlanding.Millis) budget {
	out := budget{heavy: p.utilizationGoal(s) - s.expected(now, paceLookahead), light: math.Inf(1)}
	if over := p.utilization(s, s.tailLatency) - p.utilizationGoal(s); over > 0 {
		out.heavy = min(out.heavy, p.added(s, filling, capacity)-overshootCorrection*over)
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

// added returns how much busier the filling tasks make a serving task now.
func (p *interference) added(s *run, filling []*run, capacity cottonlanding.Millicores) float64 {
	sum := 0.0
	for _, f := range filling {
		sum += p.weight(f.step.Image, s.step.Image) * float64(f.used) / float64(capacity)
	}
	return sum
}

// slack returns how much busier a serving task may become, given its own load and
// the filling tasks' paces.
func (p *interference) slack(s *run, filling []*run, capacity cottonlanding.Millicores, now cottonlanding.Millis) float64 {
	slack := p.utilizationGoal(s) - s.expected(now, placementLookahead)
	for _, f := range filling {
		slack -= p.weight(f.step.Image, s.step.Image) * f.share(capacity) * float64(f.paceGoal) / fullPace
	}
	return slack
}

// expected returns the most that a serving task's own load is expected to be from
// now on for a while.
func (r *run) expected(now, span cottonlanding.Millis) float64 {
	load := &r.task.stage.load
	return max(load.forecastAt(now), load.forecastAt(now+span))
}

// share returns the part of the worker that a filling task uses at full pace.
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

// sustainablePace returns the part of its pace that one more filling task could keep on a
// worker without pushing a serving task there over its aim.
func (c *Cell) sustainablePace(w *worker, step cottonlanding.Step, now cottonlanding.Millis) float64 {
	if !c.mayRunTrial(w, step, now) {
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

// withinInterferenceBudget reports whether a filling task would hardly disturb the serving tasks
// of a worker, of which there are some.
func (c *Cell) withinInterferenceBudget(w *worker, step cottonlanding.Step, now cottonlanding.Millis) bool {
	slacks := c.room(w, now).slacks
	for _, s := range slacks {
		if c.interference.untried(step.Image, s.image) || c.interference.weight(step.Image, s.image) > cottonlanding.LightWeight {
			return false
		}
	}
	return len(slacks) > 0
}
