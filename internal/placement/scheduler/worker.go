package scheduler

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// renewalsPerLease is how often a lease is renewed within its time to live.
	renewalsPerLease = 4
	// quickFailure is the longest run that counts against the worker when it fails.
	quickFailure = 10 * cottonlanding.Second
	// suspectJobs is how many jobs must fail quickly in a row on one worker for
	// it to be quarantined.
	suspectJobs        = 3
	firstQuarantine    = 10 * cottonlanding.Second
	longestQuarantine  = 10 * cottonlanding.Minute
	busyRounds         = 3
	unreachableBackoff = 500 * cottonlanding.Millis(1)
	orderBackoff       = 100 * cottonlanding.Millis(1)
)

// run is one attempt of a task.
type run struct {
	task    cottonlanding.TaskID
	attempt cottonlanding.Attempt
}

// hold keeps room on a worker for a run until the run has surely ended.
type hold struct {
	resources cottonlanding.Resources
	// sent says that a start may have reached the worker.
	sent bool
	// acked says that the worker is known to have started the run.
	acked bool
	// inherited says that a predecessor placed the run.
	inherited bool
	// busy counts the rounds in which the worker would not start it yet.
	busy int
	// checkpointed says that a checkpoint was ordered.
	checkpointed bool
	// ahead says that the run waits for room on the worker and takes none yet.
	ahead bool
}

// worker is a worker as the cell's owner knows it.
type worker struct {
	info   cottonlanding.WorkerInfo
	listed bool
	// leaving is set by the host list or by the worker, and never reset within
	// one incarnation.
	leaving     bool
	incarnation cottonlanding.Incarnation

	// reading is the worker's clock in its last answer, which was asked for at
	// asked and arrived at arrived; zero before the first answer.
	reading cottonlanding.Reading
	asked   cottonlanding.Millis
	arrived cottonlanding.Millis
	// granted is the latest instant at which a lease of this owner can end.
	granted cottonlanding.Millis
	// leaseBound is the latest instant at which any lease can end, that of a
	// predecessor included.
	leaseBound cottonlanding.Millis
	// leasedUntil is the instant until which the worker surely has a lease.
	leasedUntil cottonlanding.Millis

	// digest, runs and runsAt are those of the last inventory that came whole.
	digest string
	runs   []cottonlanding.TaskRun
	runsAt cottonlanding.Millis

	holds map[run]*hold
	// ended lists the runs that the worker keeps the results of.
	ended []run

	// busy says that a round is under way.
	busy bool
	// nextTry is when the next renewal is due, holdOff when the next order may go.
	nextTry cottonlanding.Millis
	holdOff cottonlanding.Millis

	// suspects are the jobs that failed quickly here since the last success and
	// are not known to be at fault themselves.
	suspects         map[cottonlanding.JobName]bool
	quarantinedUntil cottonlanding.Millis
	quarantine       cottonlanding.Millis
	probation        bool
}

func (c *Cell) addWorker(info cottonlanding.WorkerInfo, now cottonlanding.Millis) *worker {
	w := &worker{
		info:       info,
		leaseBound: max(now, c.firstLeaseBound()),
		holds:      make(map[run]*hold),
		suspects:   make(map[cottonlanding.JobName]bool),
	}
	c.workers[info.ID] = w
	return w
}

// SetWorkers takes in the host list. A worker that is no longer listed gets
// nothing new and is forgotten once nothing can run on it.
func (c *Cell) SetWorkers(infos []cottonlanding.WorkerInfo, now cottonlanding.Millis) {
	listed := make(map[cottonlanding.WorkerID]bool, len(infos))
	for _, info := range infos {
		listed[info.ID] = true
		w := c.workers[info.ID]
		if w == nil {
			w = c.addWorker(info, now)
		}
		w.list(info)
	}
	for id, w := range c.workers {
		w.listed = listed[id]
		if !w.listed && !w.busy && len(w.holds) == 0 && now > w.leaseBound {
			delete(c.workers, id)
		}
	}
}

func (w *worker) list(info cottonlanding.WorkerInfo) {
	moved := w.info.Address != info.Address && len(w.holds) > 0
	if moved {
		info.Address = w.info.Address // keep speaking to what we know until it is free
	}
	w.info = info
	w.leaving = w.leaving || info.State == cottonlanding.Leaving
}

// usable reports whether the worker may get a new task.
func (w *worker) usable(now cottonlanding.Millis) bool {
	if !w.listed || w.leaving || now >= w.leasedUntil || now < w.quarantinedUntil {
		return false
	}
	return !w.probation || len(w.holds) == 0
}

// evacuated reports whether nothing may start on a worker, because its data centre is to be
// given nothing new.
func (c *Cell) evacuated(w *worker) bool {
	return slices.Contains(c.rules.Evacuated, w.info.DataCentre)
}

// takes reports whether the worker may be given a task.
func (c *Cell) takes(w *worker, now cottonlanding.Millis) bool {
	return w.usable(now) && !c.evacuated(w)
}

// reserved returns what the holds take.
func (w *worker) reserved() cottonlanding.Resources {
	var sum cottonlanding.Resources
	for _, h := range w.holds {
		if !h.ahead {
			sum = sum.Plus(h.resources)
		}
	}
	return sum
}

func (w *worker) free() cottonlanding.Resources { return w.info.Capacity.Minus(w.reserved()) }

func (w *worker) view() cottonlanding.WorkerView {
	return cottonlanding.WorkerView{
		ID:       w.info.ID,
		Rack:     w.info.Rack,
		Capacity: w.info.Capacity,
		Free:     w.free(),
		Tasks:    len(w.holds),
	}
}

// restarted takes in a new life of the worker: nothing of the old one runs.
func (w *worker) restarted(incarnation cottonlanding.Incarnation) {
	w.incarnation = incarnation
	w.leasedUntil = 0
	w.leaving = w.info.State == cottonlanding.Leaving
}

// recordFailure counts a failed run; it reports whether the worker was just
// quarantined.
func (w *worker) recordFailure(name cottonlanding.JobName, ran, now cottonlanding.Millis) bool {
	if ran > quickFailure || now < w.quarantinedUntil {
		return false
	}
	w.suspects[name] = true
	if len(w.suspects) < suspectJobs && !w.probation {
		return false
	}
	w.quarantine = min(max(2*w.quarantine, firstQuarantine), longestQuarantine)
	w.quarantinedUntil = now + w.quarantine
	w.probation = true
	return true
}

// exonerate takes back the evidence of a job that fails everywhere.
func (w *worker) exonerate(name cottonlanding.JobName) {
	if !w.suspects[name] {
		return
	}
	delete(w.suspects, name)
	if len(w.suspects) < suspectJobs {
		w.quarantinedUntil, w.quarantine, w.probation = 0, 0, false
	}
}

func (w *worker) recordSuccess() {
	clear(w.suspects)
	w.probation = false
	w.quarantine = 0
}

// sortedWorkers returns the workers in order of id.
func (c *Cell) sortedWorkers() []*worker {
	out := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	return out
}

// sortedHolds returns a worker's runs in order.
func (w *worker) sortedHolds() []run {
	out := make([]run, 0, len(w.holds))
	for r := range w.holds {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b run) int {
		return cmp.Or(cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.attempt, b.attempt))
	})
	return out
}
