package planner

import "github.com/cottonlanding/cottonlanding"

const (
	// firstSuspicion is how long a worker gets nothing new after a failed run:
	// long enough for other runs there to show whether the fault is the worker's.
	firstSuspicion = 1500 * cottonlanding.Millis(1)
	// longestSuspicion bounds the doubling with each further failure.
	longestSuspicion = 6 * cottonlanding.Second
	// stuckAfter is how long a run may stand still before it is tried elsewhere.
	stuckAfter = 1600 * cottonlanding.Millis(1)
	// stuckFillAfter is the same for a run that only gets what others leave.
	stuckFillAfter = 4 * cottonlanding.Second
	// slowWeight is the weight of the newest run in a worker's mean slowness.
	slowWeight = 0.4
	// slowRatio is the run time, over the estimate, from which a worker counts as
	// slow. Estimates are off by a fifth or so.
	slowRatio = 2.5
	// slowFor is how long a slow worker gets nothing while others have room.
	slowFor = 3 * cottonlanding.Second
)

// health is what is known of a worker from its runs.
type health struct {
	streak       int
	suspectUntil cottonlanding.Millis
	slowness     float64
	slowUntil    cottonlanding.Millis
}

// recordFailure counts a failed run.
func (h *health) recordFailure(now cottonlanding.Millis) {
	h.suspectUntil = now + min(firstSuspicion<<min(h.streak, 4), longestSuspicion)
	h.streak++
}

// recordSuccess counts a run that was done, and how long it took.
func (h *health) recordSuccess(r *run, now cottonlanding.Millis) {
	h.streak = 0
	h.suspectUntil = 0
	if r.step.Estimate <= 0 || r.step.Fills || r.ackedAt == 0 {
		return
	}
	ratio := float64(now-r.ackedAt) / float64(r.step.Estimate)
	if h.slowness == 0 {
		h.slowness = 1
	}
	h.slowness += slowWeight * (ratio - h.slowness)
	if h.slowness > slowRatio {
		h.slowUntil = now + slowFor
	}
}

// doubtful reports whether the worker should get nothing while others have room.
func (h *health) doubtful(now cottonlanding.Millis) bool {
	return now < h.suspectUntil || now < h.slowUntil
}

// moveStuck stops the runs that stand still, so that they are tried elsewhere.
func (c *Cell) moveStuck(w *worker, now cottonlanding.Millis) {
	for _, r := range w.runs.all() {
		if r.task == nil || r.stopping || r.phase != started || r.pace < fullPace || r.paceGoal < fullPace {
			continue
		}
		patience := stuckAfter
		if r.step.Fills {
			patience = stuckFillAfter
		}
		if now-r.moved < patience {
			continue
		}
		c.counts.Stuck++
		r.task.failedOn = append(r.task.failedOn, w.life())
		w.health.recordFailure(now)
		c.stop(r, "it stands still", now)
	}
}
