package planner

import (
	"maps"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A lease that runs out leaves open whether the worker has crashed under the task or goes on behind a cut. What is
// heard next tells, to whichever owner: an answer of the same life says that it has outlived the task, another life in
// its place that it has ended. Until then nothing counts.

// openLives are the lives of one worker that tasks have left open.
type openLives struct {
	tasks []*task
	// address is the worker's, if it is known: another worker there says that the life has ended.
	address cottonlanding.Address
}

// recordOpenLife notes that a lease has run out under a task that may just have begun there. Of several
// such lives the last is kept; none is where the row has no room for it.
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

// watchOpenLife has the task's open life settled by what is heard of its worker.
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

// openLifeBytes returns what an open life takes in a row at most.
func openLifeBytes(life cottonlanding.Life) int {
	if life.Worker == "" {
		return 0
	}
	return len(`,null,""`) + encodedBytes(life.String())
}

// setOpenLife notes which life is open; the zero value is none.
func (t *task) setOpenLife(life cottonlanding.Life) {
	t.job.size.open += openLifeBytes(life) - openLifeBytes(t.openLife)
	t.openLife = life
}

// dropOpenLives makes room in the job's row for what must be in it.
func (j *job) dropOpenLives() {
	if j.size.open > 0 {
		j.eachTask(func(t *task) { t.setOpenLife(cottonlanding.Life{}) })
	}
}

// resolveOnAnswer settles the open lives of a worker that answers.
func (c *Cell) resolveOnAnswer(w *worker, now cottonlanding.Millis) {
	c.resolveOpenLives(w.info.ID, func(life cottonlanding.Life) bool { return life.Born.IsOtherThan(w.born) }, now)
}

// pruneOpenLives settles what nothing can tell any more, and forgets what nobody waits for: a worker that is gone for good
// is never heard.
func (c *Cell) pruneOpenLives(now cottonlanding.Millis) {
	for _, id := range slices.Sorted(maps.Keys(c.openLivesByWorker)) {
		lives := c.openLivesByWorker[id]
		if lives.address == "" && c.listRead && c.workers[id] == nil {
			c.resolveOpenLives(id, assumeEnded, now) // its entry was gone before this owner came
			continue
		}
		lives.tasks = slices.DeleteFunc(lives.tasks, func(t *task) bool { return t.openLife.Worker != id || t.job.state.Final() })
		if len(lives.tasks) == 0 {
			delete(c.openLivesByWorker, id)
		}
	}
}

// assumeEnded is for lives of which nothing is left.
func assumeEnded(cottonlanding.Life) bool { return true }

// resolveOpenLives settles the open lives of a worker by which of them have ended.
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
