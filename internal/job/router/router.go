// Package router hands jobs to the cell that should run them, wherever its owner
// is, and looks jobs up.
package router

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/placement/scheduler"
)

const scanLimit = 1000

// Cell is a cell that jobs can be handed to.
type Cell struct {
	Summary    scheduler.Summary
	DataCentre cottonlanding.DataCentre
	// Local says that this daemon stands in the cell's data centre.
	Local bool
}

// Directory knows the cells and reaches their owners.
type Directory interface {
	// Cells returns the cells whose owners are known.
	Cells() []Cell
	// Submit hands a job to the owner of a cell; the errors are those of
	// owner.Owner.Submit.
	Submit(ctx context.Context, cell cottonlanding.CellID, spec cottonlanding.JobSpec) error
	// Cancel cancels a job at the owner of its cell.
	Cancel(ctx context.Context, cell cottonlanding.CellID, name cottonlanding.JobName) error
}

// Router routes jobs.
type Router struct {
	table     cottonlanding.Table
	directory Directory
}

// New returns a router.
func New(table cottonlanding.Table, directory Directory) *Router {
	return &Router{table: table, directory: directory}
}

// Submit accepts a job in one cell. It is idempotent. The error is ErrConflict
// if another job has the name, ErrCannotRun if no cell could ever run it,
// ErrUnavailable if it was not accepted now, or ErrAmbiguous.
func (r *Router) Submit(ctx context.Context, spec cottonlanding.JobSpec) error {
	known, err := r.job(ctx, spec.Name)
	switch {
	case err == nil:
		return sameJob(known, spec)
	case !errors.Is(err, cottonlanding.ErrNotFound):
		return fmt.Errorf("look for job %s: %w", spec.Name, err)
	}
	var last error
	for _, cell := range r.candidates(spec) {
		err := r.directory.Submit(ctx, cell.Summary.Cell, spec)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, cottonlanding.ErrConflict):
			return r.settleRace(ctx, spec, err)
		case errors.Is(err, cottonlanding.ErrAmbiguous):
			return err
		case last == nil || !errors.Is(err, cottonlanding.ErrCannotRun):
			last = err
		}
	}
	if last == nil {
		return fmt.Errorf("no cell's owner can be reached: %w", cottonlanding.ErrUnavailable)
	}
	if !errors.Is(last, cottonlanding.ErrCannotRun) {
		return fmt.Errorf("%w: %w", cottonlanding.ErrUnavailable, last)
	}
	return last
}

// settleRace looks whether the job that came first is the same.
func (r *Router) settleRace(ctx context.Context, spec cottonlanding.JobSpec, conflict error) error {
	known, err := r.job(ctx, spec.Name)
	if err != nil {
		return conflict
	}
	return sameJob(known, spec)
}

func sameJob(known cottonlanding.Job, spec cottonlanding.JobSpec) error {
	if !reflect.DeepEqual(known.Spec, spec) {
		return fmt.Errorf("job %s exists and differs: %w", spec.Name, cottonlanding.ErrConflict)
	}
	return nil
}

// candidates returns the cells to try: those with room first, then local ones,
// then the least queued.
func (r *Router) candidates(spec cottonlanding.JobSpec) []Cell {
	cells := slices.DeleteFunc(r.directory.Cells(), func(c Cell) bool {
		return spec.DataCentre != "" && c.DataCentre != spec.DataCentre
	})
	slices.SortFunc(cells, func(a, b Cell) int {
		return cmp.Or(
			truth(roomy(b, spec))-truth(roomy(a, spec)),
			truth(b.Local)-truth(a.Local),
			cmp.Compare(a.Summary.Queued, b.Summary.Queued),
			cmp.Compare(a.Summary.Cell, b.Summary.Cell),
		)
	})
	return cells
}

func roomy(cell Cell, spec cottonlanding.JobSpec) bool {
	return spec.Resources.Fits(cell.Summary.Free)
}

func truth(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Cancel cancels a job; once it returns nil the job is final. The error is
// ErrNotFound, ErrUnavailable if nothing was changed, or ErrAmbiguous.
func (r *Router) Cancel(ctx context.Context, name cottonlanding.JobName) error {
	known, err := r.job(ctx, name)
	if err != nil {
		return err
	}
	if known.State.Final() {
		return nil
	}
	return r.directory.Cancel(ctx, known.Cell, name)
}

// Status returns a job with its tasks as committed.
func (r *Router) Status(ctx context.Context, name cottonlanding.JobName) (cottonlanding.JobStatus, error) {
	known, err := r.job(ctx, name)
	if err != nil {
		return cottonlanding.JobStatus{}, err
	}
	status := cottonlanding.JobStatus{Job: known, Tasks: make([]cottonlanding.Task, known.Spec.Tasks)}
	for i := range status.Tasks {
		status.Tasks[i] = cottonlanding.Task{ID: cottonlanding.TaskID{Job: name, Index: i}, State: unwritten(known.State)}
	}
	prefix := scheduler.JobTaskPrefix(known.Cell, name)
	after := cottonlanding.Key("")
	for {
		rows, err := r.table.Scan(ctx, prefix, after, scanLimit)
		if err != nil {
			return cottonlanding.JobStatus{}, err
		}
		if err := place(status.Tasks, rows); err != nil {
			return cottonlanding.JobStatus{}, err
		}
		if len(rows) < scanLimit {
			return status, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// unwritten returns the state of a task without a row.
func unwritten(job cottonlanding.JobState) cottonlanding.TaskState {
	if job.Final() {
		return cottonlanding.TaskCancelled
	}
	return cottonlanding.TaskQueued
}

func place(tasks []cottonlanding.Task, rows []cottonlanding.Row) error {
	for _, row := range rows {
		var task cottonlanding.Task
		if err := json.Unmarshal(row.Value, &task); err != nil {
			return fmt.Errorf("row %s: %w", row.Key, err)
		}
		if task.ID.Index < len(tasks) {
			tasks[task.ID.Index] = task
		}
	}
	return nil
}

func (r *Router) job(ctx context.Context, name cottonlanding.JobName) (cottonlanding.Job, error) {
	rows, err := r.table.Read(ctx, scheduler.JobKey(name))
	if err != nil {
		return cottonlanding.Job{}, err
	}
	if len(rows) == 0 {
		return cottonlanding.Job{}, fmt.Errorf("job %s: %w", name, cottonlanding.ErrNotFound)
	}
	var out cottonlanding.Job
	if err := json.Unmarshal(rows[0].Value, &out); err != nil {
		return cottonlanding.Job{}, fmt.Errorf("row %s: %w", rows[0].Key, err)
	}
	return out, nil
}
