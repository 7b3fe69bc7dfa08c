// Package runner stands in for workers that run the tasks of workflows. It keeps
// the promises that real ones give: a lease on their own clock, one run of a task
// at a time, runs that a stop or a later run has ruled out. It watches for what
// must never happen.
package runner

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/cottonlanding/cottonlanding"
)

// ErrDark reports a worker that gives no answer; it wraps ErrAmbiguous.
var ErrDark = fmt.Errorf("the worker is dark: %w", cottonlanding.ErrAmbiguous)

// Fate is what becomes of a run.
type Fate struct {
	Lasts cottonlanding.Millis
	// Forever runs until it is stopped.
	Forever bool
	Fails   bool
}

// Runner holds the workers.
type Runner struct {
	clock cottonlanding.Clock
	fate  func(cottonlanding.RunKey) Fate

	mu         sync.Mutex
	workers    map[cottonlanding.WorkerID]*worker
	violations []string
	starts     int
}

type worker struct {
	offset cottonlanding.Millis
	epoch  cottonlanding.Epoch
	lease  cottonlanding.Reading
	dark   bool
	runs   map[cottonlanding.RunKey]*activeRun
	ruled  map[cottonlanding.TaskRef]cottonlanding.RunNumber
	ended  []cottonlanding.RunEnd
	serial uint64
}

type activeRun struct {
	began cottonlanding.Millis
	fate  Fate
}

// New returns a runner without workers; fate decides about each run.
func New(clock cottonlanding.Clock, fate func(cottonlanding.RunKey) Fate) *Runner {
	return &Runner{clock: clock, fate: fate, workers: make(map[cottonlanding.WorkerID]*worker)}
}

// Add adds one life of a worker whose clock is offset from the runner's.
func (r *Runner) Add(id cottonlanding.WorkerID, offset cottonlanding.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers[id] = &worker{
		offset: offset,
		runs:   make(map[cottonlanding.RunKey]*activeRun),
		ruled:  make(map[cottonlanding.TaskRef]cottonlanding.RunNumber),
	}
}

// Crash ends a life with all its runs.
func (r *Runner) Crash(id cottonlanding.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.workers, id)
}

// Dark makes a worker silent while it runs on, or ends that.
func (r *Runner) Dark(id cottonlanding.WorkerID, dark bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.workers[id]; w != nil {
		w.dark = dark
	}
}

// Violations returns what must never have happened.
func (r *Runner) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violations...)
}

// Starts counts the runs that were started.
func (r *Runner) Starts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts
}

// Running counts the runs that go on.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, w := range r.workers {
		r.advance(w)
		count += len(w.runs)
	}
	return count
}

// Runs reports whether a task has a run that goes on.
func (r *Runner) Runs(task cottonlanding.TaskRef) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		r.advance(w)
		for key := range w.runs {
			if key.Task == task {
				return true
			}
		}
	}
	return false
}

// Lasting counts the runs that go on and never end by themselves.
func (r *Runner) Lasting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, w := range r.workers {
		r.advance(w)
		for _, run := range w.runs {
			if run.fate.Forever {
				count++
			}
		}
	}
	return count
}

func (r *Runner) reading(w *worker) cottonlanding.Reading {
	return cottonlanding.Reading(r.clock.Now() + w.offset)
}

// advance ends what has ended by now.
func (r *Runner) advance(w *worker) {
	now := r.clock.Now()
	for key, run := range w.runs {
		ends := run.began + run.fate.Lasts
		over := !run.fate.Forever && now >= ends
		// A worker that nobody asked for long may find both at once: the first counts.
		lapsed := r.reading(w) >= w.lease && !(over && cottonlanding.Reading(ends+w.offset) < w.lease)
		switch {
		case lapsed:
			r.end(w, key, cottonlanding.EndLapsed)
		case over && run.fate.Fails:
			r.end(w, key, cottonlanding.EndFailed)
		case over:
			r.end(w, key, cottonlanding.EndDone)
		}
	}
}

func (r *Runner) end(w *worker, key cottonlanding.RunKey, kind cottonlanding.EndKind) {
	delete(w.runs, key)
	w.serial++
	w.ruled[key.Task] = max(w.ruled[key.Task], key.Number)
	w.ended = append(w.ended, cottonlanding.RunEnd{RunKey: key, Serial: w.serial, Kind: kind})
}

// reach returns a worker that answers calls of an epoch.
func (r *Runner) reach(id cottonlanding.WorkerID, epoch cottonlanding.Epoch) (*worker, error) {
	w := r.workers[id]
	if w == nil || w.dark {
		return nil, ErrDark
	}
	r.advance(w)
	if epoch < w.epoch {
		return nil, cottonlanding.ErrStaleEpoch
	}
	w.epoch = epoch
	return w, nil
}

// Start implements cottonlanding.RunClient.
func (r *Runner) Start(_ context.Context, ref cottonlanding.WorkerRef, start cottonlanding.RunStart) (cottonlanding.Reading, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, err := r.reach(ref.ID, start.Epoch)
	if err != nil {
		return 0, err
	}
	reading := r.reading(w)
	if reading >= start.LeaseUntil {
		return reading, cottonlanding.ErrLate
	}
	w.lease = max(w.lease, start.LeaseUntil)
	if w.runs[start.RunKey] != nil {
		return reading, nil
	}
	if start.Number <= w.ruled[start.Task] {
		return reading, cottonlanding.ErrConflict
	}
	r.watchStart(start.RunKey)
	r.starts++
	w.runs[start.RunKey] = &activeRun{began: r.clock.Now(), fate: r.fate(start.RunKey)}
	return reading, nil
}

// watchStart notes a start of a task that runs anywhere already.
func (r *Runner) watchStart(key cottonlanding.RunKey) {
	for id, other := range r.workers {
		r.advance(other)
		for running := range other.runs {
			if running.Task == key.Task {
				r.violations = append(r.violations, fmt.Sprintf("run %d of %s starts while run %d goes on at %s",
					key.Number, key.Task, running.Number, id))
			}
		}
	}
}

// Stop implements cottonlanding.RunClient.
func (r *Runner) Stop(_ context.Context, ref cottonlanding.WorkerRef, key cottonlanding.RunKey, epoch cottonlanding.Epoch) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, err := r.reach(ref.ID, epoch)
	if err != nil {
		return err
	}
	if w.runs[key] != nil {
		r.end(w, key, cottonlanding.EndStopped)
	}
	w.ruled[key.Task] = max(w.ruled[key.Task], key.Number)
	return nil
}

// Look implements cottonlanding.RunClient. It never waits.
func (r *Runner) Look(_ context.Context, ref cottonlanding.WorkerRef, look cottonlanding.Look) (cottonlanding.RunReport, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, err := r.reach(ref.ID, look.Epoch)
	if err != nil {
		return cottonlanding.RunReport{}, err
	}
	w.lease = max(w.lease, look.LeaseUntil)
	for len(w.ended) > 0 && w.ended[0].Serial <= look.Seen {
		w.ended = w.ended[1:]
	}
	report := cottonlanding.RunReport{Reading: r.reading(w), Ended: append([]cottonlanding.RunEnd(nil), w.ended...)}
	for key, run := range w.runs {
		report.Running = append(report.Running, cottonlanding.RunProgress{RunKey: key, Percent: r.percent(run)})
	}
	return report, nil
}

func (r *Runner) percent(run *activeRun) int {
	if run.fate.Forever {
		return 100
	}
	return int(100 * (r.clock.Now() - run.began) / max(run.fate.Lasts, 1))
}

// Pace implements cottonlanding.RunClient; the pace has no effect here.
func (r *Runner) Pace(_ context.Context, ref cottonlanding.WorkerRef, _ cottonlanding.RunKey, percent int, epoch cottonlanding.Epoch) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if percent < 0 || percent > 100 {
		return errors.Join(cottonlanding.ErrRefused, fmt.Errorf("a pace of %d percent", percent))
	}
	_, err := r.reach(ref.ID, epoch)
	return err
}
