package scheduler

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// maxPlacements bounds the decisions of one call, so that the driver stays
	// responsive.
	maxPlacements = 400
	firstBackoff  = 500 * cottonlanding.Millis(1)
	longestDelay  = cottonlanding.Minute
	// mostLost is how many lives of workers may end soon after a task began there before
	// its job fails. Fewer would often be other tasks' doing: each takes some ten along.
	mostLost = 5
	// outlives is how long a task must have run for the end of its worker to count nothing: one that
	// crashes its workers does so as it starts, and reports come seldom.
	outlives = 3 * cottonlanding.Second
	// failuresPerWorker is how often a task may fail on few workers before its
	// job is stopped all the same.
	failuresPerWorker = 3
	// contactPatience is how long a new owner waits for all its workers before it
	// places batch tasks.
	contactPatience = cottonlanding.Second
	// evictionPatience is how long a checkpoint may take.
	evictionPatience = 30 * cottonlanding.Second
	// evictionCoolDown protects a task from the next eviction.
	evictionCoolDown = 15 * cottonlanding.Second
)

func attemptText(attempt cottonlanding.Attempt) string {
	return strconv.FormatUint(uint64(attempt), 10)
}

// Decide gives up on workers whose leases have surely lapsed, places queued
// tasks, and makes room for pressing ones.
func (c *Cell) Decide(now cottonlanding.Millis) {
	if c.began == 0 {
		c.began = now
	}
	c.lapse(now)
	c.expireEvictions(now)
	c.place(now)
	c.prune(now)
}

// lapse closes the attempts on workers that surely stopped everything because
// no lease can have lasted until now.
func (c *Cell) lapse(now cottonlanding.Millis) {
	for _, w := range c.sortedWorkers() {
		if len(w.holds) == 0 || now <= w.leaseBound {
			continue
		}
		w.reading, w.leasedUntil = 0, 0
		for _, r := range w.sortedHolds() {
			delete(w.holds, r)
			t := c.tasks[r.task]
			if t != nil && t.desired(w.info.ID, r.attempt) {
				c.counts.Lost++
				c.requeue(t, now, 0)
			}
		}
	}
}

func (c *Cell) failRun(w *worker, t *task, taskRun cottonlanding.TaskRun, now cottonlanding.Millis) {
	c.counts.Failures++
	c.blame(w, t.job, taskRun.Ran, now)
	t.FailedOn = append(t.FailedOn, w.info.ID)
	if c.exhausted(t) {
		reason := fmt.Sprintf("task %d failed %d times, last on %s: %s", t.ID.Index, len(t.FailedOn), w.info.ID, taskRun.Result)
		c.settle(t, cottonlanding.TaskFailed, now)
		c.failJob(t.job, reason, now)
		return
	}
	t.Checkpoint = "" // it may be the checkpoint that can't be read
	c.requeue(t, now, backoff(len(t.FailedOn)))
}

// blame decides whether a failure speaks against the worker or against the job.
func (c *Cell) blame(w *worker, j *job, ran, now cottonlanding.Millis) {
	j.failedOn[w.info.ID] = true
	if j.atFault() {
		for _, other := range c.workers {
			other.exonerate(j.Spec.Name)
		}
		return
	}
	if w.recordFailure(j.Spec.Name, ran, now) {
		c.counts.Quarantined++
	}
}

// exhausted reports whether the task has failed on enough workers for the fault
// to be the task's own.
func (c *Cell) exhausted(t *task) bool {
	distinct := slices.Compact(slices.Sorted(slices.Values(t.FailedOn)))
	allowed := max(c.rules.Limits.Attempts, 1)
	return len(distinct) >= allowed || len(t.FailedOn) >= failuresPerWorker*allowed
}

func backoff(failures int) cottonlanding.Millis {
	delay := firstBackoff
	for range failures - 1 {
		delay = min(2*delay, longestDelay)
	}
	return delay
}

// expireEvictions lets tasks run on whose checkpoint never came.
func (c *Cell) expireEvictions(now cottonlanding.Millis) {
	for _, w := range c.workers {
		for r, h := range w.holds {
			t := c.tasks[r.task]
			if t == nil || !t.evicting || t.Attempt != r.attempt || now-t.evictingSince < evictionPatience {
				continue
			}
			h.checkpointed = false
			t.evicting = false
			t.keepUntil = now + evictionCoolDown
		}
	}
}

// placement is the state of one pass over the queue.
type placement struct {
	now     cottonlanding.Millis
	workers []*worker
	views   []cottonlanding.WorkerView
	use     map[cottonlanding.Team]cottonlanding.Resources
	// kept marks workers on which room is being made for a pressing task.
	kept map[cottonlanding.WorkerID]bool
	// tooBig lists requests that found no worker in this pass.
	tooBig []cottonlanding.Resources
	placed int
}

func (c *Cell) place(now cottonlanding.Millis) {
	if len(c.queue) == 0 && !c.hasAhead() {
		return
	}
	pass := &placement{now: now, use: c.teamUse(), kept: c.keptWorkers()}
	for _, w := range c.sortedWorkers() {
		if c.takes(w, now) {
			pass.workers = append(pass.workers, w)
			pass.views = append(pass.views, w.view())
		}
	}
	if len(pass.workers) == 0 {
		return
	}
	for precedence, class := range c.ready(now) {
		if precedence == batchPrecedence {
			if c.awaitingWorkers(now) {
				return
			}
			c.promote(pass)
		}
		for _, view := range c.order(class, pass.use) {
			if pass.placed == maxPlacements {
				return
			}
			c.placeTask(pass, c.tasks[view.ID])
		}
	}
	c.spreadAhead(pass)
	c.assignAhead(pass)
}

// awaitingWorkers reports whether listed workers may still answer for the first
// time, so that batch tasks aren't all put on those that were the first to do so.
func (c *Cell) awaitingWorkers(now cottonlanding.Millis) bool {
	if now-c.began >= contactPatience {
		return false
	}
	for _, w := range c.workers {
		if w.listed && w.leasedUntil == 0 {
			return true
		}
	}
	return false
}

// ready returns the queued tasks whose time has come, by precedence.
func (c *Cell) ready(now cottonlanding.Millis) [precedences][]cottonlanding.TaskView {
	var out [precedences][]cottonlanding.TaskView
	for _, t := range sortedTasks(c.queue) {
		if t.notBefore <= now {
			out[t.precedence()] = append(out[t.precedence()], t.view(now))
		}
	}
	return out
}

func (c *Cell) order(views []cottonlanding.TaskView, use map[cottonlanding.Team]cottonlanding.Resources) []cottonlanding.TaskView {
	var teams []cottonlanding.TeamUsage
	for _, team := range c.rules.Teams {
		teams = append(teams, cottonlanding.TeamUsage{Team: team.Name, Weight: team.Weight, Use: use[team.Name].CPU})
	}
	c.rules.Admission.Order(views, teams)
	return views
}

func (c *Cell) teamUse() map[cottonlanding.Team]cottonlanding.Resources {
	out := make(map[cottonlanding.Team]cottonlanding.Resources)
	for _, t := range c.tasks {
		if t.State == cottonlanding.TaskAssigned && t.job.Spec.Kind == cottonlanding.Batch {
			out[t.job.Spec.Team] = out[t.job.Spec.Team].Plus(t.job.Spec.Resources)
		}
	}
	return out
}

func (c *Cell) quota(name cottonlanding.Team) (cottonlanding.Resources, bool) {
	for _, team := range c.rules.Teams {
		if team.Name == name && team.Quota != (cottonlanding.Resources{}) {
			return unbounded(team.Quota), true
		}
	}
	return cottonlanding.Resources{}, false
}

// unbounded replaces zero fields by the largest value.
func unbounded(quota cottonlanding.Resources) cottonlanding.Resources {
	const most = 1 << 62
	if quota.CPU == 0 {
		quota.CPU = most
	}
	if quota.Memory == 0 {
		quota.Memory = most
	}
	if quota.Accelerators == 0 {
		quota.Accelerators = most
	}
	return quota
}

func (c *Cell) placeTask(pass *placement, t *task) {
	request := t.job.Spec.Resources
	if c.overQuota(pass, t) {
		return
	}
	if !t.pressing() && pass.hopeless(request) {
		return
	}
	at := c.pick(pass, t)
	if at != cottonlanding.NoWorker {
		c.assign(pass, t, at)
		return
	}
	if t.pressing() {
		c.makeRoom(pass, t)
	}
	pass.tooBig = append(pass.tooBig, request)
}

// hopeless reports whether a request that is no larger found no worker.
func (p *placement) hopeless(request cottonlanding.Resources) bool {
	return slices.ContainsFunc(p.tooBig, func(big cottonlanding.Resources) bool { return big.Fits(request) })
}

func (c *Cell) keptWorkers() map[cottonlanding.WorkerID]bool {
	out := make(map[cottonlanding.WorkerID]bool)
	for _, t := range c.queue {
		if t.roomOn != "" {
			out[t.roomOn] = true
		}
	}
	return out
}

func (c *Cell) overQuota(pass *placement, t *task) bool {
	if t.job.Spec.Kind != cottonlanding.Batch {
		return false
	}
	quota, bounded := c.quota(t.job.Spec.Team)
	return bounded && !pass.use[t.job.Spec.Team].Plus(t.job.Spec.Resources).Fits(quota)
}

// pick asks the policy for a worker among those that can carry the task, those
// on which it has not failed first. The policy's answer is checked.
func (c *Cell) pick(pass *placement, t *task) int {
	var fresh, failed []int
	for i, view := range pass.views {
		switch {
		case !c.takes(pass.workers[i], pass.now) || !t.job.Spec.Resources.Fits(view.Free):
		case pass.kept[view.ID] && !t.pressing():
		case slices.Contains(t.FailedOn, view.ID):
			failed = append(failed, i)
		default:
			fresh = append(fresh, i)
		}
	}
	if at := c.ask(pass, t, fresh); at != cottonlanding.NoWorker {
		return at
	}
	return c.ask(pass, t, failed)
}

func (c *Cell) ask(pass *placement, t *task, indices []int) int {
	if len(indices) == 0 {
		return cottonlanding.NoWorker
	}
	candidates := make([]cottonlanding.WorkerView, len(indices))
	for i, index := range indices {
		candidates[i] = pass.views[index]
	}
	picked := c.rules.Placement.Place(t.view(pass.now), candidates)
	if picked < 0 || picked >= len(indices) {
		return cottonlanding.NoWorker
	}
	return indices[picked]
}

func (c *Cell) assign(pass *placement, t *task, at int) {
	w := pass.workers[at]
	t.State = cottonlanding.TaskAssigned
	t.Attempt++
	t.Worker, t.WorkerAddress, t.Incarnation = w.info.ID, w.info.Address, w.incarnation
	t.roomOn = ""
	delete(c.queue, t.ID)
	c.dirtyTasks[t.ID] = t
	w.holds[run{t.ID, t.Attempt}] = &hold{resources: t.job.Spec.Resources}
	pass.views[at] = w.view()
	if t.job.Spec.Kind == cottonlanding.Batch {
		pass.use[t.job.Spec.Team] = pass.use[t.job.Spec.Team].Plus(t.job.Spec.Resources)
	}
	pass.placed++
}

// makeRoom evicts the batch tasks of one worker that the eviction policy puts
// first, unless room is being made already.
func (c *Cell) makeRoom(pass *placement, t *task) {
	var best []*task
	var at *worker
	for i, w := range pass.workers {
		victims, enough := c.victims(w, pass.views[i].Free, t, pass.now)
		if !enough || pass.kept[w.info.ID] && t.roomOn != w.info.ID {
			continue
		}
		if len(victims) == 0 && t.roomOn == w.info.ID {
			return // what gives way already suffices
		}
		if at == nil || len(victims) < len(best) {
			best, at = victims, w
		}
	}
	t.roomOn = ""
	if at == nil {
		return
	}
	t.roomOn = at.info.ID
	pass.kept[at.info.ID] = true
	for _, victim := range best {
		victim.evicting = true
		victim.evictingSince = pass.now
	}
}

// victims returns the tasks to evict from the worker for t to fit, and whether
// evicting them is enough.
func (c *Cell) victims(w *worker, free cottonlanding.Resources, t *task, now cottonlanding.Millis) ([]*task, bool) {
	var views []cottonlanding.TaskView
	for _, r := range w.sortedHolds() {
		candidate := c.tasks[r.task]
		switch {
		case candidate == nil || !candidate.desired(w.info.ID, r.attempt):
			free = free.Plus(w.holds[r].resources) // is being stopped
		case candidate.evicting:
			free = free.Plus(w.holds[r].resources)
		case candidate.evictable(now) && w.holds[r].acked:
			views = append(views, candidate.view(now))
		}
	}
	c.rules.Eviction.Order(views)
	var out []*task
	for _, view := range views {
		if t.job.Spec.Resources.Fits(free) {
			break
		}
		out = append(out, c.tasks[view.ID])
		free = free.Plus(view.Resources)
	}
	return out, t.job.Spec.Resources.Fits(free)
}
