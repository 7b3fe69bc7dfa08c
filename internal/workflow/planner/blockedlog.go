package planner

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// maxBlockedLogsPerSecond bounds the lines on lasting tasks that are down, each of which checks all workers.
const maxBlockedLogsPerSecond = 25

// blockedLogBudget counts the lines of the current second.
type blockedLogBudget struct {
	secondBegan cottonlanding.Millis
	lines       int
}

// left returns how many more lines may be written in this second.
func (b *blockedLogBudget) left(now cottonlanding.Millis) int {
	if now-b.secondBegan >= cottonlanding.Second {
		b.secondBegan, b.lines = now, 0
	}
	return maxBlockedLogsPerSecond - b.lines
}

// logBlocked logs what blocks each lasting task that was placed before and is down, those that were logged longest
// ago first.
func (c *Cell) logBlocked(now cottonlanding.Millis) {
	left := c.downtimeLogs.budget.left(now)
	if left <= 0 || len(c.downtimeLogs.open) == 0 {
		return
	}
	var blocked []*downtimeLog
	for _, d := range c.downtimeLogs.open {
		if d.logsBlocked(now) {
			blocked = append(blocked, d)
		}
	}
	slices.SortStableFunc(blocked, func(a, b *downtimeLog) int { return cmp.Compare(a.loggedAt, b.loggedAt) })
	for _, d := range blocked[:min(left, len(blocked))] {
		d.loggedAt, d.loggedPlaced = now, d.task.run != nil
		c.downtimeLogs.budget.lines++
		if d.task.run != nil {
			c.logNotStarted(d.task.run, now)
			continue
		}
		c.logRejections(c.logs.lasting, d.task, now)
	}
}

// logsBlocked reports whether a line on what blocks the task may be logged now.
func (d *downtimeLog) logsBlocked(now cottonlanding.Millis) bool {
	sameReason := d.loggedPlaced == (d.task.run != nil)
	if d.isOver() || sameReason && d.loggedAt > 0 && now-d.loggedAt < waitLogInterval {
		return false
	}
	if r := d.task.run; r != nil {
		return now-r.placedAt >= waitLogDelay
	}
	return d.task.state == taskWaiting && now-d.task.waitingSince >= waitLogDelay
}

// logNotStarted logs the state of a run that was placed and isn't known to run.
func (c *Cell) logNotStarted(r *run, now cottonlanding.Millis) {
	w := r.worker
	c.logs.lasting.Info("placed task doesn't run", "Task", r.Task.String(), "Run", r.Number, "Worker", w.info.ID, "PlacedBefore", now-r.placedAt,
		"Phase", r.phase.String(), "SentBefore", elapsedSince(r.sentAt, now), "Copies", r.retriesSincePoll, "Ordered", r.orderInFlight, "Doubtful", r.startUnconfirmed,
		"Reason", r.stopReason, "StopTaken", r.lastStopAckAt > 0, "LastAnswer", elapsedSince(w.lastAnswerAt, now), "Silent", w.pollFailed,
		"Cordoned", w.cordoned(), "StartsHeld", c.startsSuspended, "MayStart", r.task.job.mayStart(now))
}

// String returns the name of the phase for the log.
func (p phase) String() string {
	return [...]string{planned: "Planned", committed: "Cleared", sent: "Sent", started: "Started"}[p]
}
