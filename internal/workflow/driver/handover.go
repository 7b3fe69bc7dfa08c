package driver

import (
	"context"
	"errors"
	"sync"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/waker"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// handOverInterval is how often it is looked for workflows to hand over: as often as other
	// cells tell of their room.
	handOverInterval = 300 * cottonlanding.Millis(1)
	// maxHandOversAtOnce bounds what is handed over at a time, so that the others' next reports
	// show it before more follows.
	maxHandOversAtOnce = 12
	// deliveryInterval is how often it is looked for what to tell other cells.
	deliveryInterval = 100 * cottonlanding.Millis(1)
	// maxConcurrentDeliveries bounds the calls of one cell under way.
	maxConcurrentDeliveries = 8
)

// handOver looks for workflows of this home that wait while another cell has room. The
// caller holds the lock.
func (d *Driver) handOver(now cottonlanding.Millis) {
	if now-d.lastHandOverAt < handOverInterval {
		return
	}
	d.lastHandOverAt = now
	handedOver := 0
	for _, workflow := range d.cell.HandOverCandidates(maxHandOverCandidates, now) {
		if handedOver >= maxHandOversAtOnce || !d.deps.IsHome(workflow.ID) {
			continue
		}
		report, usable := d.cell.Report(now)
		if to, found := d.deps.HandOverTarget(workflow, report, usable); found {
			d.cell.HandOver(workflow.ID, to, now)
			handedOver++
		}
	}
}

// maxHandOverCandidates bounds the workflows that are weighed at a time.
const maxHandOverCandidates = 100

// deliverAll tells other cells of what was handed over to them, until they have it.
func (d *Driver) deliverAll() {
	due := waker.New()
	serializer := newCellSerializer(&d.work, due)
	for d.ctx.Err() == nil {
		for to, workflows := range d.pendingHandOvers() {
			serializer.run(to, func() { d.deliver(to, workflows) })
		}
		d.await(due, deliveryInterval)
	}
}

func (d *Driver) pendingHandOvers() map[cottonlanding.CellNumber][]cottonlanding.Workflow {
	return query(d, func(cell *planner.Cell, _ cottonlanding.Millis) map[cottonlanding.CellNumber][]cottonlanding.Workflow {
		return cell.PendingHandOvers()
	})
}

// deliver tells one cell, some workflows at a time.
func (d *Driver) deliver(to cottonlanding.CellNumber, workflows []cottonlanding.Workflow) {
	var calls sync.WaitGroup
	for _, workflow := range workflows[:min(len(workflows), maxConcurrentDeliveries)] {
		calls.Go(func() { d.deliverOne(to, workflow) })
	}
	calls.Wait()
}

func (d *Driver) deliverOne(to cottonlanding.CellNumber, workflow cottonlanding.Workflow) {
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout.Duration())
	defer cancel()
	err := d.deps.Deliver(ctx, workflow, to)
	var referred *ReferredError
	if err != nil && !errors.As(err, &referred) {
		d.deps.Log.Warn("handed over workflow isn't taken yet", "Workflow", workflow.ID, "To", to, "Error", err)
		return
	}
	if err := d.withCell(func(cell *planner.Cell, now cottonlanding.Millis) { cell.HandOverAccepted(workflow.ID, now) }); err != nil {
		return // the next owner tells it again
	}
	d.decisionsDue.Wake()
}
