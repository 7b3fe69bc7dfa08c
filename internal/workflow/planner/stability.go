package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// The end of a worker counts against a task there only if the worker doesn't also end without the task.

const (
	// stableAge is how long a life must have lasted for its end to count against a task that was at work there. Each
	// life of the worker that ended on its own doubles it, up to maxStableAgeDoublings times.
	stableAge             = 10 * cottonlanding.Second
	maxStableAgeDoublings = 3
)

// isUnstable reports whether the worker may end on its own: it did so recently, or may have under previous owners
// because its life is young.
func (w *worker) isUnstable(at cottonlanding.Millis) bool {
	if w.unprovokedEnds > 0 && at-w.lastUnprovokedEndAt < stableAge<<min(w.unprovokedEnds, maxStableAgeDoublings) {
		return true
	}
	return w.born != 0 && !w.previousLifeAnswered && w.age(at) < stableAge
}

// isStable reports whether the worker has lasted long enough for its end to say something about its tasks.
func (w *worker) isStable(now cottonlanding.Millis) bool {
	return !w.isUnstable(now) && w.age(now) >= stableAge
}

// recordPreviousLifeEnd inherits the record of earlier ends from the previous life and adds that life's own end. All
// its runs are passed to suspectsAmong: an only run stands out however long ago it began, so that its loss with this
// life as well is taken for that of an unstable worker.
func (w *worker) recordPreviousLifeEnd(previous *worker, now cottonlanding.Millis) {
	w.unprovokedEnds, w.lastUnprovokedEndAt, w.previousLifeAnswered = previous.unprovokedEnds, previous.lastUnprovokedEndAt, previous.lastAnswerAt > 0
	at := previous.lostContactAt(now)
	for _, r := range suspectsAmong(previous.runs.all(), at) {
		w.previousLifeSuspects = append(w.previousLifeSuspects, r.task)
	}
	if !previous.provoked(at) {
		w.unprovokedEnds++
		w.lastUnprovokedEndAt = now
	}
}

// provoked reports whether a run had begun on the worker just before an instant.
func (w *worker) provoked(at cottonlanding.Millis) bool {
	return slices.ContainsFunc(w.runs.all(), func(r *run) bool { return r.beganInPromptWindow(at) })
}

// age returns the minimum age of the life at an instant. A worker that reports births restarts its clock with each
// life, so that any owner can tell.
func (w *worker) age(at cottonlanding.Millis) cottonlanding.Millis {
	if w.born != 0 && w.reading > 0 {
		return cottonlanding.Millis(w.reading) + at - w.readAt
	}
	return at - w.knownSince
}
