package planner

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// maxBlockedLogsPerSecond bounds the lines that tell what holds back lasting tasks that don't run: each costs a look at all
// workers.
const maxBlockedLogsPerSecond = 25

// blockedLogBudget counts the lines of the present second.
type blockedLogBudget struct {
	secondBegan cottonlanding.Millis
	lines       int
}

// left returns how many lines may still be written in this second.
func (b *blockedLogBudget) left(now cottonlanding.Millis) int {
	if now-b.secondBegan >= cottonlanding.Second {
		b.secondBegan, b.lines = now, 0
	}
	return maxBlockedLogsPerSecond - b.lines
}

// logBlocked logs what holds back each lasting task that was placed before and doesn't run, those first that were
// told longest ago.
func (c *Cell) logBlocked(now cottonlanding.Millis) {
	left := c.downtimes.budget.left(now)
	if left <= 0 || len(c.downtimes.open) == 0 {
		return
	}
	var blocked []*downtime
	for _, d := range c.downtimes.open {
		if d.logsBlocked(now) {
			blocked = append(blocked, d)
		}
	}
	slices.SortStableFunc(blocked, func(a, b *downtime) int { return cmp.Compare(a.loggedAt, b.loggedAt) })
	for _, d := range blocked[:min(left, len(blocked))] {
		d.loggedAt, d.loggedPlaced = now, d.task.run != nil
		c.downtimes.budget.lines++
		if d.task.run != nil {
			c.logNotStarted(d.task.run, now)
			continue
		}
		c.logRejections(c.logs.lasting, d.task, now)
	}
}

// logsBlocked reports whether it's time to log what holds the task back.
func (d *downtime) logsBlocked(now cottonlanding.Millis) bool {
	sameReason := d.loggedPlaced == (d.task.run != nil)
	if d.isOver() || sameReason && d.loggedAt > 0 && now-d.loggedAt < waitLogInterval {
		return false
	}
	if r := d.task.run; r != nil {
		return now-r.placedAt >= waitLogDelay
	}
	return d.task.state == taskWaiting && now-d.task.waitingSince >= waitLogDelay
}

// logNotStarted logs what is known of a run that was placed and isn't known to go on.
func (c *Cell) logNotStarted(r *run, now cottonlanding.Millis) {
	w := r.worker
	c.logs.lasting.Info("placed task doesn't run", "Task", r.Task.String(), "Run", r.Number, "Worker", w.info.ID, "PlacedBefore", now-r.placedAt,
		"Phase", r.phase.String(), "SentBefore", elapsedSince(r.sentAt, now), "Copies", r.retriesSincePoll, "Ordered", r.orderInFlight, "Doubtful", r.startUnconfirmed,
		"Reason", r.stopReason, "StopTaken", r.lastStopAckAt > 0, "LastAnswer", elapsedSince(w.lastAnswerAt, now), "Silent", w.pollFailed,
		"Cordoned", w.cordoned(), "StartsHeld", c.startsHeld, "MayStart", r.task.job.mayStart(now))
}

// String returns the phase as the log shows it.
func (p phase) String() string {
	return [...]string{planned: "Planned", committed: "Cleared", sent: "Sent", started: "Started"}[p]
}
