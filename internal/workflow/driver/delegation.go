package driver

import (
	"context"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// delegateEvery is how often it is looked for tasks to delegate: as often as other cells tell of
	// their room.
	delegateEvery = moveEvery
	// delegablesSeen bounds the tasks that are weighed at a time.
	delegablesSeen = 100
	// askGuestsEvery is how often other cells are asked about the tasks that they run. It is a small part
	// of the time for which a guest cell may start tasks after each answer.
	askGuestsEvery = 250 * cottonlanding.Millis(1)
)

// delegate looks for tasks that wait here while another cell has room. The caller holds the lock.
func (d *Driver) delegate(now cottonlanding.Millis) {
	if d.deps.Delegate == nil {
		return
	}
	if now-d.delegatedAt >= delegateEvery {
		d.delegatedAt = now
		for _, delegation := range d.deps.Delegate(d.cell.DelegableTasks(delegablesSeen, d.deps.Home, now)) {
			d.cell.Delegate(delegation.Ref, delegation.To, now)
		}
	}
	if !d.asksGuests && d.cell.HasDelegations() {
		d.asksGuests = true
		d.work.Go(d.askGuests)
	}
}

// askGuests asks the cells that run tasks of this one, again and again.
func (d *Driver) askGuests() {
	asked := make(map[cottonlanding.CellNumber]*guestCell)
	lanes := newLanes(&d.work, d.guestsDue)
	for d.ctx.Err() == nil {
		for to, workflows := range d.delegations() {
			if asked[to] == nil {
				asked[to] = &guestCell{driver: d, cell: to}
			}
			guest := asked[to]
			lanes.run(to, func() { guest.ask(workflows) })
		}
		d.await(d.guestsDue, askGuestsEvery)
		d.sleep(spacing)
	}
}

func (d *Driver) delegations() map[cottonlanding.CellNumber][]planner.DelegatedWorkflow {
	return query(d, func(cell *planner.Cell, _ cottonlanding.Millis) map[cottonlanding.CellNumber][]planner.DelegatedWorkflow {
		return cell.Delegations()
	})
}

// guestCell is another cell that runs tasks of this one.
type guestCell struct {
	driver *Driver
	cell   cottonlanding.CellNumber
	// last is the stamp of its last answer.
	last planner.DelegationStamp
	// silent says that the last question got no answer.
	silent bool
}

// ask asks the cell. After the first answer of an owner it asks again at once: only the second question
// shows that owner how old it is.
func (g *guestCell) ask(workflows []planner.DelegatedWorkflow) {
	for range 2 {
		ctx, cancel := context.WithTimeout(g.driver.ctx, callTimeout.Duration())
		answer, err := g.driver.deps.AskGuests(ctx, g.cell, planner.DelegationRequest{Delegator: g.driver.deps.Cell, Last: g.last, Workflows: workflows})
		cancel()
		g.recordSilent(err)
		if err != nil {
			return
		}
		known := answer.Stamp.Epoch == g.last.Epoch
		g.last = answer.Stamp
		if err := g.driver.with(func(cell *planner.Cell, now cottonlanding.Millis) { cell.RecordDelegationResponse(g.cell, answer, now) }); err != nil {
			return // it isn't owned any more
		}
		g.driver.decisionsDue.Wake()
		if known {
			return
		}
	}
}

// recordSilent logs when the cell gives no answer, and when it does again.
func (g *guestCell) recordSilent(err error) {
	silent := err != nil
	if silent == g.silent {
		return
	}
	g.silent = silent
	if silent {
		g.driver.deps.Log.Warn("guest cell does not answer", "Guest", g.cell, "Error", err)
		return
	}
	g.driver.deps.Log.Info("guest cell answers", "Guest", g.cell)
}

// HandleDelegationRequest answers a cell about the tasks that this one is to run for it.
func (d *Driver) HandleDelegationRequest(question planner.DelegationRequest) (planner.DelegationResponse, error) {
	var answer planner.DelegationResponse
	err := d.with(func(cell *planner.Cell, now cottonlanding.Millis) {
		answer = cell.HandleDelegationRequest(question, now)
	})
	if err == nil {
		d.decisionsDue.Wake()
	}
	return answer, err
}

// UnconfirmedDelegated returns up to a number of guests about which nothing was asked for long, with the cells
// that keep their workflows.
func (d *Driver) UnconfirmedDelegated(most int) map[cottonlanding.WorkflowID]cottonlanding.CellNumber {
	return query(d, func(cell *planner.Cell, now cottonlanding.Millis) map[cottonlanding.WorkflowID]cottonlanding.CellNumber {
		return cell.UnconfirmedDelegated(most, now)
	})
}

// ResolveDelegated takes in whether the workflow of a guest goes on.
func (d *Driver) ResolveDelegated(id cottonlanding.WorkflowID, goesOn bool) {
	if err := d.with(func(cell *planner.Cell, now cottonlanding.Millis) { cell.ResolveDelegated(id, goesOn, now) }); err != nil {
		return // the next owner asks again
	}
	d.decisionsDue.Wake()
}
