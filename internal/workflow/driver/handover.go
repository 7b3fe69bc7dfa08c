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
	// handOverInterval is how often workflows to hand over are looked for: the interval at which other cells report their
	// free capacity.
	handOverInterval = 300 * cottonlanding.Millis(1)
	// maxHandOversAtOnce bounds the workflows handed over at a time, so that the next reports of the other cells show
	// them before more follow.
	maxHandOversAtOnce = 12
	// deliveryInterval is how often workflows to deliver to other cells are looked for.
	deliveryInterval = 100 * cottonlanding.Millis(1)
	// maxConcurrentDeliveries bounds the concurrent calls in one batch to a cell.
	maxConcurrentDeliveries = 8
)

// handOver hands over workflows of this home cell that wait while another cell has room. The caller holds the lock.
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

// maxHandOverCandidates bounds the workflows that are considered at a time.
const maxHandOverCandidates = 100

// deliverAll delivers the workflows that were handed over to other cells, until these have accepted them.
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

// deliver delivers a batch of up to maxConcurrentDeliveries workflows to one cell.
func (d *Driver) deliver(to cottonlanding.CellNumber, workflows []cottonlanding.Workflow) {
	var calls sync.WaitGroup
	for _, workflow := range workflows[:min(len(workflows), maxConcurrentDeliveries)] {
		calls.Go(func() { d.deliverOne(to, workflow) })
	}
	calls.Wait()
}

// deliverOne delivers one workflow. A ReferredError counts as acceptance, because the other cell has then committed its
// own referral of the workflow.
func (d *Driver) deliverOne(to cottonlanding.CellNumber, workflow cottonlanding.Workflow) {
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout.Duration())
	defer cancel()
	err := d.deps.Deliver(ctx, workflow, to)
	var referred *ReferredError
	if err != nil && !errors.As(err, &referred) {
		d.deps.Log.Warn("handed over workflow is not accepted yet", "Workflow", workflow.ID, "To", to, "Error", err)
		return
	}
	if err := d.withCell(func(cell *planner.Cell, now cottonlanding.Millis) { cell.HandOverAccepted(workflow.ID, now) }); err != nil {
		return // the next owner delivers it again
	}
	d.decisionsDue.Wake()
}
