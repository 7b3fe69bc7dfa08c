// Package worker is a stand-in for the platform's workers.
//
// A Worker is a small state machine without goroutines: what happens with time
// (runs that end, a lease that lapses) is worked out at the next call. It keeps
// a ledger of all that it ever ran, for oracles.
package worker

import (
	"sync"

	"github.com/google/uuid"

	"github.com/cottonlanding/cottonlanding"
)

// Faults are a worker's own switches.
type Faults struct {
	// FailEverything makes every run fail at once.
	FailEverything bool
	// Leaving makes the worker say that it will end.
	Leaving bool
}

// Worker is one stand-in worker.
type Worker struct {
	info  cottonlanding.WorkerInfo
	clock cottonlanding.Clock
	store cottonlanding.ObjectStore

	mu          sync.Mutex
	incarnation cottonlanding.Incarnation
	cell        cottonlanding.CellID
	epoch       cottonlanding.Epoch
	leaseEnd    cottonlanding.Millis
	runs        map[cottonlanding.TaskID]*activeRun
	last        map[cottonlanding.TaskID]cottonlanding.Attempt
	faults      Faults
	ledger      []*Entry
	overfull    int
}

// activeRun is a run, or its result until that is acknowledged.
type activeRun struct {
	start    cottonlanding.Start
	entry    *Entry
	state    cottonlanding.RunState
	needs    cottonlanding.Millis
	restored cottonlanding.Millis
	result   string
	object   cottonlanding.ObjectName
	percent  int
}

// New returns a worker in its first life.
func New(info cottonlanding.WorkerInfo, clock cottonlanding.Clock, store cottonlanding.ObjectStore) *Worker {
	w := &Worker{info: info, clock: clock, store: store}
	w.begin()
	return w
}

func (w *Worker) begin() {
	w.incarnation = cottonlanding.Incarnation(uuid.NewString())
	w.cell, w.epoch, w.leaseEnd = "", 0, 0
	w.runs = make(map[cottonlanding.TaskID]*activeRun)
	w.last = make(map[cottonlanding.TaskID]cottonlanding.Attempt)
}

// Info returns how the worker is listed.
func (w *Worker) Info() cottonlanding.WorkerInfo { return w.info }

// Restart ends the worker's life and begins another that remembers nothing.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, r := range w.runs {
		w.endEntry(r, "Restarted", w.clock.Now())
	}
	w.begin()
}

// SetFaults sets the worker's switches.
func (w *Worker) SetFaults(faults Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

// Overfull returns how many starts the worker refused for want of room.
func (w *Worker) Overfull() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overfull
}

// advance works out what happened since the last call.
func (w *Worker) advance() {
	now := w.clock.Now()
	alive := min(now, w.leaseEnd)
	for id, r := range w.runs {
		if r.state != cottonlanding.Running {
			continue
		}
		if done := r.entry.From + r.needs - r.restored; r.needs > 0 && done <= alive {
			w.finish(r, cottonlanding.Finished, "done:"+r.start.Payload, done)
			continue
		}
		if now > w.leaseEnd {
			w.endEntry(r, "Lapsed", w.leaseEnd)
			delete(w.runs, id)
		}
	}
}

func (w *Worker) finish(r *activeRun, state cottonlanding.RunState, result string, at cottonlanding.Millis) {
	r.state, r.result = state, result
	w.endEntry(r, string(state), at)
}
