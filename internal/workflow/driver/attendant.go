package driver

import (
	"context"
	"fmt"
	"time"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// attend looks at one worker again and again until the worker is gone.
func (d *Driver) attend(id cottonlanding.WorkerID, wake chan struct{}) {
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.attended, id)
		d.listed = nil // a worker that is listed again gets another attendant
	}()
	for d.ctx.Err() == nil {
		next, found := d.nextLook(id)
		if !found {
			return
		}
		if next.After > 0 {
			d.await(wake, next.After)
			continue
		}
		d.look(next)
	}
}

func (d *Driver) nextLook(id cottonlanding.WorkerID) (planner.NextLook, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.deps.Clock.Now()
	if d.cell == nil {
		return planner.NextLook{}, false
	}
	if !d.mayRenew(now) {
		return planner.NextLook{After: tick}, true
	}
	return d.cell.NextLook(id, now)
}

// mayRenew reports whether leases may still be extended: the ownership holds, or
// ended so recently that no successor counts them as lapsed.
func (d *Driver) mayRenew(now cottonlanding.Millis) bool {
	until := d.deps.ValidUntil()
	return until > 0 && now < until+d.timing.CutOffGrace
}

func (d *Driver) await(wake chan struct{}, span cottonlanding.Millis) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-d.ctx.Done():
	}
}

// wakeAttendants lets attendants look again that waited for a commit.
func (d *Driver) wakeAttendants() {
	for id, wake := range d.attended {
		if !d.cell.Seen(id) {
			continue
		}
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

func (d *Driver) look(next planner.NextLook) {
	ctx, cancel := context.WithTimeout(d.ctx, (next.Look.Wait + callTimeout).Duration())
	defer cancel()
	sentAt := d.deps.Clock.Now()
	report, err := d.deps.Workers.Look(ctx, next.Worker, next.Look)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cell == nil || d.ctx.Err() != nil {
		return
	}
	now := d.deps.Clock.Now()
	if err != nil {
		d.cell.LookFailed(next.Worker.ID, err, now)
		return
	}
	d.cell.Looked(next.Worker.ID, report, sentAt, now)
	if len(report.Ended) > 0 {
		d.kick()
	}
}

// dispatch hands the due orders to one goroutine for each worker, and returns how
// many workers have orders under way.
func (d *Driver) dispatch() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.deps.Clock.Now()
	if now >= d.deps.ValidUntil() {
		return len(d.senders)
	}
	for _, order := range d.cell.Orders(now) {
		id := order.Worker.ID
		queued, running := d.senders[id]
		d.senders[id] = append(queued, order)
		if !running {
			d.work.Go(func() { d.sendAll(id) })
		}
	}
	return len(d.senders)
}

// sendAll sends the orders to one worker until there are no more.
func (d *Driver) sendAll(id cottonlanding.WorkerID) {
	for {
		d.mu.Lock()
		queued := d.senders[id]
		if len(queued) == 0 {
			delete(d.senders, id)
			d.mu.Unlock()
			return
		}
		order := queued[0]
		d.senders[id] = queued[1:]
		d.mu.Unlock()
		order.SentAt = d.deps.Clock.Now()
		reading, err := d.send(order)
		d.watch.noteOrder(order.GivenAt, order.SentAt, d.deps.Clock.Now())
		d.mu.Lock()
		if d.cell != nil {
			d.cell.Ordered(order, reading, err, d.deps.Clock.Now())
		}
		d.mu.Unlock()
	}
}

// send checks right before it sends that the ownership still holds, because the
// process may have been paused.
func (d *Driver) send(order planner.Order) (cottonlanding.Reading, error) {
	if order.SentAt >= d.deps.ValidUntil() {
		return 0, fmt.Errorf("%w: the ownership has run out", cottonlanding.ErrLate)
	}
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout.Duration())
	defer cancel()
	switch order.Verb {
	case planner.VerbStart:
		return d.deps.Workers.Start(ctx, order.Worker, order.Start)
	case planner.VerbStop:
		return 0, d.deps.Workers.Stop(ctx, order.Worker, order.Start.RunKey, order.Start.Epoch)
	default:
		return 0, d.deps.Workers.Pace(ctx, order.Worker, order.Start.RunKey, order.Percent, order.Start.Epoch)
	}
}
