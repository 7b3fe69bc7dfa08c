package driver

import (
	"context"
	"fmt"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/ticker"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// sendOrders sends due orders until the driver ends. It waits neither for decisions nor for commits: an order is only
// due once the rows that allow it are committed.
func (d *Driver) sendOrders() {
	turns := ticker.New(tick)
	defer turns.Stop()
	for d.ctx.Err() == nil {
		d.dispatch()
		d.sleep(coalescingInterval)
		select {
		case <-d.ctx.Done():
		case <-d.ordersDue:
		case <-turns.Next():
		}
	}
}

// wakeSender has due orders sent before the next tick.
func (d *Driver) wakeSender() { d.ordersDue.Wake() }

// dispatch queues the due orders, with one goroutine for each stream.
func (d *Driver) dispatch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.deps.Clock.Now()
	if d.cell == nil || now >= d.deps.ValidUntil() {
		return
	}
	d.refresh(now)
	d.holdStarts()
	d.limitLeases(now)
	for _, order := range d.cell.Orders(now) {
		if key, first := d.outbox.add(order); first {
			d.work.Go(func() { d.sendAll(key) })
		}
	}
	d.meter.recordStreams(d.outbox.size())
}

// holdStarts withholds starts while the lists of workers or evacuations are stale. The caller holds the lock.
func (d *Driver) holdStarts() {
	age := d.startValidator.dataAges()
	if d.cell.HoldStarts(age.stale()) {
		d.deps.Log.Warn("starts", "Wait", age.stale(), "EvacuationsReadBefore", age.evacuations, "ListReadBefore", age.list)
	}
}

// sendAll sends the orders of a stream until none is left.
func (d *Driver) sendAll(at streamKey) {
	for {
		order, found := d.outbox.next(at)
		if !found {
			return
		}
		order.SentAt = d.deps.Clock.Now()
		reading, err := d.send(order)
		answered := d.deps.Clock.Now()
		d.meter.recordOrder(order.GivenAt, order.SentAt, answered)
		d.outbox.recordResult(orderResult{order: order, reading: reading, err: err, at: answered})
	}
}

// applyResults applies the results of orders to the cell, all that are available at a time.
func (d *Driver) applyResults() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.outbox.resultsDue:
		}
		d.mu.Lock()
		for _, result := range d.outbox.takeResults() {
			if d.cell != nil {
				d.cell.OrderAnswered(result.order, result.reading, result.err, result.at)
			}
		}
		d.mu.Unlock()
		d.wakeSender()
	}
}

// send checks right before it sends that the ownership still holds, because the process may have been paused. A start
// must also still be requested, because it may have waited for those before it, and be allowed on its worker.
func (d *Driver) send(order planner.Order) (cottonlanding.Reading, error) {
	if order.SentAt >= d.deps.ValidUntil() {
		return 0, fmt.Errorf("%w: the ownership has expired", cottonlanding.ErrLate)
	}
	if order.Obsolete() {
		return 0, planner.ErrObsoleteStart
	}
	if order.Verb == planner.VerbStart {
		if err := d.startValidator.check(order); err != nil {
			return 0, err
		}
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
