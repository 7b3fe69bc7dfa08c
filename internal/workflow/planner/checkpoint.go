package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A checkpoint is a text with which a worker says from where a task can be continued, and which a later start
// passes on. Which checkpoint that is, is decided here alone:
//
//   - Only tasks of steps with Checkpoints have any. What is listed for other tasks, or stored in their rows, is
//     ignored.
//   - A checkpoint counts if it is of the current run of its task, which this owner has placed or has loaded with
//     the task's row, however that run ends. What is listed of a run without a task, of an abandoned run, or of a
//     task that is done does not count. An empty checkpoint does not replace an earlier one.
//   - A gang has one checkpoint, whichever member listed it last, and all members are started with it.
//   - A run is started with the checkpoint that was the newest when it was placed, however often its start is
//     retried, and by whichever owner. What is listed later is for the next run.

// checkpointSource is how a checkpoint became known.
type checkpointSource string

const (
	checkpointListed checkpointSource = "Listed" // with a run that was running
	checkpointEnded  checkpointSource = "Ended"  // with the end of a run
	checkpointLoaded checkpointSource = "Loaded" // in the row that an earlier owner has written
)

// knownCheckpoint is a checkpoint with its origin, which is logged.
type knownCheckpoint struct {
	text   cottonlanding.Checkpoint
	how    checkpointSource
	run    cottonlanding.RunNumber
	worker cottonlanding.WorkerID
	at     cottonlanding.Millis
}

// checkpointHolder returns the task that holds the checkpoints: for a gang its first member, whichever listed them,
// so that all members have the same in memory and in the row.
func (t *task) checkpointHolder() *task {
	if t.stage.Gang {
		return t.stage.tasks[0]
	}
	return t
}

// recordCheckpoint records the checkpoint that a worker lists for a run.
func (r *run) recordCheckpoint(text cottonlanding.Checkpoint, how checkpointSource, now cottonlanding.Millis) {
	t := r.task
	if text == "" || t == nil || t.run != r || t.state == taskDone || !t.stage.Checkpoints {
		return
	}
	t.checkpointHolder().checkpoint = knownCheckpoint{
		text: text, how: how, run: r.Number, worker: r.worker.info.ID, at: now,
	}
}

// loadCheckpoint loads the checkpoints of the task's row. The rows of a gang may hold several, of which the first
// counts: earlier owners stored one for each member. The row of its first member may hold only the checkpoint with
// which the gang's run is started. Owners of older code have also stored checkpoints that are not valid, which
// count as none.
func (t *task) loadCheckpoint(row taskRow, now cottonlanding.Millis) {
	holder := t.checkpointHolder()
	if !t.stage.Checkpoints || holder.checkpoint.text != "" || holder.resumeFrom.text != "" {
		return
	}
	holder.checkpoint = knownCheckpoint{
		text: cottonlanding.NewCheckpoint(string(row.Checkpoint)), how: checkpointLoaded,
		run: row.Number, worker: row.Life.Worker, at: now,
	}
	holder.resumeFrom = holder.checkpoint
	if row.ResumeFrom != nil {
		holder.resumeFrom.text = cottonlanding.NewCheckpoint(string(*row.ResumeFrom))
	}
}

// rowResumeFrom returns the checkpoint that the task's row must hold beside the newest one, or nil: the next owner
// may retry a start of the current run.
func (t *task) rowResumeFrom() *cottonlanding.Checkpoint {
	if t.resumeFrom.text == t.checkpoint.text || !t.hasPlacedRun() {
		return nil
	}
	return &t.resumeFrom.text
}

// startsRun reports whether the newest checkpoint is the one with which the current run of the task, or of its
// gang, is started.
func (t *task) startsRun() bool {
	return t.checkpoint.text != "" && t.resumeFrom.text == t.checkpoint.text && t.hasPlacedRun()
}

// hasPlacedRun reports whether the task, or another member of the gang for which it holds the checkpoints, has a
// run that may still have to be started.
func (t *task) hasPlacedRun() bool {
	if !t.stage.Gang {
		return t.state == taskAssigned
	}
	return slices.ContainsFunc(t.stage.tasks, func(member *task) bool { return member.state == taskAssigned })
}

// pinCheckpoint makes the run that is being placed start with the newest checkpoint. The members of a gang are
// placed at one instant, so that no report comes in between.
func (t *task) pinCheckpoint() {
	holder := t.checkpointHolder()
	holder.resumeFrom = holder.checkpoint
}

// startCheckpoint returns the checkpoint for each start of a task's current run, and logs it.
func (c *Cell) startCheckpoint(w *worker, r *run, now cottonlanding.Millis) cottonlanding.Checkpoint {
	from := r.task.checkpointHolder().resumeFrom
	if from.text != "" {
		c.logCheckpoint(w, r, from, now)
	}
	return from.text
}
