package scheduler

import (
	"errors"
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// Verb is what a command asks of a worker.
type Verb string

// The verbs, in the order in which a round sends them.
const (
	VerbAcknowledge Verb = "Acknowledge"
	VerbStop        Verb = "Stop"
	VerbCheckpoint  Verb = "Checkpoint"
	VerbStart       Verb = "Start"
)

// Order is one command of a round.
type Order struct {
	Verb  Verb
	Start cottonlanding.Start
	// Command is used for all verbs but VerbStart.
	Command cottonlanding.Command
}

func (o Order) run() run {
	if o.Verb == VerbStart {
		return run{o.Start.Task, o.Start.Attempt}
	}
	return run{o.Command.Task, o.Command.Attempt}
}

// Round is one visit to a worker: the orders one after the other, then a
// renewal. At most one round to a worker is under way at a time.
type Round struct {
	Worker  cottonlanding.WorkerID
	Address cottonlanding.Address
	Orders  []Order
	Fence   cottonlanding.Fence
}

// Report tells what became of a round.
type Report struct {
	Round Round
	// Errors holds the result of each order that was sent, in order; orders
	// beyond its length were not sent.
	Errors []error
	// RenewSent and RenewArrived are the instants of the renewal.
	RenewSent    cottonlanding.Millis
	RenewArrived cottonlanding.Millis
	Inventory    cottonlanding.Inventory
	// Err is why there is no inventory.
	Err error
}

// maxOrders bounds the orders of one round, so that the renewal is not late.
const maxOrders = 64

// Rounds returns the rounds that are due.
func (c *Cell) Rounds(now cottonlanding.Millis) []Round {
	var out []Round
	for _, w := range c.sortedWorkers() {
		if w.busy || now < w.holdOff || !w.listed && len(w.holds) == 0 {
			continue
		}
		if orders := c.orders(w); now >= w.nextTry || len(orders) > 0 && now < w.leasedUntil {
			out = append(out, c.round(w, orders, now))
		}
	}
	return out
}

// round begins a visit. From here on the worker may have a lease that ends as
// late as the last reading's arrival plus the time to live.
func (c *Cell) round(w *worker, orders []Order, now cottonlanding.Millis) Round {
	w.busy = true
	fence := c.fence(w)
	if fence.Reading != 0 {
		w.granted = max(w.granted, w.arrived+c.timing.LeaseTTL+drift(c.timing.LeaseTTL))
		w.leaseBound = max(w.leaseBound, w.granted)
	} else {
		orders = nil // nothing can be asked of a worker whose life isn't known
	}
	for i := range orders {
		switch orders[i].Verb {
		case VerbStart:
			w.holds[orders[i].run()].sent = true
		case VerbCheckpoint:
			w.holds[orders[i].run()].checkpointed = true
		}
	}
	return Round{Worker: w.info.ID, Address: w.info.Address, Orders: orders, Fence: fence}
}

func (c *Cell) fence(w *worker) cottonlanding.Fence {
	return cottonlanding.Fence{
		Cell:        c.setup.ID,
		Epoch:       c.setup.Epoch,
		Incarnation: w.incarnation,
		Reading:     w.reading,
		TTL:         c.timing.LeaseTTL,
		Digest:      w.digest,
	}
}

func (c *Cell) orders(w *worker) []Order {
	var out []Order
	for _, r := range w.ended {
		if t := c.tasks[r.task]; t == nil || t.closed(r.attempt) {
			out = append(out, c.command(w, VerbAcknowledge, r))
		}
	}
	if !c.anyWanted(w) {
		return out
	}
	var starts []Order
	for _, r := range w.sortedHolds() {
		switch verb := c.wanted(w, r, w.holds[r]); verb {
		case "":
		case VerbStart:
			starts = append(starts, c.start(w, c.tasks[r.task]))
		default:
			out = append(out, c.command(w, verb, r))
		}
	}
	out = append(out, starts...)
	return out[:min(len(out), maxOrders)]
}

// wanted returns what is to be ordered for a hold, or nothing.
func (c *Cell) wanted(w *worker, r run, h *hold) Verb {
	t := c.tasks[r.task]
	switch {
	case t == nil || !t.desired(w.info.ID, r.attempt):
		if h.sent {
			return VerbStop
		}
	case t.evicting && h.acked && !h.checkpointed:
		return VerbCheckpoint
	case !h.acked && !h.ahead && !c.evacuated(w) && t.startable(w.info.ID, r.attempt):
		return VerbStart
	}
	return ""
}

// anyWanted spares sorting the holds of the many workers that need no order.
func (c *Cell) anyWanted(w *worker) bool {
	for r, h := range w.holds {
		if c.wanted(w, r, h) != "" {
			return true
		}
	}
	return false
}

func (c *Cell) command(w *worker, verb Verb, r run) Order {
	command := cottonlanding.Command{Fence: c.fence(w), Task: r.task, Attempt: r.attempt}
	if verb == VerbCheckpoint {
		command.Object = checkpointName(c.setup.ID, r)
	}
	return Order{Verb: verb, Command: command}
}

func (c *Cell) start(w *worker, t *task) Order {
	spec := t.job.Spec
	return Order{Verb: VerbStart, Start: cottonlanding.Start{
		Fence:      c.fence(w),
		Task:       t.ID,
		Attempt:    t.Attempt,
		Resources:  spec.Resources,
		RunTime:    spec.RunTime,
		Payload:    spec.Payload,
		Checkpoint: t.Checkpoint,
	}}
}

// Report takes in what became of a round.
func (c *Cell) Report(report Report, now cottonlanding.Millis) {
	w := c.workers[report.Round.Worker]
	if w == nil {
		return
	}
	w.busy = false
	if slices.ContainsFunc(report.Errors, func(err error) bool { return err != nil }) {
		w.holdOff = now + orderBackoff
	}
	for i, err := range report.Errors {
		c.recordOrder(w, report.Round.Orders[i], err, now)
	}
	if errors.Is(report.Err, cottonlanding.ErrStaleEpoch) {
		c.superseded = true
		return
	}
	if report.Err != nil || report.Inventory.Worker != w.info.ID {
		w.nextTry, w.holdOff = now+unreachableBackoff, now+unreachableBackoff
		return
	}
	c.recordInventory(w, report, now)
	w.nextTry = now + c.timing.LeaseTTL/renewalsPerLease
	if w.leasedUntil == 0 {
		w.nextTry = now // this was the first contact, which can't grant a lease
	}
}

func (c *Cell) recordOrder(w *worker, order Order, err error, now cottonlanding.Millis) {
	if errors.Is(err, cottonlanding.ErrStaleEpoch) {
		c.superseded = true
		return
	}
	r := order.run()
	switch order.Verb {
	case VerbStart:
		c.recordStart(w, r, err, now)
	case VerbStop:
		if err == nil {
			delete(w.holds, r)
		}
	case VerbAcknowledge:
		// what was not forgotten shows in the next inventory
	case VerbCheckpoint:
		if err != nil {
			c.recordCheckpointFailure(w, r, now)
		}
	}
}

func (c *Cell) recordStart(w *worker, r run, err error, now cottonlanding.Millis) {
	h := w.holds[r]
	if h == nil {
		return
	}
	switch {
	case err == nil:
		h.acked = true
		c.counts.Started++
	case errors.Is(err, cottonlanding.ErrRefused):
		delete(w.holds, r)
		c.giveUpAttempt(w, r, now, 0)
	case errors.Is(err, cottonlanding.ErrBusy):
		if h.busy++; h.busy >= busyRounds {
			c.giveUpAttempt(w, r, now, unreachableBackoff)
		}
	}
}

// giveUpAttempt closes an attempt that the worker is still meant to run.
func (c *Cell) giveUpAttempt(w *worker, r run, now, delay cottonlanding.Millis) {
	t := c.tasks[r.task]
	if t != nil && t.desired(w.info.ID, r.attempt) {
		c.requeue(t, now, delay)
	}
}

// recordCheckpointFailure lets the task run on; another may be picked instead.
func (c *Cell) recordCheckpointFailure(w *worker, r run, now cottonlanding.Millis) {
	if h := w.holds[r]; h != nil {
		h.checkpointed = false
	}
	t := c.tasks[r.task]
	if t != nil && t.Attempt == r.attempt {
		t.evicting = false
		t.keepUntil = now + evictionCoolDown
	}
}

// recordInventory makes the worker's own word the truth of what it runs.
func (c *Cell) recordInventory(w *worker, report Report, now cottonlanding.Millis) {
	inventory := report.Inventory
	if w.incarnation != inventory.Incarnation {
		w.restarted(inventory.Incarnation)
	} else if report.Round.Fence.Reading != 0 {
		w.leasedUntil = w.asked + c.timing.LeaseTTL - drift(c.timing.LeaseTTL)
	}
	w.reading, w.asked, w.arrived = inventory.Reading, report.RenewSent, report.RenewArrived
	w.leaseBound = max(w.granted, w.arrived+inventory.LeaseRemaining+drift(inventory.LeaseRemaining))
	w.leaving = w.leaving || inventory.Leaving
	if !inventory.Unchanged {
		w.digest, w.runs, w.runsAt = inventory.Digest, inventory.Runs, now
	}
	w.ended = w.ended[:0]
	reported := make(map[run]bool, len(w.runs))
	for _, taskRun := range w.runs {
		r := run{taskRun.Task, taskRun.Attempt}
		reported[r] = true
		c.recordRun(w, r, taskRun, now)
	}
	for _, r := range w.sortedHolds() {
		if !reported[r] {
			c.recordAbsent(w, r, report, now)
		}
	}
}

func (c *Cell) recordRun(w *worker, r run, taskRun cottonlanding.TaskRun, now cottonlanding.Millis) {
	t := c.tasks[r.task]
	if taskRun.State == cottonlanding.Running {
		h := w.holds[r]
		if h == nil {
			h = &hold{resources: taskRun.Resources, sent: true}
			w.holds[r] = h
		}
		if h.inherited && !h.acked {
			c.counts.Adopted++
		}
		h.acked = true
		if t != nil && t.desired(w.info.ID, r.attempt) {
			t.ran = taskRun.Ran + now - w.runsAt
			c.recordOutlived(t)
			if t.ran >= quickFailure {
				c.clearLost(t)
			}
		}
		return
	}
	delete(w.holds, r)
	w.ended = append(w.ended, r)
	if t != nil && t.desired(w.info.ID, r.attempt) {
		c.endRun(w, t, taskRun, now)
	}
}

func (c *Cell) endRun(w *worker, t *task, taskRun cottonlanding.TaskRun, now cottonlanding.Millis) {
	switch taskRun.State {
	case cottonlanding.Finished:
		t.Result = taskRun.Result
		w.recordSuccess()
		t.job.succeeded = true
		c.counts.Finished++
		c.settle(t, cottonlanding.TaskDone, now)
	case cottonlanding.Saved:
		t.Checkpoint = taskRun.Checkpoint
		t.Evictions++
		t.keepUntil = now + evictionCoolDown
		c.counts.Evictions++
		c.requeue(t, now, 0)
	default:
		c.failRun(w, t, taskRun, now)
	}
}

// recordAbsent handles a run that the worker doesn't report. To an owner that has just come each life is
// another one; whether that on which the run was placed has ended is told by the task's row.
func (c *Cell) recordAbsent(w *worker, r run, report Report, now cottonlanding.Millis) {
	h, t := w.holds[r], c.tasks[r.task]
	wanted := t != nil && t.desired(w.info.ID, r.attempt)
	otherLife := h.sent && report.Round.Fence.Incarnation != report.Inventory.Incarnation
	switch {
	case h.acked || otherLife:
		delete(w.holds, r)
		if wanted {
			c.counts.Lost++
			c.loseRun(w, t, otherLife && t.Incarnation != report.Inventory.Incarnation, now)
		}
	case !h.sent && !wanted:
		delete(w.holds, r)
	}
}

// recordOutlived notes, also for the next owner, that the run of a task has lasted for longer than a task
// needs that crashes its worker.
func (c *Cell) recordOutlived(t *task) {
	if t.ran >= outlives && !t.Outlived {
		t.Outlived = true
		c.dirtyTasks[t.ID] = t
	}
}

// clearLost forgets the losses of a task that has run for long, also for the next owner.
func (c *Cell) clearLost(t *task) {
	if t.Lost > 0 {
		t.Lost = 0
		c.dirtyTasks[t.ID] = t
	}
}

// loseRun lets a task run again whose run was lost, unless the lives of several workers have
// ended soon after it began there: a worker that crashes reports no failure.
func (c *Cell) loseRun(w *worker, t *task, lifeEnded bool, now cottonlanding.Millis) {
	if lifeEnded && !t.Outlived {
		t.Lost++
	}
	if t.Lost < mostLost {
		c.requeue(t, now, 0)
		return
	}
	reason := fmt.Sprintf("task %d was lost with %d workers that crashed soon after it began, last %s", t.ID.Index, t.Lost, w.info.ID)
	c.settle(t, cottonlanding.TaskFailed, now)
	c.failJob(t.job, reason, now)
}

func checkpointName(cell cottonlanding.CellID, r run) cottonlanding.ObjectName {
	return cottonlanding.ObjectName("Checkpoints/" + string(cell) + "/" + r.task.String() + "/" + attemptText(r.attempt))
}
