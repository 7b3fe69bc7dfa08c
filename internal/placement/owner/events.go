package owner

import (
	"fmt"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/observer"
	"github.com/cottonlanding/cottonlanding/internal/placement/scheduler"
)

type viewEvent struct{ view observer.View }

func (e viewEvent) apply(o *Owner, _ cottonlanding.Millis) {
	o.view = e.view
	if e.view.ObservedTTL && o.hasRules && o.hasHosts {
		o.deps.Registrar.MarkStarted()
	}
	for id, owned := range o.cells {
		row := e.view.Cells[id]
		if row.Version > owned.row.Version && row.Epoch > owned.row.Epoch {
			o.lose(id, "the owner row has a newer epoch")
		}
	}
}

type hostsEvent struct{ workers []cottonlanding.WorkerInfo }

func (e hostsEvent) apply(o *Owner, now cottonlanding.Millis) {
	o.hosts, o.hasHosts = e.workers, true
	for _, owned := range o.cells {
		owned.cell.SetWorkers(o.workersOf(owned.cell.ID()), now)
	}
}

type rulesEvent struct{ rules scheduler.Rules }

func (e rulesEvent) apply(o *Owner, _ cottonlanding.Millis) {
	o.rules, o.hasRules = e.rules, true
	for _, owned := range o.cells {
		owned.cell.SetRules(e.rules)
	}
}

type submitEvent struct {
	cell cottonlanding.CellID
	spec cottonlanding.JobSpec
	done chan error
}

func (e submitEvent) apply(o *Owner, now cottonlanding.Millis) {
	owned := o.cells[e.cell]
	if owned == nil || owned.releasing {
		e.done <- fmt.Errorf("cell %s: %w", e.cell, cottonlanding.ErrNotOwner)
		return
	}
	owned.cell.Submit(e.spec, now, func(err error) { e.done <- err })
}

type cancelEvent struct {
	cell cottonlanding.CellID
	name cottonlanding.JobName
	done chan error
}

func (e cancelEvent) apply(o *Owner, now cottonlanding.Millis) {
	owned := o.cells[e.cell]
	if owned == nil || owned.releasing {
		e.done <- fmt.Errorf("cell %s: %w", e.cell, cottonlanding.ErrNotOwner)
		return
	}
	owned.cell.Cancel(e.name, now, func(err error) { e.done <- err })
}

type reportEvent struct {
	cell   *scheduler.Cell
	report scheduler.Report
}

func (e reportEvent) apply(o *Owner, now cottonlanding.Millis) {
	owned := o.cells[e.cell.ID()]
	if owned != nil && owned.cell == e.cell {
		owned.cell.Report(e.report, now)
	}
}

type stateEvent struct{ out chan<- State }

func (e stateEvent) apply(o *Owner, now cottonlanding.Millis) {
	state := State{
		Ring:      o.ring.State(),
		Visits:    o.visits.State(),
		Draining:  o.draining,
		Takeovers: o.takeovers.Load(),
		Handovers: o.handovers.Load(),
		Lost:      o.lost.Load(),
	}
	for _, owned := range o.cells {
		state.Cells = append(state.Cells, owned.cell.State(now))
	}
	e.out <- state
}

type drainEvent struct{ done chan struct{} }

func (e drainEvent) apply(o *Owner, _ cottonlanding.Millis) {
	o.draining = true
	o.drained = append(o.drained, e.done)
	for _, owned := range o.cells {
		owned.releasing = true
	}
}
