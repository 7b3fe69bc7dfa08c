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
	// firstWeight is the weight assumed for a pair that was not seen yet.
	firstWeight = 1.5
	// figureSpan is the span that a worker's figures cover.
	figureSpan = 450 * cottonlanding.Millis(1)
	// staleFigure is how far a load is extrapolated at most.
	staleFigure = 2500 * cottonlanding.Millis(1)
	// paceAhead and placeAhead are how far a load is looked ahead when a pace is
	// set, until the next figure, and when a task is placed, for most of its run.
	paceAhead  = cottonlanding.Second
	placeAhead = 2500 * cottonlanding.Millis(1)
	// modelError is the part of a disturbance by which the model may be wrong.
	modelError = 0.3
	// leastUse is the part of a worker that filling tasks must use to disturb at all.
	leastUse = 0.005
	// saturated is how busy a task may be for its figure to be compared: above, its
	// tail says little.
	saturated = 0.95
	// aimOfTarget is the share of its latency target at which a serving task is
	// kept, so that a swing of its load stays below the target. Source: plays on the
	// users' platform with 0.75, 0.85 and 0.95 (docs/EXPERIMENTS.md).
	aimOfTarget = 0.85
	// placeMargin is how much less busy a serving task must be for another filling
	// task to be placed beside it.
	placeMargin = 0.03
	// overPatience is how long a serving task may be over its target before light
	// filling tasks are stopped too, which leaves time before harm is done.
	overPatience = 900 * cottonlanding.Millis(1)
	// overCorrection is how much more than what is too much is taken away, so that
	// the next figure is below the aim although the load rises.
	overCorrection = 2.0
	// leastPart is the part of its pace that a filling task must be able to keep for
	// it to be placed.
	leastPart = 0.5
	// baseOfTarget is the share of its target that an idle task's tail is assumed
	// to have before a lower tail was seen.
	baseOfTarget = 0.25
	// mostBusy bounds what a long tail says: beyond it only "too busy" is known.
	mostBusy = 0.99
)

// pressure is what was learnt of how images disturb each other.
type pressure struct {
	policy cottonlanding.DisturbancePolicy
	// weights holds the estimate for each serving image.
	weights map[cottonlanding.Image]*weightEstimate
	// others is what other cells have learnt.
	others findings
	// base is the shortest tail seen of an image.
	base map[cottonlanding.Image]cottonlanding.Millis
	// borne counts, by the images that serve together, the filling images that hardly
	// disturb them, as of borneAt.
	borne   map[string]int
	borneAt cottonlanding.Millis
}

func newPressure(policy cottonlanding.DisturbancePolicy) *pressure {
	return &pressure{
		policy:  policy,
		weights: make(map[cottonlanding.Image]*weightEstimate),
		base:    make(map[cottonlanding.Image]cottonlanding.Millis),
	}
}

// weight returns how much a filling image is taken to disturb a serving one.
func (p *pressure) weight(filling, serving cottonlanding.Image) float64 {
	return p.policy.Weight(p.pair(filling, serving))
}

// pair returns what is known of two images.
func (p *pressure) pair(filling, serving cottonlanding.Image) cottonlanding.PairView {
	own := unknownPair
	if known := p.weights[serving]; known != nil {
		own = known.pair(filling)
	}
	return join(own, p.others[serving][filling])
}

// predict returns how much busier filling tasks make a serving image, and the variance of
// that.
func (p *pressure) predict(known *weightEstimate, serving cottonlanding.Image, used map[cottonlanding.Image]float64) (added, variance float64) {
	added, variance = known.predict(used)
	if len(p.others[serving]) == 0 {
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

// busy returns how busy a tail shows its task to be, between 0 and mostBusy.
func (p *pressure) busy(r *run, tail cottonlanding.Millis) float64 {
	base := p.baseOf(r)
	if tail <= base {
		return 0
	}
	return min(1-float64(base)/float64(tail), mostBusy)
}

func (p *pressure) baseOf(r *run) cottonlanding.Millis {
	base, known := p.base[r.step.Image]
	if !known {
		base = cottonlanding.Millis(baseOfTarget * float64(r.step.LatencyTarget))
	}
	return max(base, 1)
}

// aim returns how busy a serving task may be.
func (p *pressure) aim(r *run) float64 {
	return p.busy(r, cottonlanding.Millis(aimOfTarget*float64(r.step.LatencyTarget)))
}

// learn takes in the latest figures of one worker.
func (c *Cell) learn(w *worker, serving, filling []*run, now cottonlanding.Millis) {
	used := make(map[cottonlanding.Image]float64)
	total := 0.0
	for _, f := range filling {
		if share := float64(f.used) / float64(w.info.Capacity.CPU); share > 0 {
			used[f.step.Image] += share
			total += share
		}
	}
	if total > leastUse {
		w.fillingSeenAt = now
	}
	settling := total <= leastUse && w.fillingSeenAt > 0 && now-w.fillingSeenAt < figureSpan+figureSpan/2
	for _, s := range serving {
		if s.tailLatency <= 0 || settling || s.sampledAt > 0 && now-s.sampledAt < figureSpan {
			continue // no figure, a mixed one, or maybe the same as the last
		}
		s.sampledAt = now
		trials := c.pressure.untriedAmong(used, s.step.Image)
		c.pressure.learnTask(s, used, now)
		c.logTried(trials, s.step.Image)
	}
}

// learnTask learns from one figure of a serving task what its step's own load is,
// and what the filling tasks beside it add.
func (p *pressure) learnTask(s *run, used map[cottonlanding.Image]float64, now cottonlanding.Millis) {
	p.recordBase(s.step.Image, s.tailLatency)
	known := p.weights[s.step.Image]
	if known == nil {
		known = newWeightEstimate()
		p.weights[s.step.Image] = known
	}
	busy := p.busy(s, s.tailLatency)
	load := &s.task.stage.load
	added, variance := p.predict(known, s.step.Image, used)
	if busy < saturated || load.known() && busy > load.ahead(now)+added {
		if load.settled(now) && len(used) > 0 {
			known.learn(used, busy-load.ahead(now))
		}
		noise := measurementNoise * measurementNoise
		trust := noise / (noise + variance + modelError*modelError*added*added)
		load.see(max(busy-added, 0), trust, now)
	}
}

// budget returns how much busier the filling tasks beside a serving task may make
// it: what is left by its own load, and less than they do now while it is over its
// aim, whatever was learnt before. Light ones are let be unless it was over its
// target for a while: what they would lose at each peak of the load is worth more.
func (p *pressure) budget(s *run, filling []*run, capacity cottonlanding.Millicores, now cottonlanding.Millis) budget {
	out := budget{heavy: p.aim(s) - s.expected(now, paceAhead), light: math.Inf(1)}
	if over := p.busy(s, s.tailLatency) - p.aim(s); over > 0 {
		out.heavy = min(out.heavy, p.added(s, filling, capacity)-overCorrection*over)
	}
	if s.tailLatency < s.step.LatencyTarget {
		s.overTargetSince = 0
		return out
	}
	out.heavy = 0
	if s.overTargetSince == 0 {
		s.overTargetSince = now
	}
	if now-s.overTargetSince >= overPatience {
		out.light = 0
	}
	return out
}

// added returns how much busier the filling tasks make a serving task now.
func (p *pressure) added(s *run, filling []*run, capacity cottonlanding.Millicores) float64 {
	sum := 0.0
	for _, f := range filling {
		sum += p.weight(f.step.Image, s.step.Image) * float64(f.used) / float64(capacity)
	}
	return sum
}

// slack returns how much busier a serving task may become, given its own load and
// the filling tasks' paces.
func (p *pressure) slack(s *run, filling []*run, capacity cottonlanding.Millicores, now cottonlanding.Millis) float64 {
	slack := p.aim(s) - s.expected(now, placeAhead)
	for _, f := range filling {
		slack -= p.weight(f.step.Image, s.step.Image) * f.share(capacity) * float64(f.paceGoal) / fullPace
	}
	return slack
}

// expected returns the most that a serving task's own load is expected to be from
// now on for a while.
func (r *run) expected(now, span cottonlanding.Millis) float64 {
	load := &r.task.stage.load
	return max(load.ahead(now), load.ahead(now+span))
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

// bearable returns the part of its pace that one more filling task could keep on a
// worker without pushing a serving task there over its aim.
func (c *Cell) bearable(w *worker, step cottonlanding.Step, now cottonlanding.Millis) float64 {
	if !c.mayTry(w, step, now) {
		return 0
	}
	share := float64(step.Resources.CPU) / float64(w.info.Capacity.CPU)
	part := 1.0
	for _, s := range c.room(w, now).slacks {
		if weight := c.pressure.weight(step.Image, s.image); weight > cottonlanding.LightWeight {
			part = min(part, max(s.slack-placeMargin, 0)/(weight*share+leastUse))
		}
	}
	return part
}

// withinInterferenceBudget reports whether a filling task would hardly disturb the serving tasks
// of a worker, of which there are some.
func (c *Cell) withinInterferenceBudget(w *worker, step cottonlanding.Step, now cottonlanding.Millis) bool {
	slacks := c.room(w, now).slacks
	for _, s := range slacks {
		if c.pressure.untried(step.Image, s.image) || c.pressure.weight(step.Image, s.image) > cottonlanding.LightWeight {
			return false
		}
	}
	return len(slacks) > 0
}
