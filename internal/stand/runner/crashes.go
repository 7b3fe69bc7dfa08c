package runner

import (
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// startsAfterCrashes is how many more starts of a task are too many once crashesBefore
// workers have crashed under it. Source: the rule on tasks that crash their workers.
const (
	crashesBefore      = 3
	startsAfterCrashes = 3
)

// Crash ends a life with all its runs.
func (r *Runner) Crash(id cottonlanding.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLife(id)
}

// endLife ends a life, if there is one, and notes under which tasks.
func (r *Runner) endLife(id cottonlanding.WorkerID) {
	w := r.workers[id]
	if w == nil {
		return
	}
	r.advance(w)
	for key := range w.runs {
		r.endsUnder[key.Task]++
		r.recordEndedAt(key.Task, r.clock.Now())
	}
	delete(r.workers, id)
}

// EndsUnder counts the lives of workers that ended, for whatever cause, while they ran a task.
func (r *Runner) EndsUnder(task cottonlanding.TaskRef) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endsUnder[task]
}

// TakeCrashed returns the lives that their runs have ended since it was last called.
func (r *Runner) TakeCrashed() []cottonlanding.WorkerID {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		r.advance(w)
	}
	out := r.crashed
	r.crashed = nil
	slices.Sort(out)
	return out
}

// CrashesUnder counts the workers that a task has crashed.
func (r *Runner) CrashesUnder(task cottonlanding.TaskRef) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes[task]
}

// crashIfDue ends a life that one of its runs has crashed by an instant.
func (r *Runner) crashIfDue(w *worker, now cottonlanding.Millis) {
	for _, key := range w.keys() {
		run := w.runs[key]
		if !run.fate.Crashes || now < run.ends() {
			continue
		}
		for other := range w.runs {
			r.endsUnder[other.Task]++
			r.recordEndedAt(other.Task, now)
		}
		delete(r.workers, w.id)
		clear(w.runs)
		r.crashed = append(r.crashed, w.id)
		r.crashes[key.Task]++
		return
	}
}

// watchCrashes notes a start that comes too often after workers have crashed under its task.
func (r *Runner) watchCrashes(key cottonlanding.RunKey) {
	if r.crashes[key.Task] < crashesBefore {
		return
	}
	r.after[key.Task]++
	if r.after[key.Task] == startsAfterCrashes {
		r.violations = append(r.violations, fmt.Sprintf("run %d of %s is start %d after %d workers had crashed under it",
			key.Number, key.Task, startsAfterCrashes, crashesBefore))
	}
}
