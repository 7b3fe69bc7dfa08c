package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A worker lists the end of a run until it is told to forget it, which it may be only once all consequences of the end
// are committed. Until then it is polled once per uncommittedEndsTimeout only, so that its next ends become known late.
// While commits lag behind there are always changes that aren't in any plan; with CommitsCallersFirst, each worker's
// ends are therefore acknowledged by themselves.

// uncommittedEnd is an end that a worker listed and whose consequences may not be committed.
type uncommittedEnd struct {
	serial     uint64
	receivedAt cottonlanding.Millis
	// jobs had changes that were in no plan when the end had been recorded; plans was Cell.plans then. The
	// consequences are in the plans once each of the jobs was in a later plan.
	jobs  []*job
	plans int64
}

// inPlans reports whether the consequences are in the plans made so far.
func (e uncommittedEnd) inPlans() bool {
	return !slices.ContainsFunc(e.jobs, func(j *job) bool { return j.lastPlan <= e.plans })
}

// addUncommittedEnd records an end with the jobs that it has changed. Its own job counts also if the end changed
// nothing: what it depends on, such as a cancel, may not be committed either.
func (c *Cell) addUncommittedEnd(w *worker, end cottonlanding.RunEnd, now cottonlanding.Millis) {
	entry := uncommittedEnd{serial: end.Serial, receivedAt: now, plans: c.plans}
	for _, j := range append(c.changedByEnd, c.jobs[end.Task.Workflow]) {
		if j != nil && c.dirty[j.ID] != nil && !slices.Contains(entry.jobs, j) {
			entry.jobs = append(entry.jobs, j)
		}
	}
	w.uncommittedEnds = append(w.uncommittedEnds, entry)
}

// endsCommittedWith returns, for each worker, the last end whose consequences are committed with the plan that was just
// made.
func (c *Cell) endsCommittedWith() map[*worker]uint64 {
	if len(c.dirty) == 0 {
		return c.receivedEnds()
	}
	if !c.policy.CommitsCallersFirst {
		return nil
	}
	out := make(map[*worker]uint64)
	for _, w := range c.sortedWorkers() {
		for _, end := range w.uncommittedEnds {
			if !end.inPlans() {
				break
			}
			out[w] = end.serial
		}
	}
	return out
}

// uncommittedEndsTimeout bounds how long a poll waits for the ends of the previous answer to be committed.
func (c *Cell) uncommittedEndsTimeout() cottonlanding.Millis {
	if c.policy.CommitsCallersFirst {
		return shortUncommittedEndsTimeout
	}
	return uncommittedEndsTimeout
}

// receivedEnds returns, for each worker, the last end that it listed, unless that is committed.
func (c *Cell) receivedEnds() map[*worker]uint64 {
	out := make(map[*worker]uint64)
	for _, w := range c.sortedWorkers() {
		if w.receivedEnd > w.committedEnd {
			out[w] = w.receivedEnd
		}
	}
	return out
}

func (c *Cell) recordCommittedEnds(committedEnd map[*worker]uint64) {
	for w, serial := range committedEnd {
		w.committedEnd = max(w.committedEnd, serial)
		w.uncommittedEnds = slices.DeleteFunc(w.uncommittedEnds, func(end uncommittedEnd) bool { return end.serial <= w.committedEnd })
		if len(w.uncommittedEnds) > 0 {
			w.uncommittedSince = max(w.uncommittedSince, w.uncommittedEnds[0].receivedAt)
		}
	}
}

// EndsCommitted reports whether the consequences of all ends that the worker listed are committed.
func (c *Cell) EndsCommitted(id cottonlanding.WorkerID) bool {
	w := c.workers[id]
	return w == nil || w.receivedEnd == w.committedEnd
}
