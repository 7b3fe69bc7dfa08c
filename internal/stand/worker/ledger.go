package worker

import (
	"github.com/cottonlanding/cottonlanding"
)

// Entry is one run in the ledger.
type Entry struct {
	Worker     cottonlanding.WorkerID
	Task       cottonlanding.TaskID
	Attempt    cottonlanding.Attempt
	Resources  cottonlanding.Resources
	Checkpoint cottonlanding.ObjectName
	// From and Until are instants of the worker's clock; Until is -1 while the
	// run goes on.
	From  cottonlanding.Millis
	Until cottonlanding.Millis
	// End is how the run ended: a RunState, "Stopped", "Lapsed" or "Restarted".
	End string
	// Done is the progress at the end, including that of the checkpoint.
	Done cottonlanding.Millis
}

// Ledger returns all runs so far.
func (w *Worker) Ledger() []Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	out := make([]Entry, len(w.ledger))
	for i, entry := range w.ledger {
		out[i] = *entry
	}
	return out
}

func (w *Worker) endEntry(r *activeRun, end string, at cottonlanding.Millis) {
	if r.entry.Until >= 0 {
		return
	}
	r.entry.Until, r.entry.End = at, end
	r.entry.Done = r.restored + at - r.entry.From
}
