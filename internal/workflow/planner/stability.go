package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// The end of a worker speaks against a task there only if the worker doesn't end without it as well.

const (
	// stableAge is how long a worker must go on for the end of its life to speak against a task that
	// was at work there. Each of its lives that ended by itself doubles it, endsWeighed of them at most.
	stableAge             = 10 * cottonlanding.Second
	maxStableAgeDoublings = 3
)

// isUnstable reports whether the worker has ended by itself lately, so that it may have done so again, or
// may have under owners before, since its life is young.
func (w *worker) isUnstable(at cottonlanding.Millis) bool {
	if w.unprovokedEnds > 0 && at-w.lastUnprovokedEndAt < stableAge<<min(w.unprovokedEnds, maxStableAgeDoublings) {
		return true
	}
	return w.born != 0 && !w.predecessorAnswered && w.age(at) < stableAge
}

// isStable reports whether the worker has gone on for so long that its end would tell something.
func (w *worker) isStable(now cottonlanding.Millis) bool {
	return !w.isUnstable(now) && w.age(now) >= stableAge
}

// recordPredecessorEnd takes over what is known of the lives before, the last of which has ended.
func (w *worker) recordPredecessorEnd(predecessor *worker, now cottonlanding.Millis) {
	w.unprovokedEnds, w.lastUnprovokedEndAt, w.predecessorAnswered = predecessor.unprovokedEnds, predecessor.lastUnprovokedEndAt, predecessor.lastAnswerAt > 0
	at := predecessor.lostContactAt(now)
	for _, r := range suspectsAmong(predecessor.runs.all(), at) {
		w.predecessorSuspects = append(w.predecessorSuspects, r.task)
	}
	if !predecessor.provoked(at) {
		w.unprovokedEnds++
		w.lastUnprovokedEndAt = now
	}
}

// provoked reports whether a run had begun just before an instant on the worker.
func (w *worker) provoked(at cottonlanding.Millis) bool {
	return slices.ContainsFunc(w.runs.all(), func(r *run) bool { return r.beganJustBefore(at) })
}

// age returns how long the life has gone on by an instant, at the least. A worker that tells births begins its
// clock anew with each life, so that any owner knows.
func (w *worker) age(at cottonlanding.Millis) cottonlanding.Millis {
	if w.born != 0 && w.reading > 0 {
		return cottonlanding.Millis(w.reading) + at - w.readAt
	}
	return at - w.knownSince
}
