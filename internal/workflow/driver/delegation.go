package driver

import (
	"context"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// delegationInterval is how often tasks to delegate are looked for: as often as other cells report their free
	// capacity.
	delegationInterval = handOverInterval
	// maxDelegableTasks bounds the tasks that are considered at a time.
	maxDelegableTasks = 100
	// delegationRequestInterval is how often other cells are asked about the tasks that they run. It is a small part of
	// the time for which a delegate cell may start tasks after each response.
	delegationRequestInterval = 250 * cottonlanding.Millis(1)
)

// delegate delegates tasks that wait here while another cell has room. The caller holds the lock.
func (d *Driver) delegate(now cottonlanding.Millis) {
	if d.deps.Delegate == nil {
		return
	}
	if now-d.lastDelegationAt >= delegationInterval {
		d.lastDelegationAt = now
		for _, delegation := range d.deps.Delegate(d.cell.DelegableTasks(maxDelegableTasks, d.deps.IsHome, now)) {
			d.cell.Delegate(delegation.Ref, delegation.To, now)
		}
	}
	if !d.delegationRequestsStarted && d.cell.HasDelegations() {
		d.delegationRequestsStarted = true
		d.work.Go(d.sendDelegationRequests)
	}
}

// sendDelegationRequests sends requests to the cells that run tasks of this one until the driver ends.
func (d *Driver) sendDelegationRequests() {
	delegates := make(map[cottonlanding.CellNumber]*delegateCell)
	serializer := newCellSerializer(&d.work, d.delegationRequestsDue)
	for d.ctx.Err() == nil {
		for to, workflows := range d.delegations() {
			if delegates[to] == nil {
				delegates[to] = &delegateCell{driver: d, cell: to}
			}
			delegate := delegates[to]
			serializer.run(to, func() { delegate.sendRequest(workflows) })
		}
		d.await(d.delegationRequestsDue, delegationRequestInterval)
		d.sleep(coalescingInterval)
	}
}

func (d *Driver) delegations() map[cottonlanding.CellNumber][]planner.DelegatedWorkflow {
	return query(d, func(cell *planner.Cell, _ cottonlanding.Millis) map[cottonlanding.CellNumber][]planner.DelegatedWorkflow {
		return cell.Delegations()
	})
}

// delegateCell is another cell that runs tasks of this one.
type delegateCell struct {
	driver *Driver
	cell   cottonlanding.CellNumber
	// lastStamp is the stamp of the last response.
	lastStamp planner.DelegationStamp
	// unresponsive says that the last request got no response.
	unresponsive bool
}

// sendRequest sends a request to the cell. After the first response of an owner it sends the next one at once: only the
// second request shows that owner how old a request is.
func (c *delegateCell) sendRequest(workflows []planner.DelegatedWorkflow) {
	for range 2 {
		ctx, cancel := context.WithTimeout(c.driver.ctx, callTimeout.Duration())
		response, err := c.driver.deps.SendDelegationRequest(ctx, c.cell, planner.DelegationRequest{Delegator: c.driver.deps.Cell, Last: c.lastStamp, Workflows: workflows})
		cancel()
		c.recordOutcome(err)
		if err != nil {
			return
		}
		sameOwner := response.Stamp.Epoch == c.lastStamp.Epoch
		c.lastStamp = response.Stamp
		if err := c.driver.withCell(func(cell *planner.Cell, now cottonlanding.Millis) {
			cell.RecordDelegationResponse(c.cell, response, now)
		}); err != nil {
			return // the cell isn't owned any more
		}
		c.driver.decisionsDue.Wake()
		if sameOwner {
			return
		}
	}
}

// recordOutcome logs when the cell stops responding, and when it responds again.
func (c *delegateCell) recordOutcome(err error) {
	unresponsive := err != nil
	if unresponsive == c.unresponsive {
		return
	}
	c.unresponsive = unresponsive
	if unresponsive {
		c.driver.deps.Log.Warn("guest cell does not answer", "Guest", c.cell, "Error", err)
		return
	}
	c.driver.deps.Log.Info("guest cell answers", "Guest", c.cell)
}

// HandleDelegationRequest answers a cell about the tasks that this one is to run for it.
func (d *Driver) HandleDelegationRequest(request planner.DelegationRequest) (planner.DelegationResponse, error) {
	var response planner.DelegationResponse
	err := d.withCell(func(cell *planner.Cell, now cottonlanding.Millis) {
		response = cell.HandleDelegationRequest(request, now)
	})
	if err == nil {
		d.decisionsDue.Wake()
	}
	return response, err
}

// UnconfirmedDelegated returns at most limit delegated workflows about which no request has come for long, with the
// cells that own these workflows.
func (d *Driver) UnconfirmedDelegated(limit int) map[cottonlanding.WorkflowID]cottonlanding.CellNumber {
	return query(d, func(cell *planner.Cell, now cottonlanding.Millis) map[cottonlanding.WorkflowID]cottonlanding.CellNumber {
		return cell.UnconfirmedDelegated(limit, now)
	})
}

// ResolveDelegated records whether a delegated workflow is still active.
func (d *Driver) ResolveDelegated(id cottonlanding.WorkflowID, active bool) {
	if err := d.withCell(func(cell *planner.Cell, now cottonlanding.Millis) { cell.ResolveDelegated(id, active, now) }); err != nil {
		return // the next owner asks again
	}
	d.decisionsDue.Wake()
}
