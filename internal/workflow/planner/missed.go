package planner

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// missedPerSecond bounds the lines that tell what holds back lasting tasks that don't run: each costs a look at all
// workers.
const missedPerSecond = 25

// missedBudget counts the lines of the present second.
type missedBudget struct {
	began cottonlanding.Millis
	lines int
}

// left returns how many lines may still be written in this second.
func (b *missedBudget) left(now cottonlanding.Millis) int {
	if now-b.began >= cottonlanding.Second {
		b.began, b.lines = now, 0
	}
	return missedPerSecond - b.lines
}

// logMissed logs what holds back each lasting task that was placed before and doesn't run, those first that were
// told longest ago.
func (c *Cell) logMissed(now cottonlanding.Millis) {
	left := c.downtimes.budget.left(now)
	if left <= 0 || len(c.downtimes.open) == 0 {
		return
	}
	var due []*downtime
	for _, d := range c.downtimes.open {
		if d.tells(now) {
			due = append(due, d)
		}
	}
	slices.SortStableFunc(due, func(a, b *downtime) int { return cmp.Compare(a.toldAt, b.toldAt) })
	for _, d := range due[:min(left, len(due))] {
		d.toldAt, d.toldPlaced = now, d.task.run != nil
		c.downtimes.budget.lines++
		if d.task.run != nil {
			c.logNotStarted(d.task.run, now)
			continue
		}
		c.logGates(c.logs.lasting, d.task, now)
	}
}

// tells reports whether it's time to log what holds the task back.
func (d *downtime) tells(now cottonlanding.Millis) bool {
	sameReason := d.toldPlaced == (d.task.run != nil)
	if d.over() || sameReason && d.toldAt > 0 && now-d.toldAt < logWaitingEvery {
		return false
	}
	if r := d.task.run; r != nil {
		return now-r.placedAt >= logWaitingAfter
	}
	return d.task.state == taskWaiting && now-d.task.waitingSince >= logWaitingAfter
}

// logNotStarted logs what is known of a run that was placed and isn't known to go on.
func (c *Cell) logNotStarted(r *run, now cottonlanding.Millis) {
	w := r.worker
	c.logs.lasting.Info("placed task doesn't run", "Task", r.Task.String(), "Run", r.Number, "Worker", w.info.ID, "PlacedBefore", now-r.placedAt,
		"Phase", r.phase.String(), "SentBefore", spanSince(r.sentAt, now), "Copies", r.unseenCopies, "Ordered", r.ordered, "Doubtful", r.doubtful,
		"Reason", r.stopReason, "StopTaken", r.stopAcked > 0, "LastAnswer", spanSince(w.answered, now), "Silent", w.failed,
		"Cordoned", w.cordoned(), "StartsHeld", c.startsHeld, "MayStart", r.task.job.mayStart(now))
}

// String returns the phase as the log shows it.
func (p phase) String() string {
	return [...]string{planned: "Planned", cleared: "Cleared", sent: "Sent", started: "Started"}[p]
}
