package scheduler

import "github.com/cottonlanding/cottonlanding"

// Assigning ahead commits attempts of batch tasks to workers that have no room
// for them yet. An attempt that is committed may be started without the table,
// so that batch goes on while the table is out: a worker's own word that a run
// has ended is enough to start the next.

// Promote starts attempts that were assigned ahead and have room now. It is all
// that a cell does while its owner can't reach the table.
func (c *Cell) Promote(now cottonlanding.Millis) {
	pass := &placement{now: now, kept: c.keptWorkers()}
	for _, w := range c.sortedWorkers() {
		pass.workers = append(pass.workers, w)
		pass.views = append(pass.views, w.view())
	}
	c.promote(pass)
}

func (c *Cell) promote(pass *placement) {
	for i, w := range pass.workers {
		if pass.kept[w.info.ID] {
			continue // a pressing task waits for the room
		}
		for _, r := range w.sortedHolds() {
			h := w.holds[r]
			if h.ahead && h.resources.Fits(w.free()) {
				h.ahead = false
			}
		}
		pass.views[i] = w.view()
	}
}

func (w *worker) aheadCount() int {
	count := 0
	for _, h := range w.holds {
		if h.ahead {
			count++
		}
	}
	return count
}

func (c *Cell) hasAhead() bool {
	for _, w := range c.workers {
		if w.aheadCount() > 0 {
			return true
		}
	}
	return false
}

// assignAhead gives queued batch tasks to the workers with the fewest tasks
// waiting, up to the configured number on each.
func (c *Cell) assignAhead(pass *placement) {
	most := c.rules.Limits.AssignAhead
	if most == 0 {
		return
	}
	for _, view := range c.ready(pass.now)[batchPrecedence] {
		t := c.tasks[view.ID]
		at := c.leastAhead(pass, t, most)
		if at == cottonlanding.NoWorker || c.overQuota(pass, t) || pass.placed == maxPlacements {
			return
		}
		c.assign(pass, t, at)
		pass.workers[at].holds[run{t.ID, t.Attempt}].ahead = true
		pass.views[at] = pass.workers[at].view()
	}
}

func (c *Cell) leastAhead(pass *placement, t *task, most int) int {
	best, fewest := cottonlanding.NoWorker, most
	for i, w := range pass.workers {
		count := w.aheadCount()
		if count < fewest && c.takes(w, pass.now) && !w.probation && t.job.Spec.Resources.Fits(w.info.Capacity) {
			best, fewest = i, count
		}
	}
	return best
}

// spreadAhead takes waiting tasks back from workers without room once another
// has room: the queue is empty by then, or it would have taken that room.
func (c *Cell) spreadAhead(pass *placement) {
	if len(c.queue) > 0 {
		return
	}
	for _, w := range pass.workers {
		for _, r := range w.sortedHolds() {
			t := c.tasks[r.task]
			if !w.holds[r].ahead || t == nil || !t.startable(w.info.ID, r.attempt) {
				continue
			}
			if !c.roomElsewhere(pass, w, t) {
				return
			}
			delete(w.holds, r)
			c.requeue(t, pass.now, 0)
			c.placeTask(pass, t)
		}
	}
}

func (c *Cell) roomElsewhere(pass *placement, here *worker, t *task) bool {
	for _, w := range pass.workers {
		if w != here && c.takes(w, pass.now) && !pass.kept[w.info.ID] && t.job.Spec.Resources.Fits(w.free()) {
			return true
		}
	}
	return false
}
