// Package runner stands in for workers that run the tasks of workflows. It keeps
// the promises that real ones give: a lease on their own clock, one run of a task
// at a time, runs that a stop or a later run has ruled out. It watches for what
// must never happen.
package runner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/cottonlanding/cottonlanding"
)

// ErrDark reports a worker that gives no answer; it wraps ErrAmbiguous.
var ErrDark = fmt.Errorf("the worker is dark: %w", cottonlanding.ErrAmbiguous)

// Runner holds the workers.
type Runner struct {
	clock cottonlanding.Clock
	fate  func(cottonlanding.RunKey) Fate

	mu         sync.Mutex
	workers    map[cottonlanding.WorkerID]*worker
	violations []string
	starts     int
	// crashed lists the lives that their runs have ended and that TakeCrashed didn't return yet.
	crashed []cottonlanding.WorkerID
	// crashes counts for each task the workers that it crashed, after its starts since the
	// last of those that are allowed to happen.
	crashes map[cottonlanding.TaskRef]int
	after   map[cottonlanding.TaskRef]int
	// endsUnder counts for each task the lives that ended while they ran it.
	endsUnder map[cottonlanding.TaskRef]int
	// endedAt is when the last run of each task ended.
	endedAt  map[cottonlanding.TaskRef]cottonlanding.Millis
	notes    notes
	failures failures

	checkpoints checkpoints
	// longestLease cuts the leases that workers take, unless it is zero.
	longestLease cottonlanding.Millis
}

type worker struct {
	id      cottonlanding.WorkerID
	born    cottonlanding.Birth
	address cottonlanding.Address
	offset  cottonlanding.Millis
	epoch   cottonlanding.Epoch
	lease   cottonlanding.Reading
	dark    bool
	runs    map[cottonlanding.RunKey]*activeRun
	ruled   map[cottonlanding.TaskRef]cottonlanding.RunNumber
	ended   []endedRun
	serial  uint64
	// lapsedAt is when the lease was last found to have run out.
	lapsedAt cottonlanding.Millis
	// brought holds the checkpoint that the last start of each run brought.
	brought map[cottonlanding.RunKey]cottonlanding.Checkpoint
}

// New returns a runner without workers; fate decides about each run.
func New(clock cottonlanding.Clock, fate func(cottonlanding.RunKey) Fate) *Runner {
	return &Runner{
		clock:   clock,
		fate:    fate,
		workers: make(map[cottonlanding.WorkerID]*worker),
		crashes: make(map[cottonlanding.TaskRef]int),
		after:   make(map[cottonlanding.TaskRef]int),

		endsUnder: make(map[cottonlanding.TaskRef]int),
		endedAt:   make(map[cottonlanding.TaskRef]cottonlanding.Millis),

		notes:    newNotes(),
		failures: newFailures(),

		checkpoints: newCheckpoints(),
	}
}

// Add adds one life of a worker whose clock is offset from the runner's, at an address
// that is its id.
func (r *Runner) Add(id cottonlanding.WorkerID, offset cottonlanding.Millis) {
	r.AddAt(id, cottonlanding.Address(id), offset)
}

// AddAt is Add at an address, where an earlier life may have been.
func (r *Runner) AddAt(id cottonlanding.WorkerID, address cottonlanding.Address, offset cottonlanding.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers[id] = newWorker(id, address, offset, 0)
}

func newWorker(id cottonlanding.WorkerID, address cottonlanding.Address, offset cottonlanding.Millis, born cottonlanding.Birth) *worker {
	return &worker{
		id:      id,
		born:    born,
		address: address,
		offset:  offset,
		runs:    make(map[cottonlanding.RunKey]*activeRun),
		ruled:   make(map[cottonlanding.TaskRef]cottonlanding.RunNumber),
		brought: make(map[cottonlanding.RunKey]cottonlanding.Checkpoint),
	}
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

// RunsOn counts the runs that go on on a worker.
func (r *Runner) RunsOn(id cottonlanding.WorkerID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.workers[id]
	if w == nil {
		return 0
	}
	r.advance(w)
	return len(w.runs)
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

// CutLeases has workers cut the leases that they take.
func (r *Runner) CutLeases(longest cottonlanding.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.longestLease = longest
}

// lend extends the lease of a worker.
func (r *Runner) lend(w *worker, until cottonlanding.Reading) {
	if r.longestLease > 0 {
		until = min(until, r.reading(w)+cottonlanding.Reading(r.longestLease))
	}
	w.lease = max(w.lease, until)
}

func (r *Runner) reading(w *worker) cottonlanding.Reading {
	return cottonlanding.Reading(r.clock.Now() + w.offset)
}

// keys returns the runs that go on in order, so that a history repeats.
func (w *worker) keys() []cottonlanding.RunKey {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b cottonlanding.RunKey) int {
		x, y := a.Task, b.Task
		return cmp.Or(cmp.Compare(x.Workflow, y.Workflow), cmp.Compare(x.Round, y.Round), cmp.Compare(x.Step, y.Step),
			cmp.Compare(x.Index, y.Index), cmp.Compare(a.Number, b.Number))
	})
}

// advance ends what has ended by now.
func (r *Runner) advance(w *worker) {
	now := r.clock.Now()
	r.crashIfDue(w, now)
	if r.reading(w) >= w.lease {
		w.lapsedAt = now
	}
	for _, key := range w.keys() {
		run := w.runs[key]
		ends := run.ends()
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
	worked := r.clock.Now()
	if kind == cottonlanding.EndLapsed {
		worked = min(worked, cottonlanding.Millis(w.lease)-w.offset)
	}
	text := r.checkpointOf(key, w.runs[key], worked, kind == cottonlanding.EndStopped)
	r.recordEndedAt(key.Task, worked)
	if kind == cottonlanding.EndFailed {
		addRun(r.failures.ended, key)
	}
	delete(w.runs, key)
	w.serial++
	w.ruled[key.Task] = max(w.ruled[key.Task], key.Number)
	end := cottonlanding.RunEnd{RunKey: key, Serial: w.serial, Kind: kind, Checkpoint: text}
	w.ended = append(w.ended, endedRun{RunEnd: end, at: r.clock.Now()})
}

// reach returns a worker that answers calls of an epoch.
func (r *Runner) reach(ref cottonlanding.WorkerRef, epoch cottonlanding.Epoch) (*worker, error) {
	if w := r.workers[ref.Life.Worker]; w != nil {
		r.advance(w)
	}
	w := r.workers[ref.Life.Worker]
	if w == nil && r.livesAt(ref.Address) {
		return nil, cottonlanding.ErrOtherLife
	}
	if w == nil || w.dark {
		return nil, ErrDark
	}
	if epoch < w.epoch {
		return nil, cottonlanding.ErrStaleEpoch
	}
	w.epoch = epoch
	return w, nil
}

// livesAt reports whether a worker answers at an address.
func (r *Runner) livesAt(address cottonlanding.Address) bool {
	for _, w := range r.workers {
		if w.address == address && !w.dark {
			return true
		}
	}
	return false
}

// Start implements cottonlanding.RunClient.
func (r *Runner) Start(_ context.Context, ref cottonlanding.WorkerRef, start cottonlanding.RunStart) (cottonlanding.Reading, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, err := r.reach(ref, start.Epoch)
	if err != nil {
		return 0, err
	}
	r.watchCheckpoint(w, start)
	reading := r.reading(w)
	if reading >= start.LeaseUntil {
		return reading, cottonlanding.ErrLate
	}
	r.lend(w, start.LeaseUntil)
	if w.runs[start.RunKey] != nil {
		return reading, nil
	}
	if start.Number <= w.ruled[start.Task] {
		return reading, cottonlanding.ErrConflict
	}
	r.watchStart(start.RunKey)
	r.starts++
	r.watchCrashes(start.RunKey)
	r.watchNoted(start.RunKey)
	run := &activeRun{began: r.clock.Now(), fate: r.fate(start.RunKey)}
	if from, own := workOf(start.Task, start.Checkpoint); own {
		run.text, run.from = start.Checkpoint, from
	}
	w.runs[start.RunKey] = run
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
	w, err := r.reach(ref, epoch)
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
func (r *Runner) Poll(_ context.Context, ref cottonlanding.WorkerRef, look cottonlanding.Poll) (cottonlanding.RunReport, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, err := r.reach(ref, look.Epoch)
	if err != nil {
		return cottonlanding.RunReport{}, err
	}
	r.forgetSeen(w, look.Seen)
	r.lend(w, look.LeaseUntil)
	report := cottonlanding.RunReport{Born: w.born, Reading: r.reading(w)}
	for _, key := range w.keys() {
		run := w.runs[key]
		text := r.checkpointOf(key, run, r.clock.Now(), false)
		r.tell(w, key, text, "")
		report.Running = append(report.Running, cottonlanding.RunProgress{RunKey: key, Percent: r.percent(run), Checkpoint: text})
	}
	for at, end := range w.ended {
		w.ended[at].told = true
		r.tell(w, end.RunKey, end.Checkpoint, end.Kind)
		report.Ended = append(report.Ended, end.RunEnd)
	}
	return report, nil
}

// Pace implements cottonlanding.RunClient; the pace has no effect here.
func (r *Runner) Pace(_ context.Context, ref cottonlanding.WorkerRef, _ cottonlanding.RunKey, percent int, epoch cottonlanding.Epoch) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if percent < 0 || percent > 100 {
		return errors.Join(cottonlanding.ErrRefused, fmt.Errorf("a pace of %d percent", percent))
	}
	_, err := r.reach(ref, epoch)
	return err
}
