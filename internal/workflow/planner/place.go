package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// servingShare is the part of its processors that a serving task is expected
	// to use before its load was seen.
	servingShare = 0.6
	// leastFillShare is the part of its processors that a filling task must be
	// expected to get for it to be placed: one after the other are done sooner than
	// all at half their speed.
	leastFillShare = 0.8
	// starvedAfter is how long a workflow of filling tasks may have nothing running
	// while there is room: it must not come to three seconds.
	starvedAfter = 1500 * cottonlanding.Millis(1)
	// noRoomPause is the pause between two attempts to make room for a step.
	noRoomPause = 100 * cottonlanding.Millis(1)
	// maxPlacements bounds the decisions of one call, so that their commit stays small.
	maxPlacements = 400
)

// Decide takes in that time has passed: it gives up what surely ended, begins
// rounds that are due, and places tasks. wall is the time of day in milliseconds
// since 1970.
func (c *Cell) Decide(now cottonlanding.Millis, wall int64) {
	c.lapse(now)
	c.recordSilences(now)
	c.dropUnsent(now)
	c.leaveDraining(now)
	c.leaveUnheard(now)
	c.beginRounds(now, wall)
	c.place(now)
	c.returnGuests(now)
	c.prune(now)
	c.logDowntimes()
	c.logMissed(now)
	c.logSummary(now)
}

// beginRounds makes the rounds of schedules whose time has come. One for which the row has no
// room waits until earlier ones are finished.
func (c *Cell) beginRounds(now cottonlanding.Millis, wall int64) {
	for _, j := range c.openJobs {
		for next := len(j.rounds); next < j.Schedule.Rounds; next++ {
			due := j.Schedule.First + int64(next)*int64(j.Schedule.Interval)
			if wall < due || !j.hasRoomForRound() {
				break
			}
			j.addRound(next, now)
			c.markDirty(j)
			c.log.Info("round begun", "Workflow", j.ID, "Round", next, "Due", due, "TimeOfDay", wall)
		}
	}
}

// leaveDraining stops lasting and checkpointing runs on workers that will end, so
// that they go on elsewhere.
func (c *Cell) leaveDraining(now cottonlanding.Millis) {
	for _, w := range c.sortedWorkers() {
		if !w.leaving() || !w.listed {
			continue
		}
		for _, r := range w.runs.all() {
			if r.task != nil && !r.stopping && (r.step.Lasting || r.step.Checkpoints) {
				c.stop(r, "its worker is leaving", now)
			}
		}
	}
}

// place gives waiting tasks to workers, urgent queues first.
func (c *Cell) place(now cottonlanding.Millis) {
	placed := 0
	var misses missList
	c.reckonDues(now)
	for _, s := range c.waitingStages(now) {
		if placed >= maxPlacements {
			return
		}
		if s.Gang {
			placed += c.placeGang(s, now)
			continue
		}
		placed += c.placeStage(s, maxPlacements-placed, &misses, now)
	}
}

// placeStage gives the waiting tasks of a step to workers, up to a number of them, and
// returns how many.
func (c *Cell) placeStage(s *stage, most int, misses *missList, now cottonlanding.Millis) int {
	defer c.logPlaced()
	placed := 0
	for _, t := range s.inTurn(now) {
		if placed >= most {
			return placed
		}
		if t.state != taskWaiting {
			continue
		}
		w := c.pickUnlessMissed(t, misses, now)
		if w == nil && !t.mustRunAgain(now) && (c.apart(t, now) || c.yieldsInStep(t)) {
			continue // there may be room beside others, or for others
		}
		if w == nil {
			c.noRoom(t, now)
			return placed // the others of the step need the same
		}
		if !t.job.hasRoomForLives(lifeBytes(w.life())) {
			c.logRowFull(t, now)
			return placed
		}
		c.assign(t, w, t.number+1, now)
		placed++
	}
	return placed
}

// inTurn returns the tasks of a step in the order in which they are placed.
func (s *stage) inTurn(now cottonlanding.Millis) []*task {
	if !s.Lasting {
		return s.tasks
	}
	tasks := slices.Clone(s.tasks)
	slices.SortStableFunc(tasks, func(a, b *task) int { return compareTurns(a, b, now) })
	return tasks
}

// pickUnlessMissed returns the worker for a task, without looking when a task
// that needs no more found none in this pass.
func (c *Cell) pickUnlessMissed(t *task, misses *missList, now cottonlanding.Millis) *worker {
	if !misses.cover(t) {
		if w := c.pick(t, now); w != nil {
			return w
		}
		if !c.apart(t, now) {
			misses.add(t)
		}
	}
	return c.pickStarved(t, now)
}

// noRoom looks for what can be done for a task that found no worker, from time
// to time: the workers change little in between.
func (c *Cell) noRoom(t *task, now cottonlanding.Millis) {
	if now < t.stage.nextRoomTry {
		return
	}
	t.stage.nextRoomTry = now + noRoomPause
	if !t.job.hasRoomForLives(widestLife) {
		c.logRowFull(t, now)
		return // nothing is to give way for a task that may not be placed
	}
	c.makeRoom(t, now)
	c.keepRooms(t, now)
	c.logWaiting(t, now)
}

// assign plans a run; it is sent once the plan is committed.
func (c *Cell) assign(t *task, w *worker, number cottonlanding.RunNumber, now cottonlanding.Millis) {
	t.state, t.number = taskAssigned, number
	t.setLife(w.life())
	t.preemptionUntil = 0
	t.fixCheckpoint()
	key := cottonlanding.RunKey{Task: t.ref, Number: number}
	t.run = &run{RunKey: key, task: t, worker: w, life: w, born: t.life.Born, step: t.stage.Step, pace: fullPace, paceGoal: fullPace, placedAt: now, moved: now}
	w.addRun(t.run)
	t.job.placed = true
	if t.job.state == cottonlanding.WorkflowPending {
		t.job.state = cottonlanding.WorkflowRunning
	}
	c.markDirty(t.job)
	c.reserved.recordTaken(t)
	c.recordBegun(t, w, now)
	c.logBatch.recordPlaced(t, w, now)
}

// preference orders the workers that fit a task; lower ones are asked first.
type preference int

const (
	// nearData workers are on the rack of the task's data.
	nearData preference = iota
	// companion workers have serving tasks that go well with the task.
	companion
	// unshared workers have no serving tasks.
	unshared
	// ordinary workers are all other sound ones.
	ordinary
	// doubtful workers failed lately, are slow, failed this task, or are kept for a run that runs apart; for lasting
	// tasks also those of which it would be known late that they have ended.
	doubtful
	preferences
)

// prefer returns how well a worker suits a task. Serving tasks go beside others of
// their image, so that the filling tasks that this image bears well find workers
// on which nothing else serves. Filling tasks go where they disturb nobody, beside
// serving tasks first, to leave the other workers to those that disturb.
func (c *Cell) prefer(t *task, w *worker, now cottonlanding.Millis) preference {
	room := c.room(w, now)
	serves := t.stage.Serves()
	switch {
	case w.health.doubtful(now) || w.runsApart(now) || len(t.failedOn) > 0 && slices.Contains(t.failedOn, w.life()):
		return doubtful
	case t.stage.Lasting && c.mayOutlast(w, now):
		return doubtful
	case c.policy.Blame.Isolates(t.crashes) && (w.lastingRuns() || !w.steady(now)):
		return doubtful
	case t.stage.DataRack != "" && w.info.Rack == t.stage.DataRack:
		return nearData
	case t.stage.Fills && c.withinInterferenceBudget(w, t.stage.Step, now), serves && room.serves(t.stage.Image):
		return companion
	case (t.stage.Fills || serves) && len(room.slacks) == 0:
		return unshared
	}
	return ordinary
}

// pick returns the worker for a task, or nil if none has room.
func (c *Cell) pick(t *task, now cottonlanding.Millis) *worker {
	var fitting [preferences][]*worker
	for _, w := range c.sortedWorkers() {
		if c.fits(t, w, now) {
			at := c.prefer(t, w, now)
			fitting[at] = append(fitting[at], w)
		}
	}
	for at, candidates := range fitting {
		if preference(at) == ordinary && t.stage.Serves() {
			candidates = c.narrow(t, candidates, now)
		}
		if w := c.ask(t, c.together(t, candidates, now), now); w != nil {
			return w
		}
	}
	return nil
}

// fits reports whether a worker may run a task and has room for it now.
func (c *Cell) fits(t *task, w *worker, now cottonlanding.Millis) bool {
	return c.gate(t, w, now) == noGate
}

// allowed reports whether a worker may run a task, if it had room.
func (c *Cell) allowed(t *task, w *worker, now cottonlanding.Millis) bool {
	return w.usable(now) && w.suits(t) && !w.boundReached(t)
}

// countOf counts the runs of a task's step and round.
func (w *worker) countOf(ref cottonlanding.TaskRef) int {
	count := 0
	for _, r := range w.runs.all() {
		key := r.RunKey
		if key.Task.Workflow == ref.Workflow && key.Task.Round == ref.Round && key.Task.Step == ref.Step {
			count++
		}
	}
	return count
}

// spare returns the processors that are expected to be left by all runs. Filling
// tasks count as if they worked at full pace, also while they stand still: they go
// on when the load falls, and tasks placed over them would make all of them late.
func (w *worker) spare() cottonlanding.Millicores {
	spare := float64(w.info.Capacity.CPU)
	for _, r := range w.runs.all() {
		cpu := float64(r.step.Resources.CPU)
		if r.step.Serves() {
			cpu *= r.servingUse()
		}
		spare -= cpu
	}
	return cottonlanding.Millicores(spare)
}

// servingUse returns the part of its processors that a serving task is expected to
// use: as much as it is busy.
func (r *run) servingUse() float64 {
	if r.task == nil || !r.task.stage.load.known() {
		return servingShare
	}
	return r.task.stage.load.value
}

// ask lets the policy choose. Filling tasks see what is expected to be left of a
// worker, all others its unreserved room.
func (c *Cell) ask(t *task, candidates []*worker, now cottonlanding.Millis) *worker {
	if len(candidates) == 0 {
		return nil
	}
	views := make([]cottonlanding.WorkerView, len(candidates))
	for i, w := range candidates {
		views[i] = cottonlanding.WorkerView{ID: w.info.ID, Rack: w.info.Rack, Capacity: w.info.Capacity, Free: c.room(w, now).free, Tasks: w.runs.size()}
		if t.stage.Fills {
			views[i].Free.CPU = c.fillRoom(w, t.stage.Step, now)
		}
	}
	view := cottonlanding.TaskView{
		ID:        cottonlanding.TaskID{Job: cottonlanding.JobName(t.ref.Workflow), Index: t.ref.Index},
		Resources: t.stage.Resources,
		Queued:    t.waitingSince,
	}
	at := c.policy.placement(kindOf(t.stage.Step)).Place(view, views)
	if at < 0 || at >= len(candidates) {
		return nil
	}
	return candidates[at]
}

// fillRoom returns the processors that a filling task may expect on a worker, less
// the fewer the more it would have to be slowed there.
func (c *Cell) fillRoom(w *worker, step cottonlanding.Step, now cottonlanding.Millis) cottonlanding.Millicores {
	return cottonlanding.Millicores(float64(c.room(w, now).spare) * c.bearable(w, step, now))
}

// pickStarved returns a worker for a filling task of a workflow that has had
// nothing running for a while: the one that bears it best. It is slowed there as
// far as the serving tasks need it.
func (c *Cell) pickStarved(t *task, now cottonlanding.Millis) *worker {
	if !t.stage.Fills || now-t.waitingSince < starvedAfter || now < t.stage.nextRoomTry || t.job.anyRun() {
		return nil
	}
	var best *worker
	most := -1.0
	for _, w := range c.sortedWorkers() {
		if !t.stage.Reserved().Fits(c.room(w, now).free) || !c.allowed(t, w, now) || c.keptApart(t, w, now) {
			continue
		}
		if part := c.bearable(w, t.stage.Step, now); part > most {
			best, most = w, part
		}
	}
	return best
}
