package planner

import (
	"errors"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// leaseUntil returns the end of a lease granted now, on the worker's clock, and
// notes how long it can last. A worker that does not answer is granted nothing
// beyond what it has, or its runs could never be given up; nor is one whose bound is written.
func (c *Cell) leaseUntil(w *worker, now cottonlanding.Millis) cottonlanding.Reading {
	if !w.reachable(now) || c.bounds.has(w.info.ID) {
		return w.granted
	}
	span := c.leaseSpan(w, now)
	w.bound = max(w.bound, w.readAt+stretched(span))
	w.granted = max(w.granted, w.reading+cottonlanding.Reading(span))
	return w.granted
}

// startLeaseUsed is the part of a lease, as a divisor, that must be used up for a start to extend it: more than a look takes
// to fail.
const startLeaseUsed = 3

// startLease is leaseUntil for a start. One that goes to a worker with runs, whose looks renew the lease, extends it only
// if much of it is used up: otherwise each start to a worker that has just fallen silent would put off when its runs have
// surely ended.
func (c *Cell) startLease(w *worker, now cottonlanding.Millis) cottonlanding.Reading {
	reading := w.reading + cottonlanding.Reading(now-w.readAt)
	left := c.timing.Lease - c.timing.Lease/startLeaseUsed
	if w.listsRuns() && w.granted-reading >= cottonlanding.Reading(left) {
		return w.granted
	}
	return c.leaseUntil(w, now)
}

// listsRuns reports whether the worker's last answer to a look listed runs of this owner.
func (w *worker) listsRuns() bool {
	return slices.ContainsFunc(w.runs.all(), func(r *run) bool { return r.listedAt > 0 && r.listedAt == w.answered })
}

// NextLook is what to ask a worker next.
type NextLook struct {
	Worker cottonlanding.WorkerRef
	Look   cottonlanding.Look
	// After is how long to wait before asking, or until something has changed.
	After cottonlanding.Millis
}

// NextLook returns the next look at a worker, or false if the worker is gone.
func (c *Cell) NextLook(id cottonlanding.WorkerID, now cottonlanding.Millis) (NextLook, bool) {
	w := c.workers[id]
	if w == nil {
		return NextLook{}, false
	}
	next := NextLook{Worker: w.ref()}
	if now < w.nextLook {
		next.After = w.nextLook - now
		return next, true
	}
	unnoted := w.noted > w.seen
	if unnoted && now-w.unnotedSince < unnotedPause {
		next.After = w.unnotedSince + unnotedPause - now
		return next, true
	}
	next.Look = cottonlanding.Look{Epoch: c.setup.Epoch}
	if w.unsure || w.failed {
		// It only asks: another life would forget its own ends by the numbers of this one, and
		// reckon a lease by its own clock.
		next.Look.Wait = doubtfulWait
		return next, true
	}
	if w.seen > w.forgotten && !w.unanswered {
		next.Look.Seen = w.seen
	}
	if w.runs.size() > 0 {
		next.Look.LeaseUntil = c.leaseUntil(w, now)
	}
	if w.reading > 0 && !unnoted {
		next.Look.Wait = longWait
		switch {
		case w.tense:
			next.Look.Wait = tenseWait
		case w.runs.size() > 0:
			next.Look.Wait = busyWait
		}
	}
	return next, true
}

// LookSent takes in that a look at the worker goes out: if its ends aren't committed by
// then, the next one follows after another pause.
func (c *Cell) LookSent(id cottonlanding.WorkerID, now cottonlanding.Millis) {
	if w := c.workers[id]; w != nil && w.noted > w.seen {
		w.unnotedSince = now
	}
}

// Looked takes in the answer to a look that was sent at sentAt.
func (c *Cell) Looked(look NextLook, report cottonlanding.RunReport, sentAt, now cottonlanding.Millis) {
	w := c.workers[look.Worker.Life.Worker]
	if w == nil {
		return
	}
	asked := w
	w = c.heard(w, report, sentAt, now)
	if w.failed {
		c.log.Info("worker answers again", "Worker", w.info.ID)
		c.recordHeard(w)
	}
	if w == asked {
		w.forgotten = max(w.forgotten, look.Look.Seen)
	}
	c.settleHeard(w, now)
	w.unlistedAlive = !w.listed
	w.failed, w.asked = false, true
	w.unsure, w.unanswered = false, false
	w.answered, w.askedAt = now, sentAt
	w.recordHeard(now)
	w.changed()
	w.read(report.Reading, now)
	c.recordEnds(w, report.Ended, now)
	c.recordRunning(w, report, sentAt, now)
	c.moveStuck(w, now)
	c.controlPace(w, now)
}

func (w *worker) read(reading cottonlanding.Reading, now cottonlanding.Millis) {
	if reading > w.reading {
		w.reading, w.readAt = reading, now
	}
}

// LookFailed takes in that a look got no answer.
func (c *Cell) LookFailed(look NextLook, cause error, now cottonlanding.Millis) {
	w := c.workers[look.Worker.Life.Worker]
	if w == nil {
		return
	}
	if !w.failed {
		c.log.Warn("worker does not answer", "Worker", w.info.ID, "Born", w.born, "Runs", w.runs.size(), "Error", cause)
		w.failed, w.failedSince = true, now
		c.recordSilent(w, now)
	}
	w.asked = w.asked || now-w.failedSince >= silence
	w.nextLook = now + retryPause
	if errors.Is(cause, cottonlanding.ErrStaleEpoch) {
		c.superseded = true
	}
	if errors.Is(cause, cottonlanding.ErrOtherLife) && look.Worker == w.ref() {
		c.lifeEnded(w, now)
		return
	}
	if !w.listed && w.runs.size() == 0 {
		c.forgetWorker(w.info.ID)
	}
}

// recordRunning compares what the worker runs with what it should.
func (c *Cell) recordRunning(w *worker, report cottonlanding.RunReport, sentAt, now cottonlanding.Millis) {
	listed := make(map[cottonlanding.RunKey]bool, len(report.Running))
	for _, progress := range report.Running {
		listed[progress.RunKey] = true
		r := w.runs.get(progress.RunKey)
		if r == nil {
			r = c.adoptOrphan(w, progress.RunKey, now)
		}
		r.progress(progress, now)
		c.recordListed(progress.RunKey)
		c.recordOutlived(r)
		c.recordRuns(r, now)
		c.clear(r, now)
	}
	if len(report.Ended) >= maxEndsPerPoll {
		return // other ends may have been left out
	}
	for _, r := range w.runs.snapshot() {
		if listed[r.RunKey] {
			continue
		}
		stopped := r.stopping && (r.ruledOutAt > 0 && r.ruledOutAt < sentAt || r.startsPassed(report.Reading))
		gone := r.phase == started && r.ackedAt < sentAt
		if stopped || gone {
			c.logs.of(r.step).Info("run gone", "Task", r.Task.String(), "Run", r.Number, "Worker", w.info.ID, "Born", w.born, "Stopped", stopped)
			c.dropRun(r, now)
		}
	}
}

// startsPassed reports whether a worker that doesn't list a run refuses all its starts from now on: those of owners
// before by their epoch, those of this one since their leases have passed by its clock.
func (r *run) startsPassed(reading cottonlanding.Reading) bool {
	return r.phase == sent && reading-readingSlack > r.startsUntil
}

// adoptOrphan keeps the books of a run that no task asks for, until it is stopped.
func (c *Cell) adoptOrphan(w *worker, key cottonlanding.RunKey, now cottonlanding.Millis) *run {
	r := &run{RunKey: key, worker: w, life: w, born: w.born, phase: started, pace: fullPace, paceGoal: fullPace}
	if j := c.jobs[key.Task.Workflow]; j != nil {
		if t := j.task(key.Task); t != nil {
			r.step = t.stage.Step
		}
	}
	w.addRun(r)
	c.log.Warn("run that no task asks for", "Task", key.Task.String(), "Run", key.Number, "Worker", w.info.ID)
	c.stop(r, "no task asks for it", now)
	return r
}

func (r *run) progress(p cottonlanding.RunProgress, now cottonlanding.Millis) {
	if r.phase != started {
		r.phase, r.ackedAt = started, now
		r.moved = now
	}
	if p.Percent > r.percent || r.step.Lasting && p.Percent >= fullPercent {
		r.moved = now
	}
	r.listedAt = now
	r.recordAtWork(now)
	r.percent = p.Percent
	r.tail, r.used = p.Tail, p.Used
	r.recordCheckpoint(p.Checkpoint, checkpointListed, now)
}
