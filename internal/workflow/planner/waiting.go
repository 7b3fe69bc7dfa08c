package planner

import (
	"log/slog"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// waitLogDelay is how long a step waits before the reason is logged, and
	// logWaitingEvery how often that is repeated.
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

// hasInterruptedTask reports whether a lasting task of the workflow was interrupted just now, so
// that the room of its run is still there, or has waited for long since.
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

// logWaiting logs why a step's tasks have no worker yet. Those that are missed are told one by one.
func (c *Cell) logWaiting(t *task, now cottonlanding.Millis) {
	if t.downtime == nil && t.takeWaitLogTurn(now) {
		c.logRejections(c.logs.tasks, t, now)
	}
}

// logRejections logs how many workers are ruled out for a task by what.
func (c *Cell) logRejections(log *slog.Logger, t *task, now cottonlanding.Millis) {
	counts := c.countRejections(t, now)
	log.Info("step waits", "Task", t.ref.String(), "Run", t.number, "Waited", now-t.waitingSince, "Workers", len(c.workers),
		"Unusable", counts[rejectedUnusable], "Barred", counts[rejectedBarred], "Full", counts[rejectedFull], "KeptForOther", counts[rejectedHeld],
		"KeptApart", counts[rejectedIsolated], "Due", counts[rejectedReserved], "WouldDisturb", counts[rejectedDisturbing], "Fits", counts[notRejected],
		"MayStart", t.job.mayStart(now), "CPU", int64(t.stage.Resources.CPU), "Memory", t.stage.Resources.Memory.String())
}

// takeWaitLogTurn reports whether it's time to log why a task waits, and notes that it is logged.
func (t *task) takeWaitLogTurn(now cottonlanding.Millis) bool {
	toldAt := t.lastWaitLog()
	if now-t.waitingSince < waitLogDelay || now-*toldAt < waitLogInterval && *toldAt > 0 {
		return false
	}
	*toldAt = now
	return true
}

// lastWaitLog returns when it was last logged why the task waits: for a task that is missed, or for all of its step.
func (t *task) lastWaitLog() *cottonlanding.Millis {
	if t.downtime != nil {
		return &t.downtime.loggedAt
	}
	return &t.stage.loggedAt
}

// logRowFull logs that a task waits although a worker has room: with it the workflow's row might
// be longer than the table takes.
func (c *Cell) logRowFull(t *task, now cottonlanding.Millis) {
	if t.takeWaitLogTurn(now) {
		c.log.Warn("step waits for room in the workflow's row", "Task", t.ref.String(), "Waited", now-t.waitingSince, "Bytes", t.job.size.bytes(), "Most", maxRowBytes)
	}
}
