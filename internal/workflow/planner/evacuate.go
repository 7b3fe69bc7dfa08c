package planner

import (
	"maps"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// No run starts on a cordoned worker: one that is leaving, or whose data centre is evacuated or silent. Runs in an
// evacuated data centre continue, so that such a worker keeps its lease and its runs, unlike a leaving one. Only
// starts that were not sent are revoked.

// cordoned reports whether the worker may be given no new runs, regardless of its room: it is leaving, its data
// centre is evacuated by the operators, or its data centre is silent.
func (w *worker) cordoned() bool { return w.leaving() || w.evacuated || w.dataCentreSilent }

// SetEvacuations sets the data centres in which no run may start, unless a newer reading is known. Starts that wait
// to be sent there are revoked at once.
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

// sameEvacuations reports whether two readings contain the same evacuations.
func sameEvacuations(a, b cottonlanding.Evacuations) bool {
	if len(a.InForce) != len(b.InForce) {
		return false
	}
	for dataCentre, one := range a.InForce {
		if other, found := b.InForce[dataCentre]; !found || other.Version != one.Version {
			return false
		}
	}
	return true
}

// updateEvacuated recomputes whether a worker's data centre is evacuated, and reports whether that has changed.
func (c *Cell) updateEvacuated(w *worker) bool {
	evacuated := c.evacuations.Includes(w.info.DataCentre)
	if evacuated == w.evacuated {
		return false
	}
	w.evacuated = evacuated
	w.markChanged()
	for _, r := range w.runs.all() {
		if !evacuated && !r.stopping {
			r.unwanted.Store(false) // its start may be sent again if it was withheld
		}
	}
	return true
}

// withholdStart keeps a start from being sent that may be queued behind others. If the worker has answered since
// without listing the run, it also has the run ruled out, since a copy of the start may still be under way. A start
// that was sent before takes effect if it arrives.
func (c *Cell) withholdStart(r *run, now cottonlanding.Millis) {
	r.unwanted.Store(true)
	if !r.orderInFlight && r.worker.lastAnswerAt > max(r.sentAt, r.placedAt) {
		c.revokeStart(r, "its data centre is evacuated and its worker has not told of the start", now)
	}
}

// revokeStart ends a run whose start is no longer wanted or was not accepted, and the rest of its gang, which could
// never be complete.
func (c *Cell) revokeStart(r *run, reason string, now cottonlanding.Millis) {
	c.endUnstarted(r, reason, now)
	c.revokeGang(r, now)
}

// revokeGang revokes the other runs of a gang that can't be complete.
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

// endUnstarted ends a run whose start must not take effect any more.
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

// logEvacuated logs each data centre whose evacuation was ordered or lifted: its workers, their runs, and how many
// starts were revoked.
func (c *Cell) logEvacuated(before cottonlanding.Evacuations, changed []*worker, revoked int64, now cottonlanding.Millis) {
	workers := make(map[cottonlanding.DataCentre]int)
	runs := make(map[cottonlanding.DataCentre]int)
	for _, w := range changed {
		workers[w.info.DataCentre]++
		runs[w.info.DataCentre] += w.runs.size()
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(workers)) {
		order, evacuated := c.evacuations.InForce[dataCentre]
		if !evacuated {
			order = before.InForce[dataCentre]
		}
		c.log.Info("data centre evacuated", "DataCentre", dataCentre, "Evacuated", evacuated, "Version", order.Version,
			"KnownFor", now-order.KnownAt, "Workers", workers[dataCentre], "Runs", runs[dataCentre], "StartsTakenBack", revoked)
	}
}
