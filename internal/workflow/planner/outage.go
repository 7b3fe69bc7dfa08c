package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// outageCorrelationWindow is how far apart workers may fall silent for one outer cause: an owner's
	// looks at busy workers last that long, and it notices a cut by the next one.
	outageCorrelationWindow = cottonlanding.Second
	// outageRetention is how long it is kept when workers fell silent: longer than a life that
	// has ended takes to be found out.
	outageRetention = 15 * cottonlanding.Second
)

// outage is when a worker fell silent, and whether a run had begun there just before.
type outage struct {
	worker   *worker
	at       cottonlanding.Millis
	provoked bool
}

// recordOutage notes that a worker gives no answer any more.
func (c *Cell) recordOutage(w *worker, now cottonlanding.Millis) {
	c.outages = slices.DeleteFunc(c.outages, func(o outage) bool { return o.worker == w || now-o.at > outageRetention })
	if w.endExpected() || w.lastAnswerAt == 0 {
		return // when that began is not known
	}
	c.outages = append(c.outages, outage{w, now, w.provoked(now)})
}

// recordContact notes that a worker gives answers again: its silence was a cut, or none.
func (c *Cell) recordContact(w *worker) {
	c.outages = slices.DeleteFunc(c.outages, func(o outage) bool { return o.worker == w })
}

// endExpected reports whether the end of the life that answers is no surprise: its entry has said so, which
// may be of a later life by now, or it served on after its entry had gone.
func (w *worker) endExpected() bool { return w.leaving() && w.entryIsCurrent() || w.answeredUnlisted }

// endExpectedFor reports whether that is true of the life on which a run was placed. The entry may be
// of a later life by now, and so may the worker's answers.
func (w *worker) endExpectedFor(r *run) bool {
	return w.leaving() && !r.born.IsOtherThan(w.info.Born) || w.answeredUnlisted && !r.born.IsOtherThan(w.born)
}

// lostContactAt returns when the worker gave no answer first.
func (w *worker) lostContactAt(now cottonlanding.Millis) cottonlanding.Millis {
	if w.pollFailed {
		return w.pollFailedSince
	}
	return now
}

// crashView returns what is known of the end of a worker's life.
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
