package planner

import (
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// downtimeLog is what is logged about a period in which a lasting task that was placed before is not known to run.
// Decisions use task.downSince instead.
type downtimeLog struct {
	task *task
	// number is that of the run at whose end the downtime began.
	number cottonlanding.RunNumber
	// ranAt is when the task was last known to run, zero if this owner never knew. since is when this owner learned
	// that it does not run.
	ranAt, since cottonlanding.Millis
	// logged says that the beginning was logged, which waits until the task may have run and is known to run no
	// longer.
	logged bool
	// loggedAt is when it was last logged what blocks the task, loggedPlaced whether it had a worker then.
	loggedAt     cottonlanding.Millis
	loggedPlaced bool
}

// downtimeLogs holds the open downtimes of a cell, and the beginnings and ends that are still to be logged.
type downtimeLogs struct {
	open   []*downtimeLog
	downs  []downLine
	starts []downLine
	budget blockedLogBudget
}

// unknownDuration is logged for a duration whose beginning this owner does not know.
const unknownDuration cottonlanding.Millis = -1

// logLocation is where a lasting task ran or runs, as key and value of a log line.
type logLocation struct{ key, value string }

func onWorker(w *worker) logLocation { return logLocation{"Worker", string(w.info.ID)} }

func inCell(key string, cell cottonlanding.CellNumber) logLocation {
	return logLocation{key, cell.String()}
}

// downLine is the beginning or end of a downtime that is to be logged.
type downLine struct {
	at     logLocation
	task   *task
	number cottonlanding.RunNumber
	fields []logField
}

// logField is a key of a log line with its value.
type logField struct {
	key   string
	value any
}

// elapsedSince returns how long ago an instant was, unknownDuration for zero.
func elapsedSince(at, now cottonlanding.Millis) cottonlanding.Millis {
	if at == 0 {
		return unknownDuration
	}
	return now - at
}

// lastConfirmedAt returns when the run was last known to be running, zero if it never was.
func (r *run) lastConfirmedAt() cottonlanding.Millis { return max(r.listedAt, r.ackedAt) }

// mayHaveRun reports whether the run may have begun on its worker.
func (r *run) mayHaveRun() bool { return r.lastConfirmedAt() > 0 || r.startUnconfirmed }

// beginDowntimeAfterRun begins the downtime of a lasting task whose run does not go on, unless it has begun. It is
// called before the run is detached from its task.
func (c *Cell) beginDowntimeAfterRun(r *run, cause string, now cottonlanding.Millis) {
	t := r.task
	if t == nil || t.run != r || !t.stage.Lasting || t.job.state.Final() {
		return
	}
	if t.downtimeLog == nil {
		c.beginDowntime(t, r.lastConfirmedAt(), now)
	}
	if r.mayHaveRun() {
		c.queueDownLine(t, onWorker(r.worker), cause, r.stopReason, now)
	}
}

// endCause returns why a run does not go on although no worker lists it as ended.
func (r *run) endCause() string {
	switch {
	case r.stopping:
		return "Stopped"
	case r.phase == started:
		return "Gone"
	}
	return "NotStarted"
}

// beginLoadedDowntime begins the downtime of a lasting task that a new owner has loaded. For a task that was placed,
// nothing is logged until it is known what became of its run.
func (c *Cell) beginLoadedDowntime(t *task, now cottonlanding.Millis) {
	if !t.stage.Lasting || t.number == 0 || t.job.state.Final() || t.state != taskWaiting && t.state != taskAssigned {
		return
	}
	c.beginDowntime(t, 0, now)
	if t.state == taskWaiting {
		c.queueDownLine(t, logLocation{"Worker", ""}, "Loaded", "", now)
	}
}

// beginDelegatedDowntime begins the downtime of a task that this cell runs for its delegator.
func (c *Cell) beginDelegatedDowntime(t *task, now cottonlanding.Millis) {
	if t.stage.Lasting && t.number > 0 {
		c.beginDowntime(t, 0, now)
		c.queueDownLine(t, inCell("Keeper", *t.job.delegatedBy), "Delegated", "", now)
	}
}

// beginReturnedDowntime begins the downtime of a task that the cell to which it was delegated has returned. It counts
// from when the task waits.
func (c *Cell) beginReturnedDowntime(t *task, from cottonlanding.CellNumber, now cottonlanding.Millis) {
	if t.downtimeLog == nil {
		c.beginDowntime(t, t.waitingSince, now)
		c.queueDownLine(t, inCell("GuestCell", from), "Returned", "", now)
	}
}

func (c *Cell) beginDowntime(t *task, ranAt, now cottonlanding.Millis) {
	t.downtimeLog = &downtimeLog{task: t, number: t.number, ranAt: ranAt, since: now}
	c.downtimeLogs.open = append(c.downtimeLogs.open, t.downtimeLog)
}

// queueDownLine queues the log line on the beginning of a downtime, once per downtime.
func (c *Cell) queueDownLine(t *task, at logLocation, cause, reason string, now cottonlanding.Millis) {
	d := t.downtimeLog
	if d.logged {
		return
	}
	d.logged = true
	fields := []logField{{"Cause", cause}, {"Since", elapsedSince(d.ranAt, now)}}
	if reason != "" {
		fields = append(fields, logField{"Reason", reason})
	}
	c.downtimeLogs.downs = append(c.downtimeLogs.downs, downLine{at, t, t.number, fields})
}

// endDowntimeOf ends the downtime of the task of a run that is known to be running.
func (c *Cell) endDowntimeOf(r *run, now cottonlanding.Millis) {
	t := r.task
	if t == nil || t.downtimeLog == nil || t.run != r {
		return
	}
	waited := max(0, r.placedAt-t.downtimeLog.since)
	c.endDowntime(t, downLine{at: onWorker(r.worker), task: t, number: r.Number}, waited, now-r.placedAt, now)
}

// endDowntimeElsewhere ends the downtime of a delegated task of which a run is running in its delegate cell.
func (c *Cell) endDowntimeElsewhere(
	t *task, number cottonlanding.RunNumber, cell cottonlanding.CellNumber, now cottonlanding.Millis,
) {
	if t.downtimeLog != nil {
		c.endDowntime(t, downLine{at: inCell("GuestCell", cell), task: t, number: number},
			unknownDuration, unknownDuration, now)
	}
}

func (c *Cell) endDowntime(t *task, line downLine, waited, starting, now cottonlanding.Millis) {
	d := t.downtimeLog
	t.downtimeLog = nil
	if !d.logged {
		return
	}
	line.fields = []logField{{"DownFor", elapsedSince(d.ranAt, now)}, {"KnownFor", now - d.since},
		{"WaitedForPlace", waited}, {"PlacedToStarted", starting}, {"Placements", int(line.number - d.number)}}
	c.downtimeLogs.starts = append(c.downtimeLogs.starts, line)
}

// isOver reports whether nothing more is to be logged here about a downtime.
func (d *downtimeLog) isOver() bool {
	t := d.task
	return t.downtimeLog != d || t.job.state.Final() || t.state == taskDone || t.state == taskNotHeld
}

// logDowntimes logs which lasting tasks went down and which run again, a line for each location.
func (c *Cell) logDowntimes() {
	c.logDownLines("lasting task down", "lasting tasks down", c.downtimeLogs.downs)
	c.logDownLines("lasting task runs again", "lasting tasks run again", c.downtimeLogs.starts)
	c.downtimeLogs.downs, c.downtimeLogs.starts = nil, nil
	c.downtimeLogs.open = slices.DeleteFunc(c.downtimeLogs.open, (*downtimeLog).isOver)
}

// maxTasksPerLine bounds the tasks that one line lists.
const maxTasksPerLine = 50

// logDownLines logs one line for each location, which lists its tasks if there are several.
func (c *Cell) logDownLines(one, several string, lines []downLine) {
	lines = slices.DeleteFunc(lines, func(l downLine) bool { return l.task.job.state.Final() })
	byPlace := make(map[logLocation][]downLine)
	var places []logLocation
	for _, line := range lines {
		if byPlace[line.at] == nil {
			places = append(places, line.at)
		}
		byPlace[line.at] = append(byPlace[line.at], line)
	}
	for _, at := range places {
		for some := range slices.Chunk(byPlace[at], maxTasksPerLine) {
			c.logDownLine(one, several, some)
		}
	}
}

func (c *Cell) logDownLine(one, several string, lines []downLine) {
	at := lines[0].at
	if len(lines) > 1 {
		tasks := make([]string, 0, len(lines))
		for _, line := range lines {
			tasks = append(tasks, line.String())
		}
		c.logs.lasting.Info(several, at.key, at.value, "Tasks", tasks, "Epoch", c.setup.Epoch)
		return
	}
	line := lines[0]
	values := []any{"Task", line.task.ref.String(), "Run", line.number, at.key, at.value}
	for _, field := range line.fields {
		values = append(values, field.key, field.value)
	}
	c.logs.lasting.Info(one, append(values, "Epoch", c.setup.Epoch)...)
}

// String returns the entry of the line in a list: task#run and its fields.
func (l downLine) String() string {
	out := fmt.Sprintf("%s#%d", l.task.ref, l.number)
	for _, field := range l.fields {
		out += fmt.Sprintf(" %s=%v", field.key, field.value)
	}
	return out
}
