package planner

import (
	"maps"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// Nothing starts on a worker that is cordoned: one that is leaving, or whose data centre is
// evacuated. What runs in an evacuated data centre goes on, so that unlike one that is leaving
// such a worker keeps its lease and its runs; only starts that didn't go out are taken back.

// cordoned reports whether the worker may be given nothing new by the operators' or its own
// word, however much room it has.
func (w *worker) cordoned() bool { return w.leaving() || w.evacuated || w.dataCentreSilent }

// SetEvacuations takes in where nothing new may start. Starts that wait to be sent there are
// taken back at once.
func (c *Cell) SetEvacuations(evacuations cottonlanding.Evacuations, now cottonlanding.Millis) {
	if evacuations.ReadAt < c.evacuations.ReadAt {
		return
	}
	before := c.evacuations
	c.evacuations = evacuations
	if sameEvacuations(before, evacuations) {
		return
	}
	var changed []*worker
	for _, w := range c.sortedWorkers() {
		if c.updateEvacuated(w) {
			changed = append(changed, w)
		}
	}
	revokedBefore := c.counts.RevokedStarts
	c.dropUnsent(now)
	c.logEvacuated(before, changed, c.counts.RevokedStarts-revokedBefore, now)
}

// sameEvacuations reports whether two readings tell of the same evacuations.
func sameEvacuations(a, b cottonlanding.Evacuations) bool {
	if len(a.Ordered) != len(b.Ordered) {
		return false
	}
	for dataCentre, one := range a.Ordered {
		if other, found := b.Ordered[dataCentre]; !found || other.Version != one.Version {
			return false
		}
	}
	return true
}

// updateEvacuated works out anew whether a worker's data centre is evacuated, and reports whether
// that has changed.
func (c *Cell) updateEvacuated(w *worker) bool {
	evacuated := c.evacuations.Cover(w.info.DataCentre)
	if evacuated == w.evacuated {
		return false
	}
	w.evacuated = evacuated
	w.markChanged()
	for _, r := range w.runs.all() {
		if !evacuated && !r.stopping {
			r.unwanted.Store(false)
		}
	}
	return true
}

// withholdStart keeps a start from going out that may wait behind others, and has the run ruled
// out if its worker has answered since and didn't list it: a copy may still be under way. A
// start that had left by then goes on if it arrives.
func (c *Cell) withholdStart(r *run, now cottonlanding.Millis) {
	r.unwanted.Store(true)
	if !r.orderInFlight && r.worker.lastAnswerAt > max(r.sentAt, r.placedAt) {
		c.revokeStart(r, "its data centre is evacuated and its worker has not told of the start", now)
	}
}

// revokeStart ends a run whose start isn't wanted any more, or wasn't taken, and all of its gang
// with it: the others would wait for it in vain.
func (c *Cell) revokeStart(r *run, reason string, now cottonlanding.Millis) {
	c.endUnstarted(r, reason, now)
	c.revokeGang(r, now)
}

// revokeGang takes back the other runs of a gang that can't be complete.
func (c *Cell) revokeGang(r *run, now cottonlanding.Millis) {
	if !r.step.Gang || r.task == nil {
		return
	}
	for _, member := range r.task.stage.tasks {
		if member.run != nil && member.run != r {
			c.endUnstarted(member.run, "its gang can't be complete", now)
		}
	}
}

// endUnstarted ends a run of which no start may take effect any more.
func (c *Cell) endUnstarted(r *run, reason string, now cottonlanding.Millis) {
	switch {
	case r.stopping:
		return
	case r.phase < sent:
		c.dropRun(r, now)
	default:
		c.stop(r, reason, now)
	}
	c.counts.RevokedStarts++
}

// logEvacuated logs each data centre that was evacuated or taken back: how many workers it
// has, what goes on there, and how many starts were taken back.
func (c *Cell) logEvacuated(before cottonlanding.Evacuations, changed []*worker, revoked int64, now cottonlanding.Millis) {
	workers := make(map[cottonlanding.DataCentre]int)
	runs := make(map[cottonlanding.DataCentre]int)
	for _, w := range changed {
		workers[w.info.DataCentre]++
		runs[w.info.DataCentre] += w.runs.size()
	}
	for _, place := range slices.Sorted(maps.Keys(workers)) {
		order, evacuated := c.evacuations.Ordered[place]
		if !evacuated {
			order = before.Ordered[place]
		}
		c.log.Info("data centre evacuated", "DataCentre", place, "Evacuated", evacuated, "Version", order.Version,
			"KnownFor", now-order.KnownAt, "Workers", workers[place], "Runs", runs[place], "StartsTakenBack", revoked)
	}
}
