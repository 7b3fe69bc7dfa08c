package runner

import (
	"fmt"
	"maps"

	"github.com/cottonlanding/cottonlanding"
)

// notes watches that no task starts again after a run of it has ended as done and an owner
// has taken note of that, by letting the worker forget it. It doesn't matter which came
// first. An end between which and its note the worker's lease ran out doesn't count.
type notes struct {
	done map[cottonlanding.TaskRef]string
	// began is when the last run of each task did.
	began map[cottonlanding.TaskRef]cottonlanding.Millis
}

// failures holds the runs of each task that ended as failed.
type failures struct {
	ended, noted map[cottonlanding.TaskRef]map[cottonlanding.RunNumber]bool
}

func newFailures() failures {
	return failures{
		ended: make(map[cottonlanding.TaskRef]map[cottonlanding.RunNumber]bool),
		noted: make(map[cottonlanding.TaskRef]map[cottonlanding.RunNumber]bool),
	}
}

func addRun(runs map[cottonlanding.TaskRef]map[cottonlanding.RunNumber]bool, key cottonlanding.RunKey) {
	if runs[key.Task] == nil {
		runs[key.Task] = make(map[cottonlanding.RunNumber]bool)
	}
	runs[key.Task][key.Number] = true
}

// countRuns counts the runs of some tasks, those of the same number once.
func countRuns(runs map[cottonlanding.TaskRef]map[cottonlanding.RunNumber]bool, tasks []cottonlanding.TaskRef) int {
	numbers := make(map[cottonlanding.RunNumber]bool)
	for _, task := range tasks {
		maps.Copy(numbers, runs[task])
	}
	return len(numbers)
}

// FailedRuns counts the runs in which any of the tasks, such as the members of a gang, ended as failed.
func (r *Runner) FailedRuns(tasks ...cottonlanding.TaskRef) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return countRuns(r.failures.ended, tasks)
}

// NotedFailedRuns is FailedRuns for the ends of which an owner has taken note.
func (r *Runner) NotedFailedRuns(tasks ...cottonlanding.TaskRef) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return countRuns(r.failures.noted, tasks)
}

// endedRun is an end with when it came.
type endedRun struct {
	cottonlanding.RunEnd
	at cottonlanding.Millis
	// told says that an answer has held it.
	told bool
}

func newNotes() notes {
	return notes{done: make(map[cottonlanding.TaskRef]string), began: make(map[cottonlanding.TaskRef]cottonlanding.Millis)}
}

// HasBegun reports whether a run of a workflow has ever begun, on any worker.
func (r *Runner) HasBegun(id cottonlanding.WorkflowID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task := range r.notes.began {
		if task.Workflow == id {
			return true
		}
	}
	return false
}

// forgetSeen forgets the ends up to a number.
func (r *Runner) forgetSeen(w *worker, seen uint64) {
	for len(w.ended) > 0 && w.ended[0].Serial <= seen {
		r.recordTaken(w, w.ended[0])
		w.ended = w.ended[1:]
	}
}

// recordTaken notes that an owner has taken note of an end.
func (r *Runner) recordTaken(w *worker, end endedRun) {
	if w.lapsedAt > end.at {
		return
	}
	if end.Kind == cottonlanding.EndFailed {
		addRun(r.failures.noted, end.RunKey)
	}
	if end.Kind != cottonlanding.EndDone {
		return
	}
	r.notes.done[end.Task] = describeEnd(w, end)
	if r.notes.began[end.Task] > end.at {
		r.violations = append(r.violations, fmt.Sprintf("%s has started again after run %d of it had ended as done, and that is noted: %s", end.Task, end.Number, describeEnd(w, end)))
	}
}

// watchNoted notes a start of a task of which the end of a run as done was noted.
func (r *Runner) watchNoted(key cottonlanding.RunKey) {
	r.notes.began[key.Task] = r.clock.Now()
	if end := r.notes.done[key.Task]; end != "" {
		r.violations = append(r.violations, fmt.Sprintf("run %d of %s starts although a run of it had ended as done, and that was noted: %s", key.Number, key.Task, end))
	}
}

// describeEnd tells which end it is, and whether the worker has ever told of it: a look that was
// sent to an earlier life may let a worker forget an end that nobody has read.
func describeEnd(w *worker, end endedRun) string {
	told := "told"
	if !end.told {
		told = "never told"
	}
	return fmt.Sprintf("end %d of worker %s born %d, run %d, which was %s", end.Serial, w.id, w.born, end.Number, told)
}
