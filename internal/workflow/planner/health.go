package planner

import "github.com/cottonlanding/cottonlanding"

const (
	// failureBackoff is how long a worker gets nothing new after a failed run, long enough for other runs there to
	// show whether the worker is at fault.
	failureBackoff = 1500 * cottonlanding.Millis(1)
	// maxFailureBackoff bounds the doubling with each further failure.
	maxFailureBackoff = 6 * cottonlanding.Second
	// stuckTimeout is how long a run may go without progress before it is moved to another worker.
	stuckTimeout = 1600 * cottonlanding.Millis(1)
	// stuckFillingTimeout is stuckTimeout for a filling run, which only gets what other runs leave.
	stuckFillingTimeout = 4 * cottonlanding.Second
	// slowWeight is the weight of the newest run in a worker's mean run time ratio.
	slowWeight = 0.4
	// slowRatio is the mean ratio of run time to expected time above which a worker counts as slow. Expected times are off
	// by about a fifth.
	slowRatio = 2.5
	// slowBackoff is how long a slow worker gets nothing while others have room.
	slowBackoff = 3 * cottonlanding.Second
)

// health summarizes the outcomes of a worker's runs.
type health struct {
	consecutiveFailures int
	backoffUntil        cottonlanding.Millis
	meanRunTimeRatio    float64
	slowUntil           cottonlanding.Millis
}

// recordFailure records a failed run.
func (h *health) recordFailure(now cottonlanding.Millis) {
	h.backoffUntil = now + min(failureBackoff<<min(h.consecutiveFailures, 4), maxFailureBackoff)
	h.consecutiveFailures++
}

// recordSuccess records a run that was done, and how long it took.
func (h *health) recordSuccess(r *run, now cottonlanding.Millis) {
	h.consecutiveFailures = 0
	h.backoffUntil = 0
	expected := r.task.stage.expectedTime()
	if expected <= 0 || r.step.Fills || r.ackedAt == 0 {
		return
	}
	ratio := float64(now-r.ackedAt) / float64(expected)
	if h.meanRunTimeRatio == 0 {
		h.meanRunTimeRatio = 1
	}
	h.meanRunTimeRatio += slowWeight * (ratio - h.meanRunTimeRatio)
	if h.meanRunTimeRatio > slowRatio {
		h.slowUntil = now + slowBackoff
	}
}

// shouldAvoid reports whether the worker should get nothing while others have room.
func (h *health) shouldAvoid(now cottonlanding.Millis) bool {
	return now < h.backoffUntil || now < h.slowUntil
}

// stopStuckRuns stops the runs without progress, so that they are started elsewhere.
func (c *Cell) stopStuckRuns(w *worker, now cottonlanding.Millis) {
	for _, r := range w.runs.all() {
		if r.task == nil || r.stopping || r.phase != started || r.pace < fullPace || r.paceGoal < fullPace {
			continue
		}
		timeout := stuckTimeout
		if r.step.Fills {
			timeout = stuckFillingTimeout
		}
		if now-r.progressedAt < timeout {
			continue
		}
		c.counts.Stuck++
		r.task.failedOn = append(r.task.failedOn, w.life())
		w.health.recordFailure(now)
		c.stop(r, "it stands still", now)
	}
}
