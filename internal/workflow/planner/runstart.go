package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// begunBy returns the latest time at which the run can have begun, and false if that is unknown: for a run of an
// earlier owner that no poll has listed yet.
func (r *run) begunBy() (cottonlanding.Millis, bool) {
	if r.sentAt > 0 && !r.startedByOtherLife {
		return r.sentAt, true
	}
	return r.ackedAt, r.ackedAt > 0
}

// observedFor returns how long the run is known to have been running: from the latest time at which it can have begun
// until its worker last listed it.
func (r *run) observedFor() cottonlanding.Millis {
	begunBy, known := r.begunBy()
	if !known {
		return 0
	}
	return max(0, r.listedAt-begunBy)
}

// recordOutlasted records that a run has lasted for promptWindow, longer than a task that crashes its worker would. It
// is written for the next owner once it holds for all runs of a lasting step, or for the run of a task with a loss
// history.
func (c *Cell) recordOutlasted(r *run) {
	if r.outlastedPromptWindow || r.observedFor() < promptWindow {
		return
	}
	r.outlastedPromptWindow = true
	if t := r.task; t != nil && t.run == r && (t.hasLossHistory() || r.step.Lasting && t.stage.allOutlasted()) {
		c.markDirty(t.job)
	}
}

// allOutlasted reports whether all runs of the step have lasted for promptWindow.
func (s *stage) allOutlasted() bool {
	return !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.run != nil && !t.run.outlastedPromptWindow })
}

// hasLossHistory reports whether a loss, a crash or an open life of the task is stored. Suspects, in contrast, are the
// runs that stand out at the end of one life (suspectsAmong).
func (t *task) hasLossHistory() bool {
	return t.crashes != (cottonlanding.CrashRecord{}) || t.openLife.Worker != ""
}

// mayHaveBegun reports whether the worker may be running the run, whatever it has answered.
func (r *run) mayHaveBegun() bool { return r.phase >= sent }

// beganInPromptWindow reports whether the run began within promptWindow before the given time, which makes it a suspect
// for the end of its worker at that time.
func (r *run) beganInPromptWindow(at cottonlanding.Millis) bool {
	begunBy, known := r.begunBy()
	return known && r.mayHaveBegun() && begunBy <= at && at-begunBy <= promptWindow
}

// mayHaveBegunSinceRecentWindow reports whether the run may have begun within recentWindow before the given time or
// later, so that it may be related to the end of its worker. A start of an earlier owner that no poll has confirmed may
// have begun the run at any time.
func (r *run) mayHaveBegunSinceRecentWindow(at cottonlanding.Millis) bool {
	begunBy, known := r.begunBy()
	return r.mayHaveBegun() && (!known || at-begunBy < recentWindow)
}

// mayHaveBegunSincePromptWindow reports whether the run may have begun within promptWindow before the given time or
// later. A run that no answer has confirmed may have begun at any time: its start may have been delayed on the way, or
// an earlier owner may have sent it.
func (r *run) mayHaveBegunSincePromptWindow(at cottonlanding.Millis) bool {
	if r.phase == sent {
		return true
	}
	begunBy, known := r.begunBy()
	return known && r.mayHaveBegun() && at-begunBy <= promptWindow
}
