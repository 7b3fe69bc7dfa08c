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
	// moveEvery is how often it is looked for workflows to hand over: as often as other
	// cells tell of their room.
	moveEvery = 300 * cottonlanding.Millis(1)
	// movesAtOnce bounds what is handed over at a time, so that the others' next reports
	// show it before more follows.
	movesAtOnce = 12
	// deliverPause is how often it is looked for what to tell other cells.
	deliverPause = 100 * cottonlanding.Millis(1)
	// deliveriesAtOnce bounds the calls of one cell under way.
	deliveriesAtOnce = 8
)

// handOver looks for workflows of this home that wait while another cell has room. The
// caller holds the lock.
func (d *Driver) handOver(now cottonlanding.Millis) {
	if now-d.movedAt < moveEvery {
		return
	}
	d.movedAt = now
	moved := 0
	for _, workflow := range d.cell.HandOverCandidates(leaversSeen, now) {
		if moved >= movesAtOnce || !d.deps.Home(workflow.ID) {
			continue
		}
		report, usable := d.cell.Report(now)
		if to, found := d.deps.Move(workflow, report, usable); found {
			d.cell.HandOver(workflow.ID, to, now)
			moved++
		}
	}
}

// leaversSeen bounds the workflows that are weighed at a time.
const leaversSeen = 100

// deliverAll tells other cells of what was handed over to them, until they have it.
func (d *Driver) deliverAll() {
	due := waker.New()
	lanes := newLanes(&d.work, due)
	for d.ctx.Err() == nil {
		for to, workflows := range d.handovers() {
			lanes.run(to, func() { d.deliver(to, workflows) })
		}
		d.await(due, deliverPause)
	}
}

func (d *Driver) handovers() map[cottonlanding.CellNumber][]cottonlanding.Workflow {
	return query(d, func(cell *planner.Cell, _ cottonlanding.Millis) map[cottonlanding.CellNumber][]cottonlanding.Workflow {
		return cell.PendingHandOvers()
	})
}

// deliver tells one cell, some workflows at a time.
func (d *Driver) deliver(to cottonlanding.CellNumber, workflows []cottonlanding.Workflow) {
	var under sync.WaitGroup
	for _, workflow := range workflows[:min(len(workflows), deliveriesAtOnce)] {
		under.Go(func() { d.deliverOne(to, workflow) })
	}
	under.Wait()
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
	if err := d.with(func(cell *planner.Cell, now cottonlanding.Millis) { cell.HandOverAccepted(workflow.ID, now) }); err != nil {
		return // the next owner tells it again
	}
	d.decisionsDue.Wake()
}
