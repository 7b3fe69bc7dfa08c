package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// outageCorrelationWindow is the maximum time between workers falling silent for one outer cause: polls of busy
	// workers last that long, and a cut shows in the next one.
	outageCorrelationWindow = cottonlanding.Second
	// outageRetention is how long outages are kept: longer than it takes to detect that a life has ended.
	outageRetention = 15 * cottonlanding.Second
)

// outage records when a worker fell silent, and whether a run had begun there just before.
type outage struct {
	worker   *worker
	at       cottonlanding.Millis
	provoked bool
}

// recordOutage records that a worker stopped answering.
func (c *Cell) recordOutage(w *worker, now cottonlanding.Millis) {
	c.outages = slices.DeleteFunc(c.outages, func(o outage) bool { return o.worker == w || now-o.at > outageRetention })
	if w.endExpected() || w.lastAnswerAt == 0 {
		return // when the outage began is unknown
	}
	c.outages = append(c.outages, outage{w, now, w.provoked(now)})
}

// recordContact forgets the outage of a worker that answers again: it was unreachable or slow, and did not crash.
func (c *Cell) recordContact(w *worker) {
	c.outages = slices.DeleteFunc(c.outages, func(o outage) bool { return o.worker == w })
}

// endExpected reports whether the end of the life that answers is expected: its entry says that it is leaving (the
// entry may be of a later life by now), or it answered after its entry was removed.
func (w *worker) endExpected() bool { return w.leaving() && w.entryIsCurrent() || w.answeredUnlisted }

// endExpectedFor is endExpected for the life on which a run was placed. By now the entry may be of a later life, and
// so may the worker's answers.
func (w *worker) endExpectedFor(r *run) bool {
	return w.leaving() && !r.born.DiffersFrom(w.info.Born) || w.answeredUnlisted && !r.born.DiffersFrom(w.born)
}

// lostContactAt returns when the worker first didn't answer.
func (w *worker) lostContactAt(now cottonlanding.Millis) cottonlanding.Millis {
	if w.pollFailed {
		return w.pollFailedSince
	}
	return now
}

// crashView describes the state of the other workers at the end of a worker's life.
func (c *Cell) crashView(w *worker, at cottonlanding.Millis) cottonlanding.CrashView {
	var view cottonlanding.CrashView
	sameRack := func(other *worker) bool { return other.info.Rack == w.info.Rack && w.info.Rack != "" }
	silent := map[*worker]bool{w: true}
	for _, o := range c.outages {
		if o.worker == w || max(o.at-at, at-o.at) > outageCorrelationWindow {
			continue
		}
		silent[o.worker] = true
		view.Workers++
		view.Silent++
		if !o.provoked {
			view.Unprovoked++
		}
		if sameRack(o.worker) {
			view.Rack++
			view.RackSilent++
		}
	}
	for _, other := range c.sortedWorkers() {
		if silent[other] || other.endExpected() || other.knownSince >= at || other.pollFailed && other.pollFailedSince < at {
			continue
		}
		view.Workers++
		if sameRack(other) {
			view.Rack++
		}
	}
	return view
}
