package worker

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cottonlanding/cottonlanding"
)

// checkpoint is the content of a checkpoint object.
type checkpoint struct {
	Task cottonlanding.TaskID
	Done cottonlanding.Millis
}

// Checkpoint saves an attempt and stops it.
func (w *Worker) Checkpoint(ctx context.Context, command cottonlanding.Command) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.command(command.Fence); err != nil {
		return err
	}
	r := w.find(command)
	if r == nil {
		return fmt.Errorf("%w: no such run", cottonlanding.ErrRefused)
	}
	if r.state != cottonlanding.Running {
		return nil
	}
	now := w.clock.Now()
	data, err := json.Marshal(checkpoint{Task: command.Task, Done: r.restored + now - r.entry.From})
	if err != nil {
		return fmt.Errorf("encode checkpoint: %w", err)
	}
	if err := w.store.Put(ctx, command.Object, data); err != nil {
		return fmt.Errorf("store checkpoint: %w", err)
	}
	r.object = command.Object
	w.finish(r, cottonlanding.Saved, "", now)
	return nil
}

func (w *Worker) restore(ctx context.Context, start cottonlanding.Start) (cottonlanding.Millis, error) {
	data, err := w.store.Get(ctx, start.Checkpoint)
	if err != nil {
		return 0, fmt.Errorf("read checkpoint: %w", err)
	}
	var saved checkpoint
	if err := json.Unmarshal(data, &saved); err != nil || saved.Task != start.Task {
		return 0, fmt.Errorf("checkpoint %s is damaged", start.Checkpoint)
	}
	return saved.Done, nil
}
