package driver

import (
	"context"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/pauser"
	"github.com/cottonlanding/cottonlanding/internal/duty/waker"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// minPollInterval is the minimum time between two polls of a worker that may hold back its answers, unless an answer
// lists ends. Without it a worker that answers such polls at once is polled thousands of times a second, and a few of
// these workers leave a small host no time for its callers.
const minPollInterval = 50 * cottonlanding.Millis(1)

// pollWorker polls one worker until the worker is gone.
func (d *Driver) pollWorker(id cottonlanding.WorkerID, woken waker.Waker) {
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.pollers, id)
		d.lastWorkerList = nil // a worker that is listed again gets a new poller
	}()
	for d.ctx.Err() == nil {
		next, found := d.nextPoll(id)
		if !found {
			return
		}
		switch {
		case next.After > 0:
			d.await(woken, next.After)
		case next.Poll.Wait > 0:
			sentAt := d.deps.Clock.Now()
			if ends, _ := d.poll(next); ends == 0 {
				d.await(woken, sentAt+minPollInterval-d.deps.Clock.Now())
			}
		default:
			d.pollImmediately(id)
		}
	}
}

// pollImmediately sends a poll that asks for an answer at once, as soon as one of the maxImmediatePolls slots is free.
// A new owner sends such polls to all workers first; if it sent them together, one that is short of processor time
// would read all answers too late. A worker that gives no answer holds its slot only for a short time.
func (d *Driver) pollImmediately(id cottonlanding.WorkerID) {
	select {
	case d.pollSlots <- struct{}{}:
	case <-d.ctx.Done():
		return
	}
	done := make(chan struct{})
	defer close(done)
	d.work.Go(func() { d.holdPollSlot(done) })
	// The next poll and the ownership may have changed while this waited for a slot.
	next, found := d.beginPoll(id)
	if !found || next.After > 0 {
		return
	}
	began := d.deps.Clock.Now()
	if _, answered := d.poll(next); answered {
		d.lastImmediatePollTook.Store(int64(d.deps.Clock.Now() - began))
	}
}

func (d *Driver) nextPoll(id cottonlanding.WorkerID) (planner.NextPoll, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nextPollLocked(id, d.deps.Clock.Now())
}

// beginPoll is nextPoll that also records the poll, if it is to be sent now. Only polls that get a slot are recorded.
// Of the others, those that confirm a life or follow a failed poll may have uncommitted ends too; the poll after these
// doesn't wait for the ends again.
func (d *Driver) beginPoll(id cottonlanding.WorkerID) (planner.NextPoll, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.deps.Clock.Now()
	next, found := d.nextPollLocked(id, now)
	if found && next.After == 0 {
		d.cell.PollSent(id, now)
	}
	return next, found
}

// nextPollLocked asks the cell for the next poll. The caller holds the lock.
func (d *Driver) nextPollLocked(id cottonlanding.WorkerID, now cottonlanding.Millis) (planner.NextPoll, bool) {
	if d.cell == nil {
		return planner.NextPoll{}, false
	}
	if !d.mayRenew(now) {
		return planner.NextPoll{After: tick}, true
	}
	d.limitLeases(now)
	return d.cell.NextPoll(id, now)
}

// mayRenew reports whether leases may still be extended: the ownership holds, or ended so recently that no successor
// counts them as expired.
func (d *Driver) mayRenew(now cottonlanding.Millis) bool {
	until := d.deps.ValidUntil()
	return until > 0 && now < until+d.timing.CutOffGrace
}

// await waits for a span, until woken can be received from, or until the driver ends.
func (d *Driver) await(woken <-chan struct{}, span cottonlanding.Millis) {
	pauser.Wait(d.ctx, span, woken)
}

// wakePollers wakes the pollers of all workers whose ends are committed. The caller holds the lock.
func (d *Driver) wakePollers() {
	for id, poller := range d.pollers {
		if d.cell.EndsCommitted(id) {
			poller.Wake()
		}
	}
}

// holdPollSlot holds the slot of an immediate poll until done is closed. If the last such poll was answered within
// pollSlotTimeout, it frees the slot after that time: the worker is taken to be unresponsive.
func (d *Driver) holdPollSlot(done chan struct{}) {
	defer func() { <-d.pollSlots }()
	pauser.Wait(context.Background(), pollSlotTimeout, done)
	if d.lastImmediatePollTook.Load() >= int64(pollSlotTimeout) {
		<-done
	}
}

// poll polls a worker and passes the outcome to the cell. It returns how many ends the answer lists, and whether there
// was an answer. The time of the answer is read before the lock is taken, which a decision may hold for long.
func (d *Driver) poll(next planner.NextPoll) (ends int, answered bool) {
	ctx, cancel := context.WithTimeout(d.ctx, (next.Poll.Wait + callTimeout).Duration())
	defer cancel()
	sentAt := d.deps.Clock.Now()
	report, err := d.deps.Workers.Poll(ctx, next.Worker, next.Poll)
	receivedAt := d.deps.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cell == nil || d.ctx.Err() != nil {
		return 0, false
	}
	if err != nil {
		d.cell.PollFailed(next, err, receivedAt)
		return 0, false
	}
	d.cell.PollAnswered(next, report, sentAt, receivedAt)
	if len(report.Ended) > 0 {
		d.decisionsDue.Wake()
	}
	d.wakeSender()
	return len(report.Ended), true
}
