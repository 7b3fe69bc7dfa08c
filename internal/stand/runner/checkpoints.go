package runner

import (
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"maps"
	"strconv"

	"github.com/cottonlanding/cottonlanding"
)

// workDigits is how many hex digits of a checkpoint tell the work, in milliseconds.
const workDigits = 8

// unlisted is where a start's checkpoint was last read if no worker has ever told it.
const unlisted = "no list"

// checkpoints watches that a start brings no checkpoint but one of its own task that a
// worker has told. One that is older than the last is allowed: whoever starts the run
// may not have been told of that one.
type checkpoints struct {
	// made is the most work that any run of a task has made a checkpoint of, also on lives
	// that have ended since.
	made map[cottonlanding.TaskRef]cottonlanding.Millis
	// told holds each checkpoint that a worker has told, and where it did so last.
	told map[cottonlanding.Checkpoint]telling
	// brought counts the starts that brought one by where that was last read.
	brought map[string]int
}

// telling is a worker's word of a checkpoint.
type telling struct {
	run   cottonlanding.RunKey
	life  cottonlanding.Life
	epoch cottonlanding.Epoch
	// kind is the end of the run, empty while it went on.
	kind cottonlanding.EndKind
}

func newCheckpoints() checkpoints {
	return checkpoints{
		made:    make(map[cottonlanding.TaskRef]cottonlanding.Millis),
		told:    make(map[cottonlanding.Checkpoint]telling),
		brought: make(map[string]int),
	}
}

// CheckpointOf returns the checkpoint of a task at some work. It is told from the one of any other
// task, and from one that was altered, by itself.
func CheckpointOf(task cottonlanding.TaskRef, work cottonlanding.Millis) cottonlanding.Checkpoint {
	digits := fmt.Sprintf("%0*x", workDigits, int64(work))
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(task.String() + " " + digits)) // it never fails
	return cottonlanding.Checkpoint(digits + hex.EncodeToString(hash.Sum(nil)))
}

// workOf returns the work that a checkpoint tells, and whether it is the task's own.
func workOf(task cottonlanding.TaskRef, text cottonlanding.Checkpoint) (cottonlanding.Millis, bool) {
	if text == "" {
		return 0, true
	}
	if len(text) < workDigits {
		return 0, false
	}
	work, err := strconv.ParseInt(string(text[:workDigits]), 16, 64)
	if err != nil || CheckpointOf(task, cottonlanding.Millis(work)) != text {
		return 0, false
	}
	return cottonlanding.Millis(work), true
}

// Brought counts the starts that brought a checkpoint by where it was last read.
func (r *Runner) Brought() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.checkpoints.brought)
}

// watchCheckpoint notes a start whose checkpoint isn't the task's. It sees each that reaches a
// life, also one that is repeated or comes too late.
func (r *Runner) watchCheckpoint(w *worker, start cottonlanding.RunStart) {
	earlier, repeated := w.brought[start.RunKey]
	if repeated && earlier != start.Checkpoint {
		r.recordCheckpoint(w, start, fmt.Sprintf("an earlier start of this run brought %q", earlier))
	}
	w.brought[start.RunKey] = start.Checkpoint
	if start.Checkpoint == "" || repeated && earlier == start.Checkpoint {
		return
	}
	source := r.sourceOf(start)
	r.checkpoints.brought[source]++
	work, own := workOf(start.Task, start.Checkpoint)
	switch {
	case r.fate(start.RunKey).Saves == 0:
		r.recordCheckpoint(w, start, "its step makes none")
	case !own:
		r.recordCheckpoint(w, start, "it isn't this task's")
	case work > r.checkpoints.made[start.Task]:
		r.recordCheckpoint(w, start, fmt.Sprintf("the task has never worked for more than %s", r.checkpoints.made[start.Task]))
	case source == unlisted:
		r.recordCheckpoint(w, start, "no worker has told it")
	}
}

func (r *Runner) recordCheckpoint(w *worker, start cottonlanding.RunStart, why string) {
	r.violations = append(r.violations, fmt.Sprintf("run %d of %s starts at %s with checkpoint %q: %s; that was %s",
		start.Number, start.Task, w.id, start.Checkpoint, why, r.originOf(start)))
}

// originOf tells where a checkpoint comes from.
func (r *Runner) originOf(start cottonlanding.RunStart) string {
	from, found := r.checkpoints.told[start.Checkpoint]
	switch {
	case start.Checkpoint == "":
		return "none"
	case !found:
		return "never told"
	case from.run.Task != start.Task:
		return fmt.Sprintf("told of another task by %s, run %d of %s", from.life.Worker, from.run.Number, from.run.Task)
	case !r.lives(from.life):
		return fmt.Sprintf("told of run %d by %s, a life that has ended since", from.run.Number, from.life.Worker)
	}
	return fmt.Sprintf("told of run %d by %s", from.run.Number, from.life.Worker)
}

// sourceOf sorts a start's checkpoint by where it was last read.
func (r *Runner) sourceOf(start cottonlanding.RunStart) string {
	from, found := r.checkpoints.told[start.Checkpoint]
	if !found {
		return unlisted
	}
	source := "list of a run that went on"
	if from.kind != "" {
		source = "end " + string(from.kind)
	}
	if from.epoch < start.Epoch {
		source += ", told to an earlier owner"
	}
	if !r.lives(from.life) {
		source += ", of a life that has ended"
	}
	return source
}

// lives reports whether a life goes on.
func (r *Runner) lives(life cottonlanding.Life) bool {
	w := r.workers[life.Worker]
	return w != nil && w.born == life.Born
}

// checkpointOf returns what a run that has worked until an instant would continue from. Only a stop
// makes one that isn't a whole number of spans of work.
func (r *Runner) checkpointOf(key cottonlanding.RunKey, run *activeRun, until cottonlanding.Millis, stopped bool) cottonlanding.Checkpoint {
	if run.fate.Saves == 0 {
		return ""
	}
	work := run.worked(until)
	if !stopped {
		work -= work % run.fate.Saves
	}
	if work <= run.from {
		return run.text
	}
	r.checkpoints.made[key.Task] = max(r.checkpoints.made[key.Task], work)
	return CheckpointOf(key.Task, work)
}

// tell notes what a worker tells of a run.
func (r *Runner) tell(w *worker, key cottonlanding.RunKey, text cottonlanding.Checkpoint, kind cottonlanding.EndKind) {
	if text == "" {
		return
	}
	life := cottonlanding.Life{Worker: w.id, Born: w.born}
	r.checkpoints.told[text] = telling{run: key, life: life, epoch: w.epoch, kind: kind}
}
