package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// begunBy returns the instant by which the run has begun at the latest, if it did, and false
// for one of an owner before that no look has listed.
func (r *run) begunBy() (cottonlanding.Millis, bool) {
	if r.sentAt > 0 && !r.startedByOtherLife {
		return r.sentAt, true
	}
	return r.ackedAt, r.ackedAt > 0
}

// observedFor returns how long the run was surely at work on its worker: from when it had begun at the latest
// to when the worker last listed it.
func (r *run) observedFor() cottonlanding.Millis {
	begunBy, known := r.begunBy()
	if !known {
		return 0
	}
	return max(0, r.listedAt-begunBy)
}

// recordOutlived notes that a run has gone on for longer than a task that crashes its worker does. It is
// written for the next owner once that is true of all runs of a lasting step, or of a suspect.
func (c *Cell) recordOutlived(r *run) {
	if r.outlived || r.observedFor() < promptWindow {
		return
	}
	r.outlived = true
	if t := r.task; t != nil && t.run == r && (t.suspected() || r.step.Lasting && t.stage.allOutlived()) {
		c.markDirty(t.job)
	}
}

// allOutlived reports whether all runs of the step's tasks have gone on for that long.
func (s *stage) allOutlived() bool {
	return !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.run != nil && !t.run.outlived })
}

// suspected reports whether something is kept against the task.
func (t *task) suspected() bool {
	return t.crashes != (cottonlanding.CrashRecord{}) || t.openLife.Worker != ""
}

// mayHaveBegun reports whether the worker may run it, whatever it has answered.
func (r *run) mayHaveBegun() bool { return r.phase >= sent }

// beganJustBefore reports whether the run began so shortly before an instant that it is a
// suspect of the end of its worker then.
func (r *run) beganJustBefore(at cottonlanding.Millis) bool {
	begunBy, known := r.begunBy()
	return known && r.mayHaveBegun() && begunBy <= at && at-begunBy <= promptWindow
}

// mayHaveBegunSoonBefore is the same for what may have to do with it. Of a run without an answer
// nothing is known, so that it may.
func (r *run) mayHaveBegunSoonBefore(at cottonlanding.Millis) bool {
	begunBy, known := r.begunBy()
	return r.mayHaveBegun() && (!known || at-begunBy < recentWindow)
}

// mayHaveJustBegun reports whether the run may have begun just before an instant, or later. One that
// no answer has told of may have begun at any time: the life may have held its start back, and an
// owner before may have sent it.
func (r *run) mayHaveJustBegun(at cottonlanding.Millis) bool {
	if r.phase == sent {
		return true
	}
	begunBy, known := r.begunBy()
	return known && r.mayHaveBegun() && at-begunBy <= promptWindow
}
