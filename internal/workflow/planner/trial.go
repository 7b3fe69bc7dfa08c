package planner

import "github.com/cottonlanding/cottonlanding"

// Pairs of images of which little is known are tried: a filling task is placed beside a
// serving one that isn't busy, one at a time on each worker, and its worker is looked at
// often until figures have shown what it does.

// trialHeadroom is how much less busy than its aim a serving task must be for a trial beside
// it. A tenth of a worker, as filling tasks use, adds 0.1 to 0.4 if the images go badly
// together: the task is then near its target for the half second until that is seen.
const trialHeadroom = 0.1

// untried reports whether the pair has to be tried.
func (p *interference) untried(filling, serving cottonlanding.Image) bool {
	return p.policy.Untried(p.pair(filling, serving))
}

// untriedAmong returns the images in use that have to be tried beside a serving one.
func (p *interference) untriedAmong(used map[cottonlanding.Image]float64, serving cottonlanding.Image) []cottonlanding.Image {
	var out []cottonlanding.Image
	for filling := range used {
		if p.untried(filling, serving) {
			out = append(out, filling)
		}
	}
	return out
}

// logTrialResults logs which trials a figure has ended, and what they have shown.
func (c *Cell) logTrialResults(trials []cottonlanding.Image, serving cottonlanding.Image) {
	for _, filling := range trials {
		if c.interference.untried(filling, serving) {
			continue
		}
		pair := c.interference.pair(filling, serving)
		c.log.Info("images tried", "Filling", filling, "Serving", serving, "Weight", rounded(pair.Weight), "Doubt", rounded(pair.Doubt))
	}
}

// includesTrial reports whether a filling task beside serving ones is a trial.
func (c *Cell) includesTrial(serving, filling []*run) bool {
	for _, f := range filling {
		if f.paceGoal == 0 {
			continue // it disturbs nobody
		}
		for _, s := range serving {
			if c.interference.untried(f.step.Image, s.step.Image) {
				return true
			}
		}
	}
	return false
}

// calm reports whether all serving tasks are well below their aims by their last figures.
func (c *Cell) calm(serving []*run) bool {
	for _, s := range serving {
		if s.tailLatency > 0 && c.interference.utilization(s, s.tailLatency) > c.interference.utilizationGoal(s)-trialHeadroom {
			return false
		}
	}
	return true
}

// mayRunTrial reports whether a task of a step may be placed on a worker as far as trials
// are concerned: it would be none, or the worker is fit for one.
func (c *Cell) mayRunTrial(w *worker, step cottonlanding.Step, now cottonlanding.Millis) bool {
	room := c.room(w, now)
	for _, s := range room.slacks {
		if c.interference.untried(step.Image, s.image) {
			return room.calm && !room.hasTrial
		}
	}
	return true
}
