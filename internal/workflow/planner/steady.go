package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// The end of a worker speaks against a task there only if the worker doesn't end without it as well.

const (
	// steadyAfter is how long a worker must go on for the end of its life to speak against a task that
	// was at work there. Each of its lives that ended by itself doubles it, endsWeighed of them at most.
	steadyAfter = 10 * cottonlanding.Second
	endsWeighed = 3
)

// endsAnyway reports whether the worker has ended by itself lately, so that it may have done so again, or
// may have under owners before, since its life is young.
func (w *worker) endsAnyway(at cottonlanding.Millis) bool {
	if w.endsSeen > 0 && at-w.endSeenAt < steadyAfter<<min(w.endsSeen, endsWeighed) {
		return true
	}
	return w.born != 0 && !w.metBefore && w.age(at) < steadyAfter
}

// steady reports whether the worker has gone on for so long that its end would tell something.
func (w *worker) steady(now cottonlanding.Millis) bool {
	return !w.endsAnyway(now) && w.age(now) >= steadyAfter
}

// recordEndSeen takes over what is known of the lives before, the last of which has ended.
func (w *worker) recordEndSeen(before *worker, now cottonlanding.Millis) {
	w.endsSeen, w.endSeenAt, w.metBefore = before.endsSeen, before.endSeenAt, before.answered > 0
	at := before.lastContact(now)
	for _, r := range suspectsAmong(before.runs.all(), at) {
		w.suspectsBefore = append(w.suspectsBefore, r.task)
	}
	if !before.provoked(at) {
		w.endsSeen++
		w.endSeenAt = now
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
