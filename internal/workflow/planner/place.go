package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// defaultServingUse is the part of its processors that a serving task is expected
	// to use before its load was seen.
	defaultServingUse = 0.6
	// minFillingShare is the part of its processors that a filling task must be
	// expected to get for it to be placed: one after the other are done sooner than
	// all at half their speed.
	minFillingShare = 0.8
	// starvationTimeout is how long a workflow of filling tasks may have nothing running
	// while there is room: it must not come to three seconds.
	starvationTimeout = 1500 * cottonlanding.Millis(1)
	// makeRoomRetryInterval is the pause between two attempts to make room for a step.
	makeRoomRetryInterval = 100 * cottonlanding.Millis(1)
	// maxPlacements bounds the decisions of one call, so that their commit stays small.
	maxPlacements = 400
)

// Decide takes in that time has passed: it gives up what surely ended, begins
// rounds that are due, and places tasks. wall is the time of day in milliseconds
// since 1970.
func (c *Cell) Decide(now cottonlanding.Millis, wall int64) {
	c.lapse(now)
	c.updateSilentDataCentres(now)
	c.dropUnsent(now)
	c.stopOnLeavingWorkers(now)
	c.abandonOverdueStarts(now)
	c.beginRounds(now, wall)
	c.place(now)
	c.returnDelegatedTasks(now)
	c.prune(now)
	c.logDowntimes()
	c.logBlocked(now)
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

// stopOnLeavingWorkers stops lasting and checkpointing runs on workers that will end, so
// that they go on elsewhere.
func (c *Cell) stopOnLeavingWorkers(now cottonlanding.Millis) {
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
	var failures placementFailures
	c.computeReservations(now)
	for _, s := range c.waitingStages(now) {
		if placed >= maxPlacements {
			return
		}
		if s.Gang {
			placed += c.placeGang(s, now)
			continue
		}
		placed += c.placeStage(s, maxPlacements-placed, &failures, now)
	}
}

// placeStage gives the waiting tasks of a step to workers, up to a number of them, and
// returns how many.
func (c *Cell) placeStage(s *stage, limit int, failures *placementFailures, now cottonlanding.Millis) int {
	defer c.logPlaced()
	placed := 0
	for _, t := range s.placementOrder(now) {
		if placed >= limit {
			return placed
		}
		if t.state != taskWaiting {
			continue
		}
		w := c.pickUnlessRuledOut(t, failures, now)
		if w == nil && !t.mustRunAgain(now) && (c.needsIsolation(t, now) || c.yieldsWithinStep(t)) {
			continue // there may be room beside others, or for others
		}
		if w == nil {
			c.handleNoRoom(t, now)
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

// placementOrder returns the tasks of a step in the order in which they are placed.
func (s *stage) placementOrder(now cottonlanding.Millis) []*task {
	if !s.Lasting {
		return s.tasks
	}
	tasks := slices.Clone(s.tasks)
	slices.SortStableFunc(tasks, func(a, b *task) int { return comparePrecedence(a, b, now) })
	return tasks
}

// pickUnlessRuledOut returns the worker for a task, without looking when a task
// that needs no more found none in this pass.
func (c *Cell) pickUnlessRuledOut(t *task, failures *placementFailures, now cottonlanding.Millis) *worker {
	if !failures.ruleOut(t) {
		if w := c.pick(t, now); w != nil {
			return w
		}
		if !c.needsIsolation(t, now) {
			failures.add(t)
		}
	}
	return c.pickStarved(t, now)
}

// handleNoRoom looks for what can be done for a task that found no worker, from time
// to time: the workers change little in between.
func (c *Cell) handleNoRoom(t *task, now cottonlanding.Millis) {
	if now < t.stage.nextRoomTry {
		return
	}
	t.stage.nextRoomTry = now + makeRoomRetryInterval
	if !t.job.hasRoomForLives(maxLifeBytes) {
		c.logRowFull(t, now)
		return // nothing is to give way for a task that may not be placed
	}
	c.preemptFor(t, now)
	c.holdWorkers(t, now)
	c.logWaiting(t, now)
}

// assign plans a run; it is sent once the plan is committed.
func (c *Cell) assign(t *task, w *worker, number cottonlanding.RunNumber, now cottonlanding.Millis) {
	t.state, t.number = taskAssigned, number
	t.setLife(w.life())
	t.preemptionUntil = 0
	t.pinCheckpoint()
	key := cottonlanding.RunKey{Task: t.ref, Number: number}
	t.run = &run{RunKey: key, task: t, worker: w, life: w, born: t.life.Born, step: t.stage.Step, pace: fullPace, paceGoal: fullPace, placedAt: now, progressedAt: now}
	w.addRun(t.run)
	t.job.placed = true
	if t.job.state == cottonlanding.WorkflowPending {
		t.job.state = cottonlanding.WorkflowRunning
	}
	c.markDirty(t.job)
	c.reserved.deduct(t)
	c.recordAssignment(t, w, now)
	c.logBatch.recordPlaced(t, w, now)
}

// preference orders the workers that fit a task; lower ones are asked first.
type preference int

const (
	// onDataRack workers are on the rack of the task's data.
	onDataRack preference = iota
	// compatible workers have serving tasks that go well with the task.
	compatible
	// withoutServing workers have no serving tasks.
	withoutServing
	// ordinary workers are all other sound ones.
	ordinary
	// shouldAvoid workers failed lately, are slow, failed this task, or are kept for a run that runs apart; for lasting
	// tasks also those of which it would be known late that they have ended.
	shouldAvoid
	preferences
)

// preferenceFor returns how well a worker suits a task. Serving tasks go beside others of
// their image, so that the filling tasks that this image bears well find workers
// on which nothing else serves. Filling tasks go where they disturb nobody, beside
// serving tasks first, to leave the other workers to those that disturb.
func (c *Cell) preferenceFor(t *task, w *worker, now cottonlanding.Millis) preference {
	room := c.room(w, now)
	serves := t.stage.Serves()
	switch {
	case w.health.shouldAvoid(now) || w.isIsolated(now) || len(t.failedOn) > 0 && slices.Contains(t.failedOn, w.life()):
		return shouldAvoid
	case t.stage.Lasting && c.mayOutlast(w, now):
		return shouldAvoid
	case c.policy.Blame.Isolates(t.crashes) && (w.hasLastingRuns() || !w.isStable(now)):
		return shouldAvoid
	case t.stage.DataRack != "" && w.info.Rack == t.stage.DataRack:
		return onDataRack
	case t.stage.Fills && c.withinInterferenceBudget(w, t.stage.Step, now), serves && room.serves(t.stage.Image):
		return compatible
	case (t.stage.Fills || serves) && len(room.slacks) == 0:
		return withoutServing
	}
	return ordinary
}

// pick returns the worker for a task, or nil if none has room.
func (c *Cell) pick(t *task, now cottonlanding.Millis) *worker {
	var fitting [preferences][]*worker
	for _, w := range c.sortedWorkers() {
		if c.fits(t, w, now) {
			at := c.preferenceFor(t, w, now)
			fitting[at] = append(fitting[at], w)
		}
	}
	for at, candidates := range fitting {
		if preference(at) == ordinary && t.stage.Serves() {
			candidates = c.narrow(t, candidates, now)
		}
		if w := c.choose(t, c.preferWorkflowDataCentre(t, candidates, now), now); w != nil {
			return w
		}
	}
	return nil
}

// fits reports whether a worker may run a task and has room for it now.
func (c *Cell) fits(t *task, w *worker, now cottonlanding.Millis) bool {
	return c.rejection(t, w, now) == notRejected
}

// allowed reports whether a worker may run a task, if it had room.
func (c *Cell) allowed(t *task, w *worker, now cottonlanding.Millis) bool {
	return w.usable(now) && w.meetsRequirements(t) && !w.atStepLimit(t)
}

// runsOfStep counts the runs of a task's step and round.
func (w *worker) runsOfStep(ref cottonlanding.TaskRef) int {
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
		return defaultServingUse
	}
	return r.task.stage.load.value
}

// choose lets the policy choose. Filling tasks see what is expected to be left of a
// worker, all others its unreserved room.
func (c *Cell) choose(t *task, candidates []*worker, now cottonlanding.Millis) *worker {
	if len(candidates) == 0 {
		return nil
	}
	views := make([]cottonlanding.WorkerView, len(candidates))
	for i, w := range candidates {
		views[i] = cottonlanding.WorkerView{ID: w.info.ID, Rack: w.info.Rack, Capacity: w.info.Capacity, Free: c.room(w, now).free, Tasks: w.runs.size()}
		if t.stage.Fills {
			views[i].Free.CPU = c.fillingCPU(w, t.stage.Step, now)
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

// fillingCPU returns the processors that a filling task may expect on a worker, less
// the fewer the more it would have to be slowed there.
func (c *Cell) fillingCPU(w *worker, step cottonlanding.Step, now cottonlanding.Millis) cottonlanding.Millicores {
	return cottonlanding.Millicores(float64(c.room(w, now).spare) * c.sustainablePace(w, step, now))
}

// pickStarved returns a worker for a filling task of a workflow that has had
// nothing running for a while: the one that bears it best. It is slowed there as
// far as the serving tasks need it.
func (c *Cell) pickStarved(t *task, now cottonlanding.Millis) *worker {
	if !t.stage.Fills || now-t.waitingSince < starvationTimeout || now < t.stage.nextRoomTry || t.job.anyRun() {
		return nil
	}
	var best *worker
	most := -1.0
	for _, w := range c.sortedWorkers() {
		if !t.stage.Reserved().Fits(c.room(w, now).free) || !c.allowed(t, w, now) || c.blockedByIsolation(t, w, now) {
			continue
		}
		if part := c.sustainablePace(w, t.stage.Step, now); part > most {
			best, most = w, part
		}
	}
	return best
}
