package worker

import (
	"github.com/cottonlanding/cottonlanding"
)

// Stop ends an attempt and refuses it for ever after.
func (w *Worker) Stop(command cottonlanding.Command) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.command(command.Fence); err != nil {
		return err
	}
	w.last[command.Task] = max(w.last[command.Task], command.Attempt)
	if r := w.find(command); r != nil {
		w.endEntry(r, "Stopped", w.clock.Now())
		delete(w.runs, command.Task)
	}
	return nil
}

// Acknowledge forgets the result of an attempt.
func (w *Worker) Acknowledge(command cottonlanding.Command) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.command(command.Fence); err != nil {
		return err
	}
	if r := w.find(command); r != nil && r.state != cottonlanding.Running {
		delete(w.runs, command.Task)
	}
	return nil
}

// Throttle limits an attempt's processors.
func (w *Worker) Throttle(command cottonlanding.Command) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.command(command.Fence); err != nil {
		return err
	}
	if r := w.find(command); r != nil {
		r.percent = command.Percent
	}
	return nil
}

func (w *Worker) find(command cottonlanding.Command) *activeRun {
	r := w.runs[command.Task]
	if r == nil || r.start.Attempt != command.Attempt {
		return nil
	}
	return r
}
