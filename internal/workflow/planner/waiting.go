package planner

import (
	"log/slog"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// waitLogDelay is how long a task waits before the reason is logged, waitLogInterval the time between two such
	// lines.
	waitLogDelay    = cottonlanding.Second
	waitLogInterval = 4 * cottonlanding.Second
)

// waitingStages returns the steps with tasks to be placed, in the order of compareRanks.
func (c *Cell) waitingStages(now cottonlanding.Millis) []*stage {
	var out []*stage
	c.rankAll(now)
	slices.SortStableFunc(c.openJobs, compareRanks)
	for _, j := range c.openJobs {
		if !j.mayStart(now) {
			continue
		}
		for number := range len(j.rounds) {
			for _, s := range j.rounds[number].steps {
				if s.ready && !s.finished() && s.anyWaiting() {
					out = append(out, s)
				}
			}
		}
	}
	return out
}

// hasInterruptedTask reports whether a lasting task of the workflow has just been interrupted, so that its room is
// still free, or has waited long since.
func (j *job) hasInterruptedTask(now cottonlanding.Millis) bool {
	for _, r := range j.rounds {
		for _, s := range r.steps {
			if s.Lasting && slices.ContainsFunc(s.tasks, func(t *task) bool { return t.justInterrupted(now) || t.precedence(now) == interruptedPrecedence }) {
				return true
			}
		}
	}
	return false
}

func (s *stage) anyWaiting() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.state == taskWaiting })
}

// waiting counts the tasks of a step that have no worker.
func (s *stage) waiting() int {
	count := 0
	for _, t := range s.tasks {
		if t.state == taskWaiting {
			count++
		}
	}
	return count
}

// logWaiting logs why the tasks of a step have no worker. Interrupted tasks are logged individually by logBlocked.
func (c *Cell) logWaiting(t *task, now cottonlanding.Millis) {
	if t.downtimeLog == nil && t.takeWaitLogTurn(now) {
		c.logRejections(c.logs.tasks, t, now)
	}
}

// logRejections logs how many workers each check rejects for a task.
func (c *Cell) logRejections(log *slog.Logger, t *task, now cottonlanding.Millis) {
	counts := c.countRejections(t, now)
	log.Info("step waits", "Task", t.ref.String(), "Run", t.number, "Waited", now-t.waitingSince, "Workers", len(c.workers),
		"Unusable", counts[rejectedUnusable], "Barred", counts[rejectedBarred], "Full", counts[rejectedFull], "KeptForOther", counts[rejectedHeld],
		"KeptApart", counts[rejectedIsolated], "Due", counts[rejectedReserved], "WouldDisturb", counts[rejectedDisturbing], "AwaitsSample", counts[rejectedUntilSample],
		"Fits", counts[notRejected],
		"MayStart", t.job.mayStart(now), "CPU", int64(t.stage.Resources.CPU), "Memory", t.stage.Resources.Memory.String())
}

// takeWaitLogTurn reports whether a line on the waiting task may be logged now, and records that it is.
func (t *task) takeWaitLogTurn(now cottonlanding.Millis) bool {
	toldAt := t.lastWaitLog()
	if now-t.waitingSince < waitLogDelay || now-*toldAt < waitLogInterval && *toldAt > 0 {
		return false
	}
	*toldAt = now
	return true
}

// lastWaitLog returns when the reason for the wait was last logged: for an interrupted task its own, else that of
// its step.
func (t *task) lastWaitLog() *cottonlanding.Millis {
	if t.downtimeLog != nil {
		return &t.downtimeLog.loggedAt
	}
	return &t.stage.loggedAt
}

// logRowFull logs that a task waits although a worker has room, since the workflow's row might exceed maxRowBytes
// with it.
func (c *Cell) logRowFull(t *task, now cottonlanding.Millis) {
	if t.takeWaitLogTurn(now) {
		c.log.Warn("step waits for room in the workflow's row", "Task", t.ref.String(), "Waited", now-t.waitingSince, "Bytes", t.job.size.bytes(), "Most", maxRowBytes)
	}
}
