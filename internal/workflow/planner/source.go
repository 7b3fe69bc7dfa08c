package planner

import "github.com/cottonlanding/cottonlanding"

// How a task's checkpoint became known.
const (
	checkpointListed = "Listed" // with a run that went on
	checkpointEnded  = "Ended"  // with the end of a run
	checkpointLoaded = "Loaded" // in the row that an owner before has left
)

// checkpointSource tells from where a task's checkpoint is known, for the log.
type checkpointSource struct {
	how    string
	run    cottonlanding.RunNumber
	worker cottonlanding.WorkerID
	at     cottonlanding.Millis
}

// tellCheckpoint logs a start that continues from a checkpoint, and whose text that is. A text
// that differs from what that run's worker has listed was altered on its way; two lines of one
// run with two texts say that its start was repeated with another one.
func (c *Cell) tellCheckpoint(w *worker, r *run, brought cottonlanding.Checkpoint, now cottonlanding.Millis) {
	from := r.task.checkpointFrom
	c.log.Info("start continues from a checkpoint", "Task", r.Task.String(), "Run", r.Number, "Worker", w.info.ID, "Checkpoint", brought,
		"How", from.how, "Of", from.run, "By", from.worker, "Before", now-from.at, "Checkpoints", r.step.Checkpoints, "Repeated", r.doubtful)
}
