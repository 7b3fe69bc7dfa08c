package planner

import "github.com/cottonlanding/cottonlanding"

// A lasting task that has run is missed by its users until it runs again. What keeps it waiting for the
// sake of others ends in time for a start, counted from when its run was last seen at work: that a run
// has ended may be known a whole lease later. docs/design/lasting-tasks.md adds up all waits.

const (
	// mostDown is how long a lasting task may be down. Source: the users' rule on lost tasks: six seconds
	// after its last run, and three of calm.
	mostDown = 9 * cottonlanding.Second
	// mostHeldBack is how long after its run was last seen a task may be kept waiting for the sake of
	// others. What is left of mostDown is for making room and for the start.
	mostHeldBack = 7 * cottonlanding.Second
)

// recordAtWork notes that the run was at work at an instant.
func (r *run) recordAtWork(now cottonlanding.Millis) {
	if t := r.task; t != nil && t.run == r {
		t.seenAt = now
	}
}

// downSince returns when the task was last known to run or, if it never did, when it began to wait.
func (t *task) downSince() cottonlanding.Millis {
	if t.seenAt > 0 {
		return min(t.seenAt, t.since)
	}
	return t.since
}

// mustRunAgain reports whether a lasting task that has run may not be kept waiting for the sake of others any more.
func (t *task) mustRunAgain(now cottonlanding.Millis) bool {
	return t.stage.Lasting && !t.stage.Fills && t.number > 0 && now-t.downSince() >= mostHeldBack
}
