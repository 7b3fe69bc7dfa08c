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
	delete(r.workers, id)
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
	for key, run := range w.runs {
		if !run.fate.Crashes || now < run.ends() {
			continue
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
