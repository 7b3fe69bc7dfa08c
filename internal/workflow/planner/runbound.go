package planner

import (
	"cmp"
	"maps"

	"github.com/cottonlanding/cottonlanding"
)

// Until when may which life of a worker run something that any owner has ordered? A call without an answer may still be
// carried out for MaxCallDelay, by whichever life the worker then is in. A deadline of an earlier life's clock is far
// ahead of the next one's, which cuts it to MaxLease from the arrival of the call. So a run may go on until the latest of
//
//   - the end of the leases that owners granted to the life by its own clock (bound);
//   - MaxLease after the life was fenced, if it follows another one: until then it may have adopted leases from calls
//     to that one (adoption.go);
//   - if something says that the worker is in another life, or that calls are delayed, MaxLease after the last instant
//     at which a pending start of it may be carried out, or the lease of the life that carries it out may be extended by
//     another call (pendingStartBound).
//
// A start is pending if it got no answer and may still be carried out. A life is fenced by a poll with an epoch above
// those of all calls that were sent before the life was known. Nothing is started on it, and no lease is granted to it,
// before it has answered that poll. What its next life may do is bounded by the third term alone: a run whose starts are
// all answered ended with the life that carried them out.
//
// The second term can't be derived from the rows of the tasks, nor from the heartbeats of an owner, which bound the
// leases that owners grant. It is stored before the first start on the life is sent.
//
// Runs whose leases have ended are given up by runBound. A run that has ended, or was stopped or refused and isn't listed,
// is given up at once, since the present life refuses it. A next life that nobody has heard yet may still carry out a
// pending start: while calls seem to be delayed, such a run is kept until that is over (mustOutwaitStarts), and the task
// of one that has ended waits (holdForPendingStarts).

const (
	// minDelayingWorkers is how many workers must seem to have delayed a start within delayedCallsWindow for calls to
	// count as delayed, for as long again.
	minDelayingWorkers = 3
	delayedCallsWindow = 30 * cottonlanding.Second
)

// mayBeOfAnotherLife reports whether something says that the worker of a run is in another life than the one that it
// was placed on or taken over with: its entry, or the clock in the answer to an order.
func (r *run) mayBeOfAnotherLife() bool {
	w := r.worker
	return w.lifeUnconfirmed || w.info.Born.DiffersFrom(cmp.Or(w.born, r.born))
}

// runBound returns until when a run may go on under the id of its worker.
func (c *Cell) runBound(r *run, now cottonlanding.Millis) bound {
	if until := c.pendingStartBound(r, now); until > 0 && (r.mayBeOfAnotherLife() || c.callsDelayed(now)) {
		return r.worker.bound.latest(bound{until, boundByPendingStart, c.setup.Epoch, r.lastPendingAt})
	}
	return r.worker.bound
}

// recordUnansweredOrder records that an order got no answer. If the worker has answered a poll that was sent later than a
// start, and didn't list the run, the start may have been delayed.
func (c *Cell) recordUnansweredOrder(w *worker, order Order, now cottonlanding.Millis) {
	r := w.runs.get(order.Start.RunKey)
	if order.Verb != VerbStart || r == nil || r.phase != sent || order.SentAt == 0 || order.SentAt >= w.lastAnswerPollSentAt {
		return
	}
	c.delayingWorkers[w.info.ID] = now
	maps.DeleteFunc(c.delayingWorkers, func(_ cottonlanding.WorkerID, at cottonlanding.Millis) bool {
		return now-at >= delayedCallsWindow
	})
	if len(c.delayingWorkers) >= minDelayingWorkers {
		c.delayedUntil = now + delayedCallsWindow
	}
}

// callsDelayed reports whether workers seem to carry out calls late: several have left starts unanswered while they
// answered polls, so that these weren't just lost with a connection. Meanwhile the next life of a silent worker may
// carry out a start long after its leases have ended, although nothing tells of that life yet.
func (c *Cell) callsDelayed(now cottonlanding.Millis) bool { return now < c.delayedUntil }

// delayChanged reports whether the row doesn't say for long enough that calls count as delayed.
func (c *Cell) delayChanged(now cottonlanding.Millis) bool {
	return c.bounds.clock != nil && c.callsDelayed(now) && c.delayedUntil-c.bounds.delayedUntil > delayedCallsWindow/2
}

// mustOutwaitStarts reports whether a run is kept although its worker doesn't list it, because calls are delayed and a
// start of it is pending: the worker's next life would not know that the run was stopped or has ended. As long as the run
// is kept, the next owner knows of it as well.
func (c *Cell) mustOutwaitStarts(r *run, now cottonlanding.Millis) bool {
	t := r.task
	return t != nil && !t.job.state.Final() && c.callsDelayed(now) && c.pendingStartBound(r, now) > 0
}

// holdForPendingStarts has the task of a run that has ended, or is given up, wait until no start of that run can be
// carried out any more, while calls are delayed.
func (c *Cell) holdForPendingStarts(r *run, now cottonlanding.Millis) {
	if c.mustOutwaitStarts(r, now) {
		r.task.startsAfter = r.lastPendingAt + c.timing.MaxCallDelay
	}
}

// mayHaveStray reports whether a run of the task that was given up goes on, or may still begin.
func (t *task) mayHaveStray(now cottonlanding.Millis) bool {
	return t.strays > 0 || now < t.startsAfter
}

// pendingStartBound returns until when a run may go on in a life that carries out a start of it late, zero if no start can be
// carried out any more.
func (c *Cell) pendingStartBound(r *run, now cottonlanding.Millis) cottonlanding.Millis {
	w, sentAt := r.worker, r.lastPendingAt
	if r.startInFlight {
		sentAt = now + maxAnswerAge // it may be queued in the driver
	}
	switch {
	case r.pendingStarts == 0 && !r.startInFlight || sentAt+c.timing.MaxCallDelay <= w.lastAnswerPollSentAt:
		return 0
	case r.startEpoch == 0 && w.earlierPendingKnown:
		return w.earlierPendingUntil
	}
	return max(sentAt, w.lastLeaseAt) + c.timing.MaxCallDelay + withDriftMargin(c.timing.MaxLease)
}

// pendingStartsBound returns the latest pendingStartBound of the worker's runs.
func (c *Cell) pendingStartsBound(w *worker, now cottonlanding.Millis) cottonlanding.Millis {
	latest := cottonlanding.Millis(0)
	for _, r := range w.runs.all() {
		latest = max(latest, c.pendingStartBound(r, now))
	}
	return latest
}

// settlePendingStarts forgets the starts of a listed run that have been carried out, or never will be: the only one of which
// the outcome wasn't known, or all of them once the worker has answered a poll that was sent MaxCallDelay later.
func (c *Cell) settlePendingStarts(r *run) {
	only := r.pendingStarts == 1 && !r.startAnswered
	if r.pendingStarts == 0 || r.startInFlight || !only && r.lastPendingAt+c.timing.MaxCallDelay > r.worker.lastAnswerPollSentAt {
		return
	}
	r.pendingStarts, r.lastPendingAt = 0, 0
	if r.outlastedPromptWindow && r.isOfLastingTask() {
		c.markDirty(r.task.job)
	}
}
