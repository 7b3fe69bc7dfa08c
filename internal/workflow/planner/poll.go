package planner

import (
	"errors"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// leaseUntil returns the end of a lease granted now, on the worker's clock, and extends the worker's lease bound. A
// worker that doesn't answer gets no extension, because its runs could never be given up otherwise, nor does one
// whose bound is stored.
func (c *Cell) leaseUntil(w *worker, now cottonlanding.Millis) cottonlanding.Reading {
	if !w.reachable(now) || c.bounds.has(w.info.ID) {
		return w.grantedUntil
	}
	span := c.leaseSpan(w, now)
	c.bounds.nextLeasesEnd = max(c.bounds.nextLeasesEnd, w.readAt+span) // while there is no limit, it may be later
	w.bound = w.bound.latest(c.newBound(w.readAt+withDriftMargin(span), boundByGrant, now))
	w.grantedUntil = max(w.grantedUntil, w.reading+cottonlanding.Reading(span))
	return w.grantedUntil
}

// startLeaseDivisor is the fraction, as a divisor, of a lease that must be used up for a start to extend it: more
// time than a poll takes to fail.
const startLeaseDivisor = 3

// startLease is leaseUntil for a start. If polls already renew the worker's lease, a start extends it only once the
// fraction 1/startLeaseDivisor of it is used up. Otherwise each start to a worker that has just fallen silent would
// delay the instant at which its runs are certain to have ended.
func (c *Cell) startLease(w *worker, now cottonlanding.Millis) cottonlanding.Reading {
	reading := w.reading + cottonlanding.Reading(now-w.readAt)
	left := c.timing.Lease - c.timing.Lease/startLeaseDivisor
	if w.listsRuns() && w.grantedUntil-reading >= cottonlanding.Reading(left) {
		return w.grantedUntil
	}
	return c.leaseUntil(w, now)
}

// listsRuns reports whether the worker's last poll answer listed runs of this owner.
func (w *worker) listsRuns() bool {
	return slices.ContainsFunc(w.runs.all(), func(r *run) bool { return r.listedAt > 0 && r.listedAt == w.lastAnswerAt })
}

// NextPoll describes the next poll of a worker.
type NextPoll struct {
	Worker cottonlanding.WorkerRef
	Poll   cottonlanding.Poll
	// After is how long to wait before polling, unless something changes earlier.
	After cottonlanding.Millis
}

// NextPoll returns the next poll of a worker, or false if the worker is gone.
func (c *Cell) NextPoll(id cottonlanding.WorkerID, now cottonlanding.Millis) (NextPoll, bool) {
	w := c.workers[id]
	if w == nil {
		return NextPoll{}, false
	}
	next := NextPoll{Worker: w.ref()}
	if now < w.nextPollAt {
		next.After = w.nextPollAt - now
		return next, true
	}
	next.Poll.Epoch = w.epoch
	if w.reading > 0 && !w.fenced && !w.pollFailed {
		return next, true // it has just answered, and refuses the calls to earlier lives once it has answered this poll
	}
	uncommitted := w.receivedEnd > w.committedEnd
	if until := w.uncommittedSince + c.uncommittedEndsTimeout(); uncommitted && now < until {
		next.After = until - now
		return next, true
	}
	if w.lifeUnconfirmed || w.pollFailed {
		// This poll carries neither acknowledged ends nor a lease: another life would forget its own ends by these
		// numbers, and measure the lease by its own clock.
		next.Poll.Wait = unconfirmedPollWait
		return next, true
	}
	if w.committedEnd > w.acknowledgedEnd && !w.orderUnanswered {
		next.Poll.Seen = w.committedEnd
	}
	if w.runs.size() > 0 {
		next.Poll.LeaseUntil = c.leaseUntil(w, now)
		w.lastLeaseAt = now
	}
	if w.reading > 0 && !uncommitted {
		next.Poll.Wait = idlePollWait
		switch {
		case w.runs.size() > 0 && !w.reachable(now):
			next.Poll.Wait = unconfirmedPollWait // this poll extends no lease, only the next one does
		case w.overTarget:
			next.Poll.Wait = overTargetPollWait
		case w.runs.size() > 0:
			next.Poll.Wait = busyPollWait
		}
	}
	return next, true
}

// PollSent records that a poll is sent. If the ends of the previous answer aren't committed by now, the next poll
// waits for them up to the timeout again.
func (c *Cell) PollSent(id cottonlanding.WorkerID, now cottonlanding.Millis) {
	if w := c.workers[id]; w != nil && w.receivedEnd > w.committedEnd {
		w.uncommittedSince = now
	}
}

// PollAnswered records the answer to a poll that was sent at sentAt.
func (c *Cell) PollAnswered(poll NextPoll, report cottonlanding.RunReport, sentAt, now cottonlanding.Millis) {
	w := c.workers[poll.Worker.Life.Worker]
	if w == nil {
		return
	}
	polled := w
	w = c.identifyLife(w, report, sentAt, now)
	if w.pollFailed {
		c.log.Info("worker answers again", "Worker", w.info.ID)
		c.recordContact(w)
	}
	if w == polled {
		w.acknowledgedEnd = max(w.acknowledgedEnd, poll.Poll.Seen)
	}
	c.resolveOnAnswer(w, now)
	w.answeredUnlisted = !w.listed
	w.pollFailed, w.polled, w.expired = false, true, nil
	w.lifeUnconfirmed, w.orderUnanswered = false, false
	w.endUncertainty = sentAt - w.lastAnswerAt
	w.lastAnswerAt, w.lastAnswerPollSentAt = now, sentAt
	w.recordContact(now)
	w.markChanged()
	w.recordReading(report.Reading, now)
	c.recordFence(w, poll, now)
	c.recordEnds(w, report.Ended, now)
	c.reconcileRuns(w, report, sentAt, now)
	c.stopStuckRuns(w, now)
	c.controlPace(w, now)
}

func (w *worker) recordReading(reading cottonlanding.Reading, now cottonlanding.Millis) {
	if reading > w.reading {
		w.reading, w.readAt = reading, now
	}
}

// PollFailed records that a poll got no answer.
func (c *Cell) PollFailed(poll NextPoll, cause error, now cottonlanding.Millis) {
	w := c.workers[poll.Worker.Life.Worker]
	if w == nil {
		return
	}
	if !w.pollFailed {
		c.log.Warn("worker does not answer", "Worker", w.info.ID, "Born", w.born, "Runs", w.runs.size(), "Error", cause)
		w.pollFailed, w.pollFailedSince = true, now
		c.recordOutage(w, now)
	}
	w.polled = w.polled || now-w.pollFailedSince >= silenceTimeout
	w.nextPollAt = now + pollRetryInterval
	if errors.Is(cause, cottonlanding.ErrStaleEpoch) && poll.Poll.Epoch >= w.epoch {
		c.superseded = true
	}
	if errors.Is(cause, cottonlanding.ErrOtherLife) && poll.Worker == w.ref() {
		c.recordLifeEnded(w, now)
		return
	}
	if !w.listed && w.runs.size() == 0 {
		c.forgetWorker(w.info.ID)
	}
}

// reconcileRuns compares the runs that the worker lists with those it should have.
func (c *Cell) reconcileRuns(w *worker, report cottonlanding.RunReport, sentAt, now cottonlanding.Millis) {
	listed := make(map[cottonlanding.RunKey]bool, len(report.Running))
	for _, update := range report.Running {
		listed[update.RunKey] = true
		r := w.runs.get(update.RunKey)
		if r == nil {
			r = c.trackUnownedRun(w, update.RunKey, now)
		}
		r.update(update, now)
		c.recordRunProgress(r)
		c.markJobStarted(update.RunKey)
		c.settlePendingStarts(r)
		c.recordOutlasted(r)
		c.endDowntimeOf(r, now)
		c.clear(r, now)
	}
	if len(report.Ended) >= maxEndsPerPoll {
		return // other ends may have been left out
	}
	for _, r := range w.runs.snapshot() {
		if listed[r.RunKey] {
			continue
		}
		stopped := r.stopping && (r.firstStopAckAt > 0 && r.firstStopAckAt < sentAt || r.startsExpired(report.Reading) || w.refusesStarts(r))
		gone := r.phase == started && r.ackedAt < sentAt
		switch {
		case !stopped && !gone:
		case c.mustOutwaitStarts(r, now):
			c.stop(r, "a start of it may come", now)
		default:
			c.logs.forStep(r.step).Info("run gone", "Task", r.Task.String(), "Run", r.Number, "Worker", w.info.ID, "Born", w.born, "Stopped", stopped)
			c.dropRun(r, now)
		}
	}
}

// startsExpired reports whether a worker that doesn't list a run refuses all its starts from now on: those of
// previous owners because of their epoch, those of this one because their leases have passed on its clock.
func (r *run) startsExpired(reading cottonlanding.Reading) bool {
	return r.phase == sent && reading-readingTolerance > r.startDeadline
}

// trackUnownedRun keeps a run that belongs to no task until it is stopped.
func (c *Cell) trackUnownedRun(w *worker, key cottonlanding.RunKey, now cottonlanding.Millis) *run {
	r := &run{RunKey: key, worker: w, life: w, born: w.born, phase: started, pace: fullPace, paceGoal: fullPace, placedAt: now}
	if j := c.jobs[key.Task.Workflow]; j != nil {
		if t := j.task(key.Task); t != nil {
			r.step = t.stage.Step
			if !c.reclaimRun(t, r) {
				r.stray = t
			}
		}
	}
	w.addRun(r)
	c.log.Warn("run that no task asks for", "Task", key.Task.String(), "Run", key.Number, "Worker", w.info.ID)
	c.stop(r, "no task asks for it", now)
	return r
}

// reclaimRun makes a run that was given up the current one of its task again if the task waits and has had no later run.
// It is to be stopped all the same, but the task's row tells the next owner that it may go on.
func (c *Cell) reclaimRun(t *task, r *run) bool {
	life := r.worker.life()
	if t.state != taskWaiting || t.number != r.Number || t.job.state.Final() || t.stage.Gang || !t.job.hasRoomForLives(lifeBytes(life)) {
		return false
	}
	r.task, t.run, t.state = t, r, taskAssigned
	t.setLife(life)
	c.markDirty(t.job)
	return true
}

func (r *run) update(p cottonlanding.RunProgress, now cottonlanding.Millis) {
	if r.phase != started {
		r.phase, r.ackedAt = started, now
		r.progressedAt = now
	}
	if p.Percent > r.percent || r.step.Lasting && p.Percent >= fullPercent {
		r.progressedAt = now
	}
	r.listedAt = now
	r.markTaskRunning(now)
	r.percent = p.Percent
	r.tailLatency, r.used = p.Tail, p.Used
	r.accountFullSpeed(p.Used, now)
	r.recordCheckpoint(p.Checkpoint, checkpointListed, now)
}
