package planner

import (
	"fmt"

	"github.com/cottonlanding/cottonlanding"
)

// logBatch collects events of many tasks for one log line: an owner of hundreds of workers places and ends a
// thousand runs per second.
type logBatch struct {
	placed []string
	ended  []string
	// lasting says that the placed tasks belong to a lasting step.
	lasting bool
	// waited is the longest wait among the placed tasks, pollAge the age of the oldest answer of their workers.
	waited  cottonlanding.Millis
	pollAge cottonlanding.Millis
}

// recordPlaced adds a task that was placed on a worker.
func (b *logBatch) recordPlaced(t *task, w *worker, now cottonlanding.Millis) {
	b.placed = append(b.placed, fmt.Sprintf("%s#%d@%s", t.ref, t.number, w.info.ID))
	b.lasting = t.stage.Lasting
	b.waited = max(b.waited, now-t.waitingSince)
	b.pollAge = max(b.pollAge, now-w.lastAnswerAt)
}

// logPlaced logs the placed tasks, each as task#run@worker.
func (c *Cell) logPlaced() {
	b := &c.logBatch
	if len(b.placed) > 0 {
		log := c.logs.tasks
		if b.lasting {
			log = c.logs.lasting
		}
		log.Info("tasks placed", "Tasks", b.placed, "LongestWait", b.waited, "OldestLook", b.pollAge)
	}
	b.placed, b.waited, b.pollAge = nil, 0, 0
}

// recordEnded adds a run that ended by itself. A run that was told to stop gets its own line, which shows how long
// each part of that took.
func (c *Cell) recordEnded(r *run, end cottonlanding.RunEnd, now cottonlanding.Millis) {
	if !r.stopping {
		line := fmt.Sprintf("%s#%d %s after %d at %d%%", r.Task, r.Number, end.Kind, now-r.placedAt, r.percent)
		c.logBatch.ended = append(c.logBatch.ended, line)
		return
	}
	c.logs.forStep(r.step).Info("stopped run ended", "Task", r.Task.String(), "Run", r.Number,
		"Worker", r.worker.info.ID, "End", end.Kind, "Serial", end.Serial, "Reason", r.stopReason,
		"After", now-r.placedAt, "MarkedBefore", now-r.stopRequestedAt,
		"SentBefore", r.stopSentBefore(now), "Tries", r.stopTries)
}

// stopSentBefore returns how long ago the first stop was sent, -1 if no answer to it has been recorded yet.
func (r *run) stopSentBefore(now cottonlanding.Millis) cottonlanding.Millis {
	if r.stopSentAt == 0 {
		return -1
	}
	return now - r.stopSentAt
}

// logEnded logs the runs of a worker that ended by themselves, each as task#run.
func (c *Cell) logEnded(w *worker) {
	if len(c.logBatch.ended) > 0 {
		c.logs.tasks.Info("runs ended", "Worker", w.info.ID, "Ends", c.logBatch.ended, "Serial", w.receivedEnd)
	}
	c.logBatch.ended = nil
}

// logLost logs the runs lost with a worker, each as task#run with how long before its loss it was placed, and for
// how long the worker has been silent. A task that several such lines name may be what crashes its workers.
func (c *Cell) logLost(w *worker, runs []*run, now cottonlanding.Millis, why loss) {
	if len(runs) == 0 {
		return
	}
	lost := make([]string, 0, len(runs))
	for _, r := range runs {
		lost = append(lost, fmt.Sprintf("%s#%d placed %d before", r.Task, r.Number, now-r.placedAt))
	}
	silent := cottonlanding.Millis(0)
	if w.pollFailed {
		silent = now - w.pollFailedSince
	}
	c.log.Warn("worker lost", "Worker", w.info.ID, "Born", w.life().Born, "Runs", lost,
		"SilentFor", silent, "LastAnswer", now-w.lastAnswerAt, "Why", why, w.bound.attributes(now))
}

// logSkippedEnds logs the ends in an answer that count as committed by their numbers. A worker lists an end again until
// it is told that it may forget it. One that was told no longer has it, so that such an end may be a new one under an
// old number, of a life that was not recognized; its task is then started again although it may be done.
func (c *Cell) logSkippedEnds(w *worker, ends []cottonlanding.RunEnd) {
	var skipped []string
	for _, end := range ends {
		if end.Serial <= w.committedEnd {
			skipped = append(skipped, fmt.Sprintf("%d %s#%d %s", end.Serial, end.Task, end.Number, end.Kind))
		}
	}
	if len(skipped) > 0 {
		c.log.Warn("ends passed over", "Worker", w.info.ID, "Born", w.born, "Ends", skipped,
			"Noted", w.receivedEnd, "Seen", w.committedEnd)
	}
}

// logCheckpoint logs a start that continues from a checkpoint. A checkpoint that differs from what that worker
// listed for that run was altered in transit; two lines of one run with different checkpoints show that its start
// was retried with another one.
func (c *Cell) logCheckpoint(w *worker, r *run, from knownCheckpoint, now cottonlanding.Millis) {
	c.logs.forStep(r.step).Info("start continues from a checkpoint", "Task", r.Task.String(), "Run", r.Number,
		"Worker", w.info.ID, "Checkpoint", from.text, "How", from.how, "Of", from.run, "By", from.worker,
		"Before", now-from.at, "Repeated", r.startUnconfirmed)
}

// maxLoggedLosses bounds the tasks that logInheritedLosses names.
const maxLoggedLosses = 50

// logInheritedLosses logs which tasks have lost workers under earlier owners, each with its counts.
func (c *Cell) logInheritedLosses() {
	var withLosses []string
	for _, j := range c.openJobs {
		j.eachTask(func(t *task) {
			if t.crashes != (cottonlanding.CrashRecord{}) && len(withLosses) < maxLoggedLosses {
				withLosses = append(withLosses, fmt.Sprintf("%s#%d losses %d crashes %d",
					t.ref, t.number, t.crashes.Losses, t.crashes.Crashes))
			}
		})
	}
	if len(withLosses) > 0 {
		c.log.Info("losses taken over", "Epoch", c.setup.Epoch, "Tasks", withLosses)
	}
}
