package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// defaultServingUse is the fraction of its CPU that a serving task is expected to use until its load has been
	// measured.
	defaultServingUse = 0.6
	// minFillingShare is the fraction of its CPU that a filling task must be expected to get to be placed: running
	// tasks one after the other finishes sooner than running all of them at half speed.
	minFillingShare = 0.8
	// starvationTimeout is how long a filling workflow may have no run while there is room. It must have one within
	// 3 s.
	starvationTimeout = 1500 * cottonlanding.Millis(1)
	// makeRoomRetryInterval is the time between two attempts to make room for a step.
	makeRoomRetryInterval = 100 * cottonlanding.Millis(1)
	// fillingPassInterval is the time between two searches for filling steps while some find no worker. Their budgets
	// change with samples, every half second. With thousands of tasks waiting, a search in every decision took most of
	// an owner's processor time.
	fillingPassInterval = 60 * cottonlanding.Millis(1)
	// maxPlacements bounds the placements of one Decide call, which keeps its transaction small.
	maxPlacements = 400
)

// Decide advances the cell to now: it gives up runs that are guaranteed to have ended, starts the rounds whose time
// has come, and places tasks. wall is the time of day in milliseconds since 1970.
func (c *Cell) Decide(now cottonlanding.Millis, wall int64) {
	c.expireLeases(now)
	c.updateSilentDataCentres(now)
	c.dropUnsent(now)
	c.stopOnLeavingWorkers(now)
	c.abandonOverdueStarts(now)
	c.beginRounds(now, wall)
	c.place(now)
	c.measureOverload(now)
	c.returnDelegatedTasks(now)
	c.prune(now)
	c.updateSeason(now)
	c.logDowntimes()
	c.logBlocked(now)
	c.logSummary(now)
}

// beginRounds creates the rounds of schedules whose time has come. A round that does not fit into the workflow's
// row waits until earlier rounds finish.
func (c *Cell) beginRounds(now cottonlanding.Millis, wall int64) {
	for _, j := range c.openJobs {
		for next := len(j.rounds); next < j.Schedule.Rounds; next++ {
			due := j.Schedule.Due(next)
			if wall < due || !j.hasRoomForRound() {
				break
			}
			j.addRound(next, now)
			c.markDirty(j)
			c.log.Info("round started", "Workflow", j.ID, "Round", next, "Due", due, "TimeOfDay", wall)
		}
	}
}

// stopOnLeavingWorkers stops lasting and checkpointing runs on workers that are shutting down, so that they
// continue elsewhere.
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

// place assigns waiting tasks to workers, urgent queues first.
func (c *Cell) place(now cottonlanding.Millis) {
	placed := 0
	var failures placementFailures
	c.computeReservations(now)
	c.computeShortReserves(now)
	fillingDue := now >= c.nextFillingPass
	for _, s := range c.waitingStages(now) {
		if placed >= maxPlacements {
			return
		}
		if s.Fills && !fillingDue {
			continue
		}
		if s.Gang {
			placed += c.placeGang(s, now)
			continue
		}
		placed += c.placeStage(s, maxPlacements-placed, &failures, now)
	}
}

// placeStage assigns up to limit waiting tasks of a step to workers and returns how many it placed.
func (c *Cell) placeStage(s *stage, limit int, failures *placementFailures, now cottonlanding.Millis) int {
	defer c.logPlaced()
	placed := 0
	for _, t := range s.placementOrder(now) {
		if placed >= limit {
			return placed
		}
		if t.state != taskWaiting || t.mayHaveStray(now) {
			continue
		}
		w := c.pickUnlessCovered(t, failures, now)
		if w == nil && !t.mustRunAgain(now) && (c.needsIsolation(t, now) || c.yieldsWithinStep(t)) {
			continue // others may fit despite the isolation or the reservation
		}
		if w == nil {
			c.deferFillingPass(s, now)
			c.handleNoRoom(t, now)
			return placed // the other tasks of the step need the same resources
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

// deferFillingPass has the next search for filling steps wait if one has found no worker. All of them wait together, so
// that they keep their order.
func (c *Cell) deferFillingPass(s *stage, now cottonlanding.Millis) {
	if s.Fills && c.policy.Headroom.LimitsStarts() {
		c.nextFillingPass = now + fillingPassInterval
	}
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

// pickUnlessCovered returns the worker for a task. It skips the search if a task of the same kind that needs no
// more found no worker in this pass.
func (c *Cell) pickUnlessCovered(t *task, failures *placementFailures, now cottonlanding.Millis) *worker {
	wanted := c.placementFailureOf(t)
	if !failures.covers(t, wanted) {
		if w := c.pick(t, now); w != nil {
			return w
		}
		if !c.needsIsolation(t, now) {
			failures.add(t, wanted)
		}
	}
	return c.pickStarved(t, now)
}

// handleNoRoom tries to make room for a task that found no worker, once per makeRoomRetryInterval since workers
// change little in between.
func (c *Cell) handleNoRoom(t *task, now cottonlanding.Millis) {
	if now < t.stage.nextRoomTry {
		return
	}
	t.stage.nextRoomTry = now + makeRoomRetryInterval
	if !t.job.hasRoomForLives(maxLifeBytes) {
		c.logRowFull(t, now)
		return // don't preempt runs for a task that can't be placed
	}
	c.preemptFor(t, now)
	c.holdWorkers(t, now)
	c.logWaiting(t, now)
}

// assign plans a run, which is sent once the plan is committed.
func (c *Cell) assign(t *task, w *worker, number cottonlanding.RunNumber, now cottonlanding.Millis) {
	t.state, t.number = taskAssigned, number
	t.setLife(w.life())
	t.preemptionUntil = 0
	t.pinCheckpoint()
	key := cottonlanding.RunKey{Task: t.ref, Number: number}
	t.run = &run{RunKey: key, task: t, worker: w, life: w, born: t.life.Born, step: t.stage.Step,
		pace: fullPace, paceGoal: c.initialPace(w, t.stage, now), placedAt: now, progressedAt: now}
	c.recordPlacement(t, w, now)
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

// preference ranks the workers that fit a task; lower values are tried first.
type preference int

const (
	// onDataRack workers are on the rack of the task's data.
	onDataRack preference = iota
	// compatible workers have serving tasks that the task can share a worker with at little interference.
	compatible
	// withoutServing workers have no serving tasks.
	withoutServing
	// ordinary workers are all other healthy ones.
	ordinary
	// shouldAvoid workers failed recently, are slow, failed this task, or are isolated for another run. For lasting
	// tasks they also include workers whose end would be detected late.
	shouldAvoid
	preferences
)

// preferenceFor returns how well a worker suits a task. Serving tasks share workers with tasks of the same image,
// which leaves workers without other serving images to the filling tasks that this image tolerates. Filling tasks
// go where they disturb no serving task, to workers with serving tasks first, which leaves the other workers to
// filling tasks that do disturb.
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

// allowed reports whether a worker may run a task, regardless of its room.
func (c *Cell) allowed(t *task, w *worker, now cottonlanding.Millis) bool {
	return w.usable(now) && w.meetsRequirements(t) && !w.atStepLimit(t)
}

// runsOfStep counts the runs of a task's step and round on the worker.
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

// spare returns the CPU that all runs are expected to leave unused. Filling tasks count at full pace even while
// paused: they resume when the load falls, and overcommitting the worker would delay all of them.
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

// servingUse returns the fraction of its CPU that a serving task is expected to use, taken to equal its load.
func (r *run) servingUse() float64 {
	if r.task == nil || !r.task.stage.load.Known() {
		return defaultServingUse
	}
	return r.task.stage.load.Last()
}

// choose applies the placement policy to the candidates. For filling tasks a worker's free CPU is what is expected
// to be left unused, for all others its unreserved CPU.
func (c *Cell) choose(t *task, candidates []*worker, now cottonlanding.Millis) *worker {
	if len(candidates) == 0 {
		return nil
	}
	views := make([]cottonlanding.WorkerView, len(candidates))
	for i, w := range candidates {
		views[i] = cottonlanding.WorkerView{ID: w.info.ID, Rack: w.info.Rack, Capacity: w.info.Capacity, Free: c.room(w, now).free, Tasks: w.runs.size()}
		if t.stage.Fills {
			views[i].Free.CPU = c.fillingCPU(w, t.stage, now)
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

// fillingCPU returns the CPU that a filling task can expect on a worker, scaled down by how much it would have to
// be slowed there.
func (c *Cell) fillingCPU(w *worker, filling *stage, now cottonlanding.Millis) cottonlanding.Millicores {
	return cottonlanding.Millicores(float64(c.room(w, now).spare) * c.sustainablePace(w, filling, now))
}

// pickStarved returns a worker for a filling task whose workflow has had no run for starvationTimeout: the one that
// can give it the most CPU, or else whose serving tasks are the least over their goals. It is slowed there as far as the serving tasks require.
func (c *Cell) pickStarved(t *task, now cottonlanding.Millis) *worker {
	if !t.stage.Fills || now-t.waitingSince < starvationTimeout || now < t.stage.nextRoomTry || t.job.anyRun() {
		return nil
	}
	var best *worker
	most, mostLeft := -1.0, 0.0
	for _, w := range c.sortedWorkers() {
		if !t.stage.Reserved().Fits(c.room(w, now).free) || !c.allowed(t, w, now) || c.blockedByIsolation(t, w, now) {
			continue
		}
		part, left := c.sustainablePace(w, t.stage, now), c.heavyLeft(w, t.stage, now)
		if part > most || part == most && left > mostLeft {
			best, most, mostLeft = w, part, left
		}
	}
	return best
}
