package worker

import (
	"context"
	"fmt"
	"strings"

	"github.com/cottonlanding/cottonlanding"
)

// Words of a payload that make a run fail.
const (
	// FailPayload makes every run fail at once.
	FailPayload = "fail"
	// BadDeclaration in a payload makes a run take ten times as long as declared.
	BadDeclaration = "slow10"
)

// Start runs an attempt.
func (w *Worker) Start(ctx context.Context, start cottonlanding.Start) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.command(start.Fence); err != nil {
		return err
	}
	if r := w.runs[start.Task]; r != nil && r.start.Attempt == start.Attempt && r.state == cottonlanding.Running {
		return nil
	}
	if start.Attempt <= w.last[start.Task] {
		return fmt.Errorf("%w: attempt %d of %s is not newer than %d", cottonlanding.ErrRefused, start.Attempt, start.Task, w.last[start.Task])
	}
	if r := w.runs[start.Task]; r != nil && r.state == cottonlanding.Running {
		return fmt.Errorf("%w: attempt %d of %s still runs", cottonlanding.ErrBusy, r.start.Attempt, start.Task)
	}
	if w.clock.Now() >= w.leaseEnd {
		return fmt.Errorf("%w: no lease", cottonlanding.ErrBusy)
	}
	if !start.Resources.Fits(w.info.Capacity.Minus(w.reserved())) {
		w.overfull++
		return fmt.Errorf("%w: no room", cottonlanding.ErrBusy)
	}
	w.launch(ctx, start)
	return nil
}

func (w *Worker) reserved() cottonlanding.Resources {
	var sum cottonlanding.Resources
	for _, r := range w.runs {
		if r.state == cottonlanding.Running {
			sum = sum.Plus(r.start.Resources)
		}
	}
	return sum
}

func (w *Worker) launch(ctx context.Context, start cottonlanding.Start) {
	now := w.clock.Now()
	entry := &Entry{
		Worker:     w.info.ID,
		Task:       start.Task,
		Attempt:    start.Attempt,
		Resources:  start.Resources,
		Checkpoint: start.Checkpoint,
		From:       now,
		Until:      -1,
	}
	r := &activeRun{start: start, entry: entry, state: cottonlanding.Running, needs: start.RunTime, percent: 100}
	if strings.Contains(start.Payload, BadDeclaration) {
		r.needs *= 10
	}
	w.ledger = append(w.ledger, entry)
	w.runs[start.Task] = r
	w.last[start.Task] = start.Attempt
	if w.faults.FailEverything || start.Payload == FailPayload {
		w.finish(r, cottonlanding.Failed, "told to fail", now)
		return
	}
	if start.Checkpoint == "" {
		return
	}
	restored, err := w.restore(ctx, start)
	if err != nil {
		w.finish(r, cottonlanding.Failed, err.Error(), now)
		return
	}
	r.restored = restored
}
