package planner

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cottonlanding/cottonlanding"
)

// TaskRow is how a task is kept, for tests of the format.
type TaskRow = taskRow

// TaskAssigned is the state of a task that was placed.
const TaskAssigned = taskAssigned

// Fingerprint describes what the cell believes of its workers and tasks, without instants: two
// cells with the same one go on alike.
func (c *Cell) Fingerprint(now cottonlanding.Millis) string {
	var out strings.Builder
	for _, w := range c.sortedWorkers() {
		fmt.Fprintln(&out, w.info.ID, w.info.Born, w.born, w.listed, w.unsure, w.unanswered, w.failed, w.asked, w.noted, w.seen, w.forgotten,
			w.reading > 0, w.reachable(now), w.bound > now, w.nextLook > now, w.blockedUntil > now, w.health.suspectUntil > now)
		for _, r := range w.runs.all() {
			fmt.Fprintln(&out, r.RunKey, r.phase, r.born, r.ordered, r.doubtful, r.stopping, r.stopAcked > 0, r.ruledOutAt > 0, r.stopOrdered,
				r.nextTry > now, r.nextStop > now, r.ackedAt == now, r.task != nil)
		}
	}
	ids := make([]cottonlanding.WorkflowID, 0, len(c.jobs))
	for id := range c.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := c.jobs[id]
		j.eachTask(func(t *task) {
			fmt.Fprintln(&out, t.ref, j.state, j.shown, t.state, t.number, t.life, t.crashes, t.openLife, t.run != nil, t.checkpoint.text, t.resumeFrom.text)
		})
	}
	fmt.Fprintln(&out, len(c.dirty), c.superseded, len(c.ended))
	return out.String()
}

// Readings returns what the cell knows of the clock of each life that has answered.
func (c *Cell) Readings() map[cottonlanding.Life]cottonlanding.Reading {
	out := make(map[cottonlanding.Life]cottonlanding.Reading)
	for _, w := range c.sortedWorkers() {
		out[w.life()] = w.reading
	}
	return out
}

// Touch has the row of a workflow written with the next plan.
func (c *Cell) Touch(id cottonlanding.WorkflowID) {
	if j := c.jobs[id]; j != nil {
		c.touch(j)
	}
}

// RowBytes returns how many bytes the row of a workflow takes without texts, and what is counted for it.
func (c *Cell) RowBytes(id cottonlanding.WorkflowID) (bytes, counted int) {
	j := c.jobs[id]
	if j == nil {
		return 0, 0
	}
	row := j.row()
	row.leaveOut(math.MaxInt)
	all := j.size
	if row.Rounds.LeftOut == 0 {
		all.done += j.leftOut * tasksPerRound(j.Workflow)
	}
	return len(encode(row)), all.bytes()
}

// OpenLives counts the workers of which the cell waits for news.
func (c *Cell) OpenLives() int { return len(c.open) }

// DownFor returns how long a task hasn't been seen at work.
func (c *Cell) DownFor(ref cottonlanding.TaskRef, now cottonlanding.Millis) cottonlanding.Millis {
	return now - c.jobs[ref.Workflow].task(ref).downSince()
}
