package planner

import "github.com/cottonlanding/cottonlanding"

// Pairs of images of which little is known are tried: a filling task is placed beside a serving task with headroom,
// one trial at a time on each worker, and the worker is polled often until measurements show the effect.

// trialHeadroom is by how much the utilization of a serving task must be below its goal for a trial beside it. A
// filling task uses a tenth of a worker and adds 0.1 to 0.4 if the images interfere strongly: the serving task is then
// near its target for the half second until that is measured.
const trialHeadroom = 0.1

// untried reports whether too little is known of the pair.
func (m *interference) untried(filling, serving cottonlanding.Image) bool {
	return m.policy.Untried(m.pair(filling, serving))
}

// untriedAmong returns the images in use that are untried beside a serving one.
func (m *interference) untriedAmong(used map[cottonlanding.Image]float64, serving cottonlanding.Image) []cottonlanding.Image {
	var out []cottonlanding.Image
	for filling := range used {
		if m.untried(filling, serving) {
			out = append(out, filling)
		}
	}
	return out
}

// logTrialResults logs the weights of the pairs whose trials a measurement has ended.
func (c *Cell) logTrialResults(trials []cottonlanding.Image, serving cottonlanding.Image) {
	for _, filling := range trials {
		if c.interference.untried(filling, serving) {
			continue
		}
		pair := c.interference.pair(filling, serving)
		c.log.Info("images tried", "Filling", filling, "Serving", serving, "Weight", rounded(pair.Weight), "Doubt", rounded(pair.StandardError))
	}
}

// includesTrial reports whether any running filling task is untried beside one of the serving tasks.
func (c *Cell) includesTrial(serving, filling []*run) bool {
	for _, f := range filling {
		if f.paceGoal == 0 {
			continue // paused, so it interferes with nothing
		}
		for _, s := range serving {
			if c.interference.untried(f.step.Image, s.step.Image) {
				return true
			}
		}
	}
	return false
}

// hasTrialHeadroom reports whether all serving tasks were below their utilization goals by trialHeadroom in their last
// measurements.
func (c *Cell) hasTrialHeadroom(serving []*run) bool {
	for _, s := range serving {
		if s.tailLatency > 0 && c.interference.utilization(s, s.tailLatency) > c.interference.lightGoal(s)-trialHeadroom {
			return false
		}
	}
	return true
}

// trialAllowed reports whether a trial does not keep a task of a step from a worker: placing it there is no trial, or
// is the only one and all serving tasks there have headroom for it.
func (c *Cell) trialAllowed(w *worker, step cottonlanding.Step, now cottonlanding.Millis) bool {
	room := c.room(w, now)
	for _, s := range room.slacks {
		if c.interference.untried(step.Image, s.image) {
			return room.hasTrialHeadroom && !room.hasTrial
		}
	}
	return true
}
