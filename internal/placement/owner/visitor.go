package owner

import (
	"context"
	"fmt"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/placement/scheduler"
)

// visit is a round to be made for a cell.
type visit struct {
	cell  *scheduler.Cell
	round scheduler.Round
}

func (o *Owner) visitWorkers() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case v := <-o.visits.Items():
			o.post(reportEvent{cell: v.cell, report: o.visit(v.round)})
		}
	}
}

// visit sends a round's orders, as long as the worker answers, and the renewal.
func (o *Owner) visit(round scheduler.Round) scheduler.Report {
	report := scheduler.Report{Round: round}
	for _, order := range round.Orders {
		err := o.send(round.Address, order)
		report.Errors = append(report.Errors, err)
		if unanswered(err) {
			report.Err = err
			return report
		}
	}
	if err := o.guard(); err != nil {
		report.Err = err
		return report
	}
	ctx, cancel := o.callContext()
	defer cancel()
	report.RenewSent = o.deps.Clock.Now()
	report.Inventory, report.Err = o.deps.Workers.Renew(ctx, round.Address, round.Fence)
	report.RenewArrived = o.deps.Clock.Now()
	return report
}

// guard is checked before each send, because the process may have been paused.
func (o *Owner) guard() error {
	if !o.mayVisit(o.deps.Clock.Now()) {
		return fmt.Errorf("%w: this daemon has been cut off for too long", cottonlanding.ErrUnavailable)
	}
	return nil
}

func (o *Owner) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(o.ctx, (o.timing.LeaseTTL / callsPerLease).Duration())
}

func (o *Owner) send(address cottonlanding.Address, order scheduler.Order) error {
	if err := o.guard(); err != nil {
		return err
	}
	ctx, cancel := o.callContext()
	defer cancel()
	switch order.Verb {
	case scheduler.VerbStart:
		return o.deps.Workers.Start(ctx, address, order.Start)
	case scheduler.VerbStop:
		return o.deps.Workers.Stop(ctx, address, order.Command)
	case scheduler.VerbCheckpoint:
		return o.deps.Workers.Checkpoint(ctx, address, order.Command)
	default:
		return o.deps.Workers.Acknowledge(ctx, address, order.Command)
	}
}
