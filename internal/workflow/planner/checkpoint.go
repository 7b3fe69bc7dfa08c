package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A checkpoint is a text in which a worker says from where a task can be continued, and which a
// later start brings. Which text that is, is decided here alone:
//
//   - Only tasks of steps that checkpoint have texts. What is listed for others, or stands in
//     their rows, counts for nothing.
//   - A text counts if it is of the run that the task has at that moment, which this owner has
//     placed or has taken over with the task's row, however that run ends. What is listed of
//     an orphan, of a run that was given up, or of a task that is done doesn't count. An empty
//     text takes nothing away.
//   - A gang has one text, whichever member listed it last, and all members bring it.
//   - A run is started with the text that was the newest when it was placed, however often its
//     start is repeated, and by whichever owner. What is listed since then is for the next run.

// checkpointSource is how a text became known.
type checkpointSource string

const (
	checkpointListed checkpointSource = "Listed" // with a run that went on
	checkpointEnded  checkpointSource = "Ended"  // with the end of a run
	checkpointLoaded checkpointSource = "Loaded" // in the row that an owner before has left
)

// knownCheckpoint is a text with from where it is known, which the log tells.
type knownCheckpoint struct {
	text   cottonlanding.Checkpoint
	how    checkpointSource
	run    cottonlanding.RunNumber
	worker cottonlanding.WorkerID
	at     cottonlanding.Millis
}

// checkpointHolder returns the task that holds the texts: for a gang its first one, whichever listed it,
// so that all members have the same in memory and in the row.
func (t *task) checkpointHolder() *task {
	if t.stage.Gang {
		return t.stage.tasks[0]
	}
	return t
}

// recordCheckpoint takes in the text that a worker lists for a run.
func (r *run) recordCheckpoint(text cottonlanding.Checkpoint, how checkpointSource, now cottonlanding.Millis) {
	t := r.task
	if text == "" || t == nil || t.run != r || t.state == taskDone || !t.stage.Checkpoints {
		return
	}
	t.checkpointHolder().checkpoint = knownCheckpoint{text: text, how: how, run: r.Number, worker: r.worker.info.ID, at: now}
}

// loadCheckpoint takes in the texts of the task's row. The rows of a gang may hold several, of
// which the first counts: owners before have kept one for each member. That of its first task
// may hold only the text with which the gang's run is started. Owners of older code have also
// kept texts that can't be kept as they are.
func (t *task) loadCheckpoint(row taskRow, now cottonlanding.Millis) {
	k := t.checkpointHolder()
	if !t.stage.Checkpoints || k.checkpoint.text != "" || k.resumeFrom.text != "" {
		return
	}
	k.checkpoint = knownCheckpoint{text: cottonlanding.NewCheckpoint(string(row.Checkpoint)), how: checkpointLoaded, run: row.Number, worker: row.Life.Worker, at: now}
	k.resumeFrom = k.checkpoint
	if row.ResumeFrom != nil {
		k.resumeFrom.text = cottonlanding.NewCheckpoint(string(*row.ResumeFrom))
	}
}

// rowResumeFrom returns the text that the task's row must hold beside the newest one, or nil: the
// next owner may repeat a start of the present run.
func (t *task) rowResumeFrom() *cottonlanding.Checkpoint {
	if t.resumeFrom.text == t.checkpoint.text || !t.hasPlacedRun() {
		return nil
	}
	return &t.resumeFrom.text
}

// startsRun reports whether the newest text is the one with which the present run of the task,
// or of its gang, is started.
func (t *task) startsRun() bool {
	return t.checkpoint.text != "" && t.resumeFrom.text == t.checkpoint.text && t.hasPlacedRun()
}

// hasPlacedRun reports whether the task has a run that may still be to be started, or another member
// of the gang for which it holds the texts.
func (t *task) hasPlacedRun() bool {
	if !t.stage.Gang {
		return t.state == taskAssigned
	}
	return slices.ContainsFunc(t.stage.tasks, func(member *task) bool { return member.state == taskAssigned })
}

// pinCheckpoint has the run that is being placed begin with the newest text. The members of a
// gang are placed at one instant, between two lists.
func (t *task) pinCheckpoint() {
	k := t.checkpointHolder()
	k.resumeFrom = k.checkpoint
}

// startCheckpoint returns what each start of a task's present run brings, and logs it.
func (c *Cell) startCheckpoint(w *worker, r *run, now cottonlanding.Millis) cottonlanding.Checkpoint {
	from := r.task.checkpointHolder().resumeFrom
	if from.text != "" {
		c.logCheckpoint(w, r, from, now)
	}
	return from.text
}
