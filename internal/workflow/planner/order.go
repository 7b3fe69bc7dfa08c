package planner

import (
	"cmp"
	"errors"
	"fmt"

	"github.com/cottonlanding/cottonlanding"
)

// Verb is the action that an order requests.
type Verb string

// Verbs of orders.
const (
	VerbStart Verb = "Start"
	VerbStop  Verb = "Stop"
	VerbPace  Verb = "Pace"
)

// orderRetryInterval is the time between two tries of an order.
const orderRetryInterval = 250 * cottonlanding.Millis(1)

// maxRetriesBeforePoll is how often a start without an answer is repeated before the worker has answered a poll. One
// retry covers a connection that was lost. Each further one could reach another life of the worker and crash it as
// well, before either loss is noticed.
const maxRetriesBeforePoll = 1

// maxLateStarts is how often a start that arrived too late is repeated. The answer carries the worker's clock, from
// which the lease of the next start is derived: a further late start has another cause.
const maxLateStarts = 3

// Order is a message to a worker.
type Order struct {
	Verb   Verb
	Worker cottonlanding.WorkerRef
	// DataCentre is the data centre of the worker.
	DataCentre cottonlanding.DataCentre
	Start      cottonlanding.RunStart
	// Percent is the pace that VerbPace requests.
	Percent int
	// GivenAt is when the cell issued the order; SentAt is set by the driver just before it sends the order.
	GivenAt cottonlanding.Millis
	SentAt  cottonlanding.Millis

	run *run
	// worker is the life to which the order was issued.
	worker *worker
}

// ErrObsoleteStart reports that a start was not sent because its run is to be stopped or its data centre is evacuated.
var ErrObsoleteStart = fmt.Errorf("start not sent: run to be stopped or data centre evacuated: %w",
	cottonlanding.ErrUnavailable)

// Obsolete reports whether the order is a start that must not be sent any more: its run is to be stopped, or the data
// centre of its worker is evacuated.
// Obsolete is safe to call while the cell is in use.
func (o Order) Obsolete() bool {
	return o.Verb == VerbStart && o.run != nil && o.run.unwanted.Load()
}

// Orders returns the orders to send now. The outcome of each must be reported with OrderAnswered.
func (c *Cell) Orders(now cottonlanding.Millis) []Order {
	var out []Order
	for _, w := range c.sortedWorkers() {
		if !w.ordersDue {
			continue
		}
		w.ordersDue = false
		for _, r := range w.runs.all() {
			if order, due := c.orderFor(w, r, now); due {
				r.recordIssued(order.Verb)
				w.recordIssued(now)
				out = append(out, order)
			}
			w.ordersDue = w.ordersDue || r.needsOrder()
		}
	}
	return out
}

// HoldStarts suspends the issuing of starts, or resumes it, and reports whether that changed anything.
func (c *Cell) HoldStarts(hold bool) bool {
	changed := c.startsSuspended != hold
	c.startsSuspended = hold
	return changed
}

// needsOrder reports whether the run needs an order that can't be sent yet, so that the orders of its worker stay due.
// Events that call for further orders mark them as due themselves.
func (r *run) needsOrder() bool {
	switch {
	case r.stopping:
		return !r.stopInFlight
	case r.orderInFlight || r.phase == planned:
		return false // an answer or a commit comes first
	case r.phase < started:
		return true
	}
	return r.pace != r.paceGoal
}

// recordIssued records that an order is in flight.
func (r *run) recordIssued(verb Verb) {
	if verb == VerbStop {
		r.stopInFlight = true
		r.stopTries++
		return
	}
	r.orderInFlight = true
	r.startInFlight = r.startInFlight || verb == VerbStart
}

// clearInFlight records that an order is no longer in flight: err says whether it may still be carried out.
func (r *run) clearInFlight(order Order, err error) {
	if order.Verb == VerbStop {
		r.stopInFlight = false
		return
	}
	r.orderInFlight = false
	if order.Verb != VerbStart {
		return
	}
	r.startInFlight = false
	r.startAnswered = r.startAnswered || err == nil
	if errors.Is(err, cottonlanding.ErrAmbiguous) {
		r.pendingStarts++
		r.lastPendingAt = max(r.lastPendingAt, order.GivenAt, order.SentAt)
	}
}

// stopDue reports whether a stop may be sent now. It doesn't wait for the answer to another order of the run: the run
// ends whichever the worker handles first.
func (c *Cell) stopDue(w *worker, r *run, now cottonlanding.Millis) bool {
	if r.stopInFlight || now < r.nextStop || r.phase < sent || w.info.Address == "" {
		return false
	}
	return r.lastStopAckAt == 0 || now-r.lastStopAckAt > 2*c.timing.StopTimeout
}

// mustWithholdStarts reports whether no start may be sent to the worker now.
func (c *Cell) mustWithholdStarts(w *worker, now cottonlanding.Millis) bool {
	switch {
	case c.startsSuspended || c.leasesEndSoon(now) || w.cordoned():
		return true
	case !w.fenced || w.lifeUnconfirmed || !w.reachable(now):
		return true // a lease that has expired by the clock of this life may be valid by the clock of the next one
	}
	return c.bounds.has(w.info.ID) || !c.adoptionStored(w, now)
}

func (c *Cell) orderFor(w *worker, r *run, now cottonlanding.Millis) (Order, bool) {
	order := Order{
		Worker:     w.ref(),
		DataCentre: w.info.DataCentre,
		Start:      cottonlanding.RunStart{RunKey: r.RunKey, Epoch: w.epoch},
		GivenAt:    now,
		run:        r,
		worker:     w,
	}
	switch {
	case r.stopping:
		order.Verb = VerbStop
		return order, c.stopDue(w, r, now)
	case r.orderInFlight || now < r.nextTry || w.reading == 0:
		return Order{}, false
	case r.phase < started && (c.mustWithholdStarts(w, now) || !r.task.job.mayStart(now)):
		return Order{}, false
	case r.phase == sent && w.lastAnswerAt <= r.sentAt && r.retriesSincePoll >= maxRetriesBeforePoll:
		return Order{}, false // the next poll shows what became of the earlier copies
	case r.phase == committed || r.phase == sent:
		order.Verb = VerbStart
		r.countRetry(w)
		order.Start.Payload = r.task.job.Payload
		order.Start.LeaseUntil = c.startLease(w, now)
		order.Start.Checkpoint = c.startCheckpoint(w, r, now)
		r.phase = sent
		r.recordSent(order.Start, now)
		w.lastLeaseAt = now
		return order, true
	case r.phase == started && r.pace != r.paceGoal:
		order.Verb, order.Percent = VerbPace, r.paceGoal
		return order, true
	}
	return Order{}, false
}

// recordSent records that a start is issued. Its answer raises sentAt to the time at which the driver sent it.
func (r *run) recordSent(start cottonlanding.RunStart, now cottonlanding.Millis) {
	r.sentAt = now
	r.startDeadline = max(r.startDeadline, start.LeaseUntil)
	r.startEpoch = max(r.startEpoch, start.Epoch)
	r.firstSentAt = cmp.Or(r.firstSentAt, now)
}

// countRetry counts the starts that are repeated without an answered poll in between.
func (r *run) countRetry(w *worker) {
	if r.phase == sent && w.lastAnswerAt <= r.sentAt {
		r.retriesSincePoll++
		return
	}
	r.retriesSincePoll = 0
}

// OrderAnswered records the outcome of an order. reading is the worker's clock in its answer, err is nil if the worker
// has carried out the order.
func (c *Cell) OrderAnswered(order Order, reading cottonlanding.Reading, err error, now cottonlanding.Millis) {
	c.retractLoss(order, err)
	order.markJobStartedByAnswer(err)
	w := c.workers[order.Worker.Life.Worker]
	if w == nil {
		return
	}
	if order.Verb == VerbStart {
		w.lastLeaseAt = max(w.lastLeaseAt, order.SentAt) // it may have been queued in the driver
	}
	same := order.worker == w
	if same {
		w.updateContact(err, now)
		c.updateLifeFromAnswer(w, order, reading, err, now)
	}
	w.ordersDue = true
	r := w.runs.get(order.Start.RunKey)
	if r == nil {
		return
	}
	if !same {
		c.recordAnswerToEarlierLife(r, order, err, now)
		return
	}
	r.clearInFlight(order, err)
	if err != nil {
		c.logs.tasks.Warn("order not taken", "Verb", order.Verb, "Task", r.Task.String(), "Run", r.Number, "Worker", w.info.ID, "Error", err)
	}
	switch {
	case errors.Is(err, cottonlanding.ErrOtherLife):
		if order.Verb == VerbStart && r.phase == sent && !r.startUnconfirmed {
			c.dropNeverStarted(r, now) // the life ended before it accepted the run, which didn't cause its end
		}
		if order.Worker == w.ref() {
			c.recordLifeEnded(w, now)
		}
	case errors.Is(err, cottonlanding.ErrStaleEpoch):
		c.superseded = true
	case order.Verb == VerbStart:
		r.sentAt = max(r.sentAt, order.SentAt) // it may have been queued in the driver
		c.startAnswered(w, r, err, now)
	case order.Verb == VerbStop:
		c.stopAnswered(r, order, err, now)
	default:
		r.paceAnswered(order.Percent, err, now)
	}
}

// updateLifeFromAnswer records what the answer to an order shows about the worker's life. Orders don't name a birth:
// one without an answer may have reached another life.
func (c *Cell) updateLifeFromAnswer(w *worker, order Order, reading cottonlanding.Reading, err error, now cottonlanding.Millis) {
	if errors.Is(err, cottonlanding.ErrAmbiguous) {
		w.orderUnanswered = true
		c.recordUnansweredOrder(w, order, now)
	}
	if w.isOtherClock(reading, order.SentAt, now) {
		w.lifeUnconfirmed = true
		c.boundUnfenced(w, boundByClock, now)
		return
	}
	w.recordReading(reading, now)
}

// paceAnswered records the outcome of an order of pace. One without an answer may be carried out after newer ones, so
// that the pace is ordered again later.
func (r *run) paceAnswered(percent int, err error, now cottonlanding.Millis) {
	if err == nil {
		r.pace = percent
		return
	}
	r.pace, r.nextTry = unknownPace, now+orderRetryInterval
	if errors.Is(err, cottonlanding.ErrAmbiguous) {
		r.resendPaceAt = now + resendPaceAfter
	}
}

func (c *Cell) startAnswered(w *worker, r *run, err error, now cottonlanding.Millis) {
	switch {
	case err == nil:
		if r.phase < started {
			r.phase, r.ackedAt, r.progressedAt = started, now, now
			r.markTaskRunning(now)
			c.counts.Starts++
			c.endDowntimeOf(r, now)
		}
	case errors.Is(err, ErrObsoleteStart):
		if !r.startUnconfirmed {
			c.dropNeverStarted(r, now) // otherwise an earlier copy may start it: stop it
		}
	case errors.Is(err, cottonlanding.ErrConflict):
		// The run has ended there; the next poll lists its end, or shows that the end was already recorded.
		r.phase, r.ackedAt = started, now
	case errors.Is(err, cottonlanding.ErrLate) && r.lateStarts < maxLateStarts:
		r.lateStarts++
		r.nextTry = now + orderRetryInterval
	case errors.Is(err, cottonlanding.ErrAmbiguous):
		r.startUnconfirmed = true
		r.unansweredStarts++
		r.nextTry = now + orderRetryInterval
	default:
		c.startRefused(w, r, err, now)
	}
}

// startRefused handles a start that had no effect. If an earlier copy got no answer, that copy may still start the run,
// which therefore must be stopped.
func (c *Cell) startRefused(w *worker, r *run, err error, now cottonlanding.Millis) {
	if !errors.Is(err, cottonlanding.ErrBusy) && r.task != nil {
		r.task.failedOn = append(r.task.failedOn, w.life())
		w.health.recordFailure(now)
	}
	if r.startUnconfirmed {
		c.stop(r, "its worker refused it", now)
		return
	}
	w.startsBlockedUntil = now + orderRetryInterval
	c.dropNeverStarted(r, now)
}

// dropNeverStarted removes a run that its worker can't start any more, and with it all runs of its gang.
func (c *Cell) dropNeverStarted(r *run, now cottonlanding.Millis) {
	c.dropRun(r, now)
	c.revokeGang(r, now)
}

func (c *Cell) stopAnswered(r *run, order Order, err error, now cottonlanding.Millis) {
	if r.stopSentAt == 0 {
		r.stopSentAt = order.SentAt
	}
	if err == nil {
		r.lastStopAckAt = now
		if r.firstStopAckAt == 0 {
			r.firstStopAckAt = now
		}
		return
	}
	r.nextStop = now + orderRetryInterval
}

// Superseded reports whether a worker has seen a newer owner.
func (c *Cell) Superseded() bool { return c.superseded }
