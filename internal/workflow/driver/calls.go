package driver

import (
	"context"
	"fmt"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// Submit hands in a workflow. The error is ErrUnavailable, ErrNotFound,
// ErrCannotRun if it was not accepted, ErrAmbiguous if that is unknown. While the
// owner is behind with its decisions it refuses what it doesn't know yet at once:
// the answer would come too late, and each workflow more would put it further behind.
func (d *Driver) Submit(ctx context.Context, workflow cottonlanding.Workflow) error {
	return d.ask(ctx, func(cell *planner.Cell, now cottonlanding.Millis, done func(error)) {
		if d.behind.Load() && !cell.Knows(workflow.ID) {
			done(fmt.Errorf("the owner is behind with its decisions: %w", cottonlanding.ErrUnavailable))
			return
		}
		cell.Submit(workflow, now, done)
	})
}

// Cancel cancels a workflow. The errors are as for Submit.
func (d *Driver) Cancel(ctx context.Context, id cottonlanding.WorkflowID) error {
	return d.ask(ctx, func(cell *planner.Cell, now cottonlanding.Millis, done func(error)) {
		cell.Cancel(id, now, done)
	})
}

func (d *Driver) ask(ctx context.Context, do func(*planner.Cell, cottonlanding.Millis, func(error))) error {
	if d.stalled.Load() {
		return fmt.Errorf("the table can't be reached: %w", cottonlanding.ErrUnavailable)
	}
	done := make(chan error, 1)
	if err := d.with(func(cell *planner.Cell, now cottonlanding.Millis) {
		if ctx.Err() != nil {
			done <- fmt.Errorf("its caller has given up: %w", cottonlanding.ErrUnavailable)
			return
		}
		do(cell, now, func(err error) { done <- err })
	}); err != nil {
		return err
	}
	kick(d.decisionsDue)
	d.kickOrders()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", cottonlanding.ErrAmbiguous, ctx.Err())
	}
}

// with runs do on the cell, if it is loaded and surely owned.
func (d *Driver) with(do func(*planner.Cell, cottonlanding.Millis)) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.deps.Clock.Now()
	if d.cell == nil || now >= d.deps.ValidUntil() {
		return fmt.Errorf("the workflows are not loaded: %w", cottonlanding.ErrUnavailable)
	}
	do(d.cell, now)
	return nil
}

// State returns the committed state of a workflow, or ErrNotFound.
func (d *Driver) State(id cottonlanding.WorkflowID) (cottonlanding.WorkflowState, error) {
	var state cottonlanding.WorkflowState
	found := false
	if err := d.with(func(cell *planner.Cell, _ cottonlanding.Millis) { state, found = cell.State(id) }); err != nil {
		return "", err
	}
	if !found {
		return "", fmt.Errorf("workflow %s: %w", id, cottonlanding.ErrNotFound)
	}
	return state, nil
}

// Waiting counts the accepted workflows of a queue that have not begun.
func (d *Driver) Waiting(queue cottonlanding.QueueName) (int, error) {
	count := 0
	err := d.with(func(cell *planner.Cell, _ cottonlanding.Millis) { count = cell.Waiting(queue) })
	return count, err
}

// Counts returns what the cell has counted.
func (d *Driver) Counts() planner.Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cell == nil {
		return planner.Counts{}
	}
	return d.cell.Counts()
}

// Progress returns how quickly this owner got on lately.
func (d *Driver) Progress() Progress { return d.meter.progress() }
