package driver

import (
	"context"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/pauser"
	"github.com/cottonlanding/cottonlanding/internal/duty/waker"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// minPollInterval is the least time between two looks at a worker that may hold back its answers, unless it has
// told of an end. One that answers such looks at once would be asked thousands of times a second,
// and the looks of a few of them leave a small host no time for its callers.
const minPollInterval = 50 * cottonlanding.Millis(1)

// pollWorker looks at one worker again and again until the worker is gone.
func (d *Driver) pollWorker(id cottonlanding.WorkerID, woken waker.Waker) {
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.pollers, id)
		d.lastWorkerList = nil // a worker that is listed again gets another attendant
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

// pollImmediately looks at a worker once few enough others are being looked at whose
// answers come at once. A new owner asks all workers first: if it asked them together,
// one that is short of processor time would find all answers too late. A worker that
// gives no answer doesn't hold up the others for long.
func (d *Driver) pollImmediately(id cottonlanding.WorkerID) {
	select {
	case d.pollSlots <- struct{}{}:
	case <-d.ctx.Done():
		return
	}
	done := make(chan struct{})
	defer close(done)
	d.work.Go(func() { d.holdPollSlot(done) })
	// What to ask, and whether the ownership still holds, may have changed meanwhile.
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

// beginPoll is nextLook for a look that goes out at once if it is due. Only looks that
// want an answer at once can have ends to wait for, so that all others need not tell.
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

// nextPollLocked asks the cell for the next look. The caller holds the lock.
func (d *Driver) nextPollLocked(id cottonlanding.WorkerID, now cottonlanding.Millis) (planner.NextPoll, bool) {
	if d.cell == nil {
		return planner.NextPoll{}, false
	}
	if !d.mayRenew(now) {
		return planner.NextPoll{After: tick}, true
	}
	d.cell.SetOwnedUntil(d.deps.ValidUntil())
	return d.cell.NextPoll(id, now)
}

// mayRenew reports whether leases may still be extended: the ownership holds, or
// ended so recently that no successor counts them as lapsed.
func (d *Driver) mayRenew(now cottonlanding.Millis) bool {
	until := d.deps.ValidUntil()
	return until > 0 && now < until+d.timing.CutOffGrace
}

// await waits for a span, for a call to wake or for the end of the driver.
func (d *Driver) await(woken <-chan struct{}, span cottonlanding.Millis) {
	pauser.Wait(d.ctx, span, woken)
}

// wakePollers lets attendants look again that waited for a commit.
func (d *Driver) wakePollers() {
	for id, poller := range d.pollers {
		if d.cell.EndsCommitted(id) {
			poller.Wake()
		}
	}
}

// holdPollSlot keeps the place of a prompt look until it has ended, or for promptHold
// while others are answered sooner than that: its worker is silent then.
func (d *Driver) holdPollSlot(done chan struct{}) {
	defer func() { <-d.pollSlots }()
	pauser.Wait(context.Background(), pollSlotTimeout, done)
	if d.lastImmediatePollTook.Load() >= int64(pollSlotTimeout) {
		<-done
	}
}

// poll asks a worker and tells the cell. It returns how many ends the answer lists, and whether there was one. What
// the answer means holds from when it came: a decision may hold the cell for long after.
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
