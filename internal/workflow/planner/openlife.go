package planner

import (
	"maps"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// When a lease expires it is unknown whether the worker crashed under the task or is only unreachable. Such a life is
// open: whichever owner hears of the worker next learns the outcome. An answer of the same life says that the life
// went on after the loss, another life in its place that it ended. Until then the loss isn't counted.

// openLives holds the open lives of one worker.
type openLives struct {
	tasks []*task
	// address is the worker's, if known: another worker at that address shows that the life has ended.
	address cottonlanding.Address
}

// recordOpenLife records that a lease expired under a task that may just have begun there. Of several such lives the
// last one is kept, and none if the row has no space for it.
func (c *Cell) recordOpenLife(t *task, life cottonlanding.Life) {
	bytes := openLifeBytes(life) - openLifeBytes(t.openLife)
	if t.job.size.bytes()+bytes > maxRoundsBytes {
		c.log.Warn("open life not kept", "Task", t.ref.String(), "Life", life.String(), "RowBytes", t.job.size.bytes())
		return
	}
	t.setOpenLife(life)
	c.watchOpenLife(t)
	c.markDirty(t.job)
}

// watchOpenLife has the task's open life resolved when its worker is heard of.
func (c *Cell) watchOpenLife(t *task) {
	id := t.openLife.Worker
	lives := c.openLivesByWorker[id]
	if lives == nil {
		lives = new(openLives)
		c.openLivesByWorker[id] = lives
	}
	lives.tasks = append(lives.tasks, t)
	if w := c.workers[id]; w != nil && w.info.Address != "" {
		lives.address = w.info.Address
	}
}

// openLifeBytes returns the maximum size of an open life in a row, in bytes.
func openLifeBytes(life cottonlanding.Life) int {
	if life.Worker == "" {
		return 0
	}
	return len(`,null,""`) + encodedBytes(life.String())
}

// setOpenLife sets the task's open life; the zero value is none.
func (t *task) setOpenLife(life cottonlanding.Life) {
	t.job.size.open += openLifeBytes(life) - openLifeBytes(t.openLife)
	t.openLife = life
}

// dropOpenLives frees the space of open lives in the job's row for required data.
func (j *job) dropOpenLives() {
	if j.size.open > 0 {
		j.eachTask(func(t *task) { t.setOpenLife(cottonlanding.Life{}) })
	}
}

// resolveOnAnswer resolves the open lives of a worker that answers.
func (c *Cell) resolveOnAnswer(w *worker, now cottonlanding.Millis) {
	c.resolveOpenLives(w.info.ID, func(life cottonlanding.Life) bool { return life.Born.DiffersFrom(w.born) }, now)
}

// pruneOpenLives resolves open lives whose outcome can't become known any more and forgets those that no task waits
// for, because a worker that is gone for good never answers.
func (c *Cell) pruneOpenLives(now cottonlanding.Millis) {
	for _, id := range slices.Sorted(maps.Keys(c.openLivesByWorker)) {
		lives := c.openLivesByWorker[id]
		if lives.address == "" && c.listRead && c.workers[id] == nil {
			c.resolveOpenLives(id, assumeEnded, now) // its entry was removed before this owner took over
			continue
		}
		lives.tasks = slices.DeleteFunc(lives.tasks, func(t *task) bool { return t.openLife.Worker != id || t.job.state.Final() })
		if len(lives.tasks) == 0 {
			delete(c.openLivesByWorker, id)
		}
	}
}

// assumeEnded is the predicate for lives of which no trace remains.
func assumeEnded(cottonlanding.Life) bool { return true }

// resolveOpenLives resolves the open lives of a worker; ended reports which of them have ended.
func (c *Cell) resolveOpenLives(id cottonlanding.WorkerID, ended func(cottonlanding.Life) bool, now cottonlanding.Millis) {
	lives := c.openLivesByWorker[id]
	if lives == nil {
		return
	}
	delete(c.openLivesByWorker, id)
	var faultyTasks []*task
	for _, t := range lives.tasks {
		if t.openLife.Worker != id || t.job.state.Final() {
			continue
		}
		loss := cottonlanding.RunLoss{LifeEnded: ended(t.openLife), Recent: true}
		if loss.Finding() > cottonlanding.NoProof {
			t.crashes.Losses++
		}
		c.log.Info("silence settled", "Task", t.ref.String(), "Life", t.openLife.String(), "Ended", loss.LifeEnded,
			"Losses", t.crashes.Losses, "Crashes", t.crashes.Crashes)
		t.setOpenLife(cottonlanding.Life{})
		c.markDirty(t.job)
		if t.crashes.Losses >= maxLosses {
			faultyTasks = append(faultyTasks, t)
		}
	}
	c.failFaultyWorkflows(faultyTasks, now)
}
