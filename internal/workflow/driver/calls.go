package driver

import (
	"context"
	"fmt"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// ReferredError reports that another cell owns a workflow, and is to be asked instead.
type ReferredError struct {
	To cottonlanding.CellNumber
}

// Error implements error.
func (e *ReferredError) Error() string { return fmt.Sprintf("the workflow is kept in cell %s", e.To) }

// Submit submits a workflow to its home cell. The error is a ReferredError if another cell is to own the workflow;
// ErrUnavailable, ErrNotFound or ErrCannotRun if it was not accepted, ErrBusy with a retry time if it was rejected
// because of overload; ErrAmbiguous if that is unknown.
func (d *Driver) Submit(ctx context.Context, workflow cottonlanding.Workflow) error {
	var referred *ReferredError
	err := d.update(ctx, func(cell *planner.Cell, now cottonlanding.Millis, done func(error)) {
		if d.rejectIfTooSlow(ctx, cell, workflow.ID, now, done) {
			return
		}
		if to, found := d.referral(cell, workflow, now); found {
			// While a hand-over is pending, this cell answers for the workflow that it had accepted: the other one may not
			// know it yet, and reject it.
			if !cell.HandOverPending(workflow.ID) {
				referred = &ReferredError{to}
			}
			cell.Refer(workflow.ID, to, now, done)
			return
		}
		d.accept(cell, workflow, now, cell.Submit, done)
	})
	if err == nil && referred != nil {
		return referred
	}
	return err
}

// referral returns the cell to which a workflow was referred or is to be referred.
func (d *Driver) referral(cell *planner.Cell, workflow cottonlanding.Workflow, now cottonlanding.Millis) (cottonlanding.CellNumber, bool) {
	if to, found := cell.Referral(workflow.ID); found {
		return to, true
	}
	if cell.Knows(workflow.ID) {
		return 0, false
	}
	report, usable := cell.Report(now)
	return d.deps.ReferralTarget(workflow, report, usable)
}

// SubmitReferred submits a workflow that its home cell has referred to this cell. The errors are those of Submit.
func (d *Driver) SubmitReferred(ctx context.Context, workflow cottonlanding.Workflow) error {
	return d.update(ctx, func(cell *planner.Cell, now cottonlanding.Millis, done func(error)) {
		d.accept(cell, workflow, now, cell.Submit, done)
	})
}

// SubmitHandedOver is SubmitReferred for a workflow that its home cell had accepted and handed over.
func (d *Driver) SubmitHandedOver(ctx context.Context, workflow cottonlanding.Workflow) error {
	return d.update(ctx, func(cell *planner.Cell, now cottonlanding.Millis, done func(error)) {
		d.accept(cell, workflow, now, cell.SubmitHandedOver, done)
	})
}

// submitFunc is Submit or SubmitHandedOver of a cell.
type submitFunc func(cottonlanding.Workflow, cottonlanding.Millis, func(error))

// accept submits a workflow to this cell. An overloaded owner rejects new workflows immediately: the answer would come
// too late, and each further workflow would make its decisions longer.
func (d *Driver) accept(cell *planner.Cell, workflow cottonlanding.Workflow, now cottonlanding.Millis, submit submitFunc, done func(error)) {
	if d.overloaded.Load() && !cell.Knows(workflow.ID) {
		// clients see this text
		done(fmt.Errorf("the owner is behind with its decisions: %w", cottonlanding.ErrUnavailable))
		return
	}
	submit(workflow, now, done)
}

// Cancel cancels a workflow. The errors are those of Submit.
func (d *Driver) Cancel(ctx context.Context, id cottonlanding.WorkflowID) error {
	var referred *ReferredError
	err := d.update(ctx, func(cell *planner.Cell, now cottonlanding.Millis, done func(error)) {
		if to, found := cell.Referral(id); found && !cell.HandOverPending(id) {
			referred = &ReferredError{to}
			// The referral outlives what the other cell keeps of the cancelled workflow: without it, this cell would accept
			// the workflow if it came late.
			cell.RenewReferral(id, now)
			cell.Refer(id, to, now, done) // the caller is sent to the other cell only once the referral is committed
			return
		}
		cell.Cancel(id, now, done)
	})
	if err == nil && referred != nil {
		return referred
	}
	return err
}

func (d *Driver) update(ctx context.Context, do func(*planner.Cell, cottonlanding.Millis, func(error))) error {
	if d.stalled.Load() {
		return fmt.Errorf("the table can't be reached: %w", cottonlanding.ErrUnavailable)
	}
	done := make(chan error, 1)
	if err := d.withCell(func(cell *planner.Cell, now cottonlanding.Millis) {
		if ctx.Err() != nil {
			// clients see this text
			done <- fmt.Errorf("its caller has given up: %w", cottonlanding.ErrUnavailable)
			return
		}
		do(cell, now, func(err error) { done <- err })
	}); err != nil {
		return err
	}
	d.decisionsDue.Wake()
	d.wakeSender()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", cottonlanding.ErrAmbiguous, ctx.Err())
	}
}

// withCell calls do with the cell if it is loaded and this process is guaranteed to own it.
func (d *Driver) withCell(do func(*planner.Cell, cottonlanding.Millis)) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.deps.Clock.Now()
	if d.cell == nil || now >= d.deps.ValidUntil() {
		return fmt.Errorf("the workflows are not loaded: %w", cottonlanding.ErrUnavailable)
	}
	do(d.cell, now)
	return nil
}

// query returns what read returns for the cell, or the zero value while the cell isn't owned.
func query[T any](d *Driver, read func(*planner.Cell, cottonlanding.Millis) T) (answer T) {
	if err := d.withCell(func(cell *planner.Cell, now cottonlanding.Millis) { answer = read(cell, now) }); err != nil {
		return answer // the zero value
	}
	return answer
}

// State returns the committed state of a workflow. The error is a ReferredError, ErrNotFound or ErrUnavailable.
func (d *Driver) State(id cottonlanding.WorkflowID) (cottonlanding.WorkflowState, error) {
	var state cottonlanding.WorkflowState
	var to cottonlanding.CellNumber
	found, referred := false, false
	if err := d.withCell(func(cell *planner.Cell, _ cottonlanding.Millis) {
		state, found = cell.State(id)
		to, referred = cell.CommittedReferral(id)
	}); err != nil {
		return "", err
	}
	if referred {
		return "", &ReferredError{to}
	}
	if !found {
		return "", fmt.Errorf("workflow %s: %w", id, cottonlanding.ErrNotFound)
	}
	return state, nil
}

// Waiting counts the accepted workflows of a queue that have not begun. The error is ErrUnavailable.
func (d *Driver) Waiting(queue cottonlanding.QueueName) (int, error) {
	count := 0
	err := d.withCell(func(cell *planner.Cell, _ cottonlanding.Millis) { count = cell.Waiting(queue) })
	return count, err
}

// Report returns the free capacity of the cell after the last decision, and false if that is older than maxReportAge or
// the cell had no usable workers. It doesn't wait for decisions.
func (d *Driver) Report() (planner.Report, bool) {
	last := d.lastReport.Load()
	if last == nil || d.deps.Clock.Now()-last.at > maxReportAge {
		return planner.Report{}, false
	}
	return last.report, last.usable
}

// OldReferrals returns at most limit workflows that were referred long ago, with the cells that own them.
func (d *Driver) OldReferrals(limit int) map[cottonlanding.WorkflowID]cottonlanding.CellNumber {
	return query(d, func(cell *planner.Cell, now cottonlanding.Millis) map[cottonlanding.WorkflowID]cottonlanding.CellNumber {
		return cell.OldReferrals(limit, now)
	})
}

// ResolveReferral records whether the cell that owns a referred workflow still knows it.
func (d *Driver) ResolveReferral(id cottonlanding.WorkflowID, known bool) {
	err := d.withCell(func(cell *planner.Cell, now cottonlanding.Millis) {
		if known {
			cell.RenewReferral(id, now)
			return
		}
		cell.ForgetReferral(id)
	})
	if err != nil {
		return // the next owner asks again
	}
	d.decisionsDue.Wake()
}

// Counts returns the counters of the cell.
func (d *Driver) Counts() planner.Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cell == nil {
		return planner.Counts{}
	}
	return d.cell.Counts()
}

// Stats returns the statistics of this owner that were logged last.
func (d *Driver) Stats() Stats { return d.meter.stats() }
