package planner

import (
	"sync/atomic"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// driftDivisor bounds clock drift: a worker's clock may run 1/50 slow. Source:
	// the promise that workers give for their lease clocks.
	driftDivisor = 50
	// leaseMargin covers timers that go off late on the worker.
	leaseMargin = 100 * cottonlanding.Millis(1)
	// reachableWithin is how fresh a worker's last answer must be for it to get a
	// start: two long looks.
	reachableWithin = 3 * cottonlanding.Second
	// longWait is how long an idle worker may hold back its answer to a look.
	longWait = 2 * cottonlanding.Second
	// busyWait is the same for a worker that runs something, so that progress and
	// latencies are seen about once a second.
	busyWait = 800 * cottonlanding.Millis(1)
	// tenseWait is the same while a serving task needs watching: its figures are
	// those of half a second.
	tenseWait = 400 * cottonlanding.Millis(1)
	// silence is for how long a worker must have given an owner no answer, from the first
	// look that failed, to count as asked: one answer may come too late or get lost. The
	// looks of a slow owner then have had time for three tries.
	silence = 3 * cottonlanding.Second
	// retryPause is the pause after a look that failed.
	retryPause = 300 * cottonlanding.Millis(1)
	// fullPercent is the progress of a lasting task that is at work.
	fullPercent = 100
	// unnotedPause bounds how long a look waits for the ends of the last one to be
	// committed, so that leases are renewed while the table is out.
	unnotedPause = cottonlanding.Second
)

// phase is how far a run has come.
type phase int

const (
	// planned runs are not committed yet; nothing was sent.
	planned phase = iota
	// cleared runs are committed and may be sent.
	cleared
	// sent runs may have started.
	sent
	// started runs are known to have started.
	started
)

// run is one run of a task on a worker. It keeps its room until it surely ended.
type run struct {
	cottonlanding.RunKey
	task   *task // nil for a run that no task owns any more
	worker *worker
	step   cottonlanding.Step
	phase  phase
	// life is the life on which this owner placed the run, or took it over; born is its
	// birth, as the task's row has it.
	life *worker
	born cottonlanding.Birth
	// retaken says that another life than the one that was meant took the start, so that sentAt tells
	// nothing of when the run began.
	retaken bool
	// outlived says that the worker has listed it for longer than a task needs that crashes the worker.
	outlived bool
	// charged says that its loss has counted against its task, suspected that it did as a crash.
	charged   bool
	suspected bool

	// sentAt is when the last start went out: which of those without an answer began the run is
	// not known.
	sentAt cottonlanding.Millis
	// firstSentAt is when the first start of this owner went out.
	firstSentAt cottonlanding.Millis
	// startsUntil is when the worker takes none of this owner's starts any more, by its clock.
	startsUntil cottonlanding.Reading
	// lateStarts counts the starts that the worker refused as too late, unansweredStarts those that got no answer.
	lateStarts, unansweredStarts int
	// unseenCopies counts the starts that were repeated since the worker last answered a look.
	unseenCopies int
	// ackedAt is when the worker said that it started the run, listedAt when it last listed it.
	ackedAt  cottonlanding.Millis
	listedAt cottonlanding.Millis
	// nextTry is when the next order for the run may be sent, ordered says that
	// one is under way.
	nextTry cottonlanding.Millis
	ordered bool
	// doubtful says that a copy of the start may still be on its way.
	doubtful bool

	// stopping says that the run must end; stopAcked when the worker last took that.
	stopping   bool
	stopReason string
	stopAcked  cottonlanding.Millis
	// stopSince is when the run was marked, stopSentAt when its first stop that was
	// answered or timed out left this process, stopTries how many were given out.
	stopSince  cottonlanding.Millis
	stopSentAt cottonlanding.Millis
	stopTries  int
	// nextStop is when the next stop may be sent, stopOrdered says that one is under way.
	nextStop    cottonlanding.Millis
	stopOrdered bool
	// unwanted is stopping for those who send orders, while the cell is busy.
	unwanted atomic.Bool
	// ruledOutAt is when the worker first took that: from then on it never starts the
	// run, however often it is told again.
	ruledOutAt cottonlanding.Millis

	percent   int
	tail      cottonlanding.Millis
	used      cottonlanding.Millicores
	moved     cottonlanding.Millis // when percent last grew
	pace      int                  // as last taken by the worker
	paceGoal  int
	paceSince cottonlanding.Millis // when the pace became zero
	// reaffirmAt is when the pace is to be ordered once more, or zero.
	reaffirmAt cottonlanding.Millis
	// overSince is when a serving task was first seen over its target, or zero.
	overSince cottonlanding.Millis
	// figureAt is when the last figure of a serving task was taken in.
	figureAt cottonlanding.Millis
	placedAt cottonlanding.Millis
}

// worker is one life of a worker.
type worker struct {
	info   cottonlanding.WorkerInfo
	listed bool
	// evacuated says that the worker's data centre is to be given nothing new.
	evacuated bool
	// born is the birth of the life as its answers tell it, before those of earlier lives,
	// predecessor the life whose runs are not settled yet.
	born        cottonlanding.Birth
	before      []cottonlanding.Birth
	predecessor *worker
	// unsure says that since its last answer something showed that the worker may be in another
	// life, unanswered that an order got no answer, which another life may have taken.
	unsure     bool
	unanswered bool
	// knownSince is when the owner first knew of the worker.
	knownSince cottonlanding.Millis
	// endsSeen counts the earlier lives that this owner has seen to end with nothing there that had just
	// begun, the last at endSeenAt.
	endsSeen  int
	endSeenAt cottonlanding.Millis
	// metBefore says that this owner has seen the life before end, with a run that stood out for each task
	// of suspectsBefore.
	metBefore      bool
	suspectsBefore []*task
	// unlistedAlive says that the worker answered when its entry had gone: it is leaving.
	unlistedAlive bool
	runs          runSet
	// ordersDue says that a run may need an order, now or once a pause has passed.
	ordersDue bool

	// reading is the worker's clock as of the answer that arrived at readAt.
	reading cottonlanding.Reading
	readAt  cottonlanding.Millis
	// granted is the end of the longest lease of this owner, on the worker's clock.
	granted cottonlanding.Reading
	// bound is the latest instant at which a lease of any owner can end.
	bound cottonlanding.Millis

	// asked says that a look of this owner got an answer, or that none did for long.
	asked bool
	// answered is when the last answer to a look came, askedAt when that look was sent, failed says that the
	// last look got none.
	answered cottonlanding.Millis
	askedAt  cottonlanding.Millis
	failed   bool
	// failedSince is when the first of the looks that failed since the last answer did.
	failedSince cottonlanding.Millis
	nextLook    cottonlanding.Millis
	// heardAt is when the worker last answered anything, unansweredSince when it was given
	// the first order since; zero if there is none.
	heardAt         cottonlanding.Millis
	unansweredSince cottonlanding.Millis
	// placeSilent says that its data centre is silent.
	placeSilent bool

	// noted is the last end taken in, seen the last whose consequences are committed, and
	// forgotten the last of those that the worker surely doesn't list any more.
	noted     uint64
	seen      uint64
	forgotten uint64
	// unnotedSince is when noted moved ahead of seen.
	unnotedSince cottonlanding.Millis

	health health
	// keptFor is the task for which the worker is kept free, until keptUntil at most.
	keptFor   *task
	keptUntil cottonlanding.Millis
	// filledAt is when a filling task was last seen here.
	filledAt cottonlanding.Millis
	// tense says that a serving task is over its aim.
	tense bool
	// room is what was left at measuredAt; zero says that it must be measured anew.
	room       room
	measuredAt cottonlanding.Millis
	// blockedUntil is when the worker may get a start again after it refused one.
	blockedUntil cottonlanding.Millis
	// beganAt is when the worker was last given a task. apartRun is the last that runs apart,
	// until apartUntil or its end.
	beganAt    cottonlanding.Millis
	apartRun   *run
	apartUntil cottonlanding.Millis
}

func (c *Cell) addWorker(info cottonlanding.WorkerInfo, now cottonlanding.Millis) *worker {
	w := &worker{info: info, runs: newRunSet(), knownSince: now}
	w.bound = max(now, c.ownersBound())
	c.inheritBound(w, now)
	c.updateEvacuated(w)
	_, w.placeSilent = c.silentSince[info.DataCentre]
	c.workers[info.ID] = w
	c.sorted = nil
	return w
}

// stretched returns how long a span of a worker's clock takes at most.
func stretched(span cottonlanding.Millis) cottonlanding.Millis {
	return span + span/driftDivisor + leaseMargin
}

// SetWorkers takes in the list of workers. One that is no longer listed gets
// nothing new and is forgotten once nothing can run on it.
func (c *Cell) SetWorkers(infos []cottonlanding.WorkerInfo, now cottonlanding.Millis) {
	listed := make(map[cottonlanding.WorkerID]bool, len(infos))
	c.dropEnded(infos)
	for _, info := range infos {
		if ended, known := c.ended[info.ID]; known && ended.bars(info) {
			continue // its entry stays for some seconds
		}
		listed[info.ID] = true
		if lives := c.openLivesByWorker[info.ID]; lives != nil {
			lives.address = info.Address
		}
		w := c.workers[info.ID]
		if w == nil {
			w = c.addWorker(info, now)
			c.log.Info("worker listed", "Worker", info.ID, "Born", info.Born, "Address", info.Address, "State", info.State)
		}
		if w.info.State != info.State {
			c.log.Info("worker changed", "Worker", info.ID, "From", w.info.State, "To", info.State)
		}
		w.describe(info)
		c.updateEvacuated(w)
	}
	c.listRead = c.listRead || len(infos) > 0
	for _, w := range c.sortedWorkers() {
		if w.listed && !listed[w.info.ID] {
			c.log.Info("worker no longer listed", "Worker", w.info.ID, "Runs", w.runs.size())
		}
		w.listed = listed[w.info.ID]
		w.unlistedAlive = w.unlistedAlive && !w.listed
		if w.listed {
			continue
		}
		if w.runs.size() == 0 {
			c.forgetWorker(w.info.ID)
		}
	}
	c.settleSuccessors(now)
}

func (c *Cell) forgetWorker(id cottonlanding.WorkerID) {
	delete(c.workers, id)
	c.sorted = nil
}

// loss is why the runs of a worker are given up.
type loss string

// The reasons, which the log shows.
const (
	lossBySuccessor loss = "another life has its address"
	lossByAnswer    loss = "another worker answered"
	lossByBirth     loss = "its worker is in another life"
	lossByLapse     loss = "its lease surely ran out"
)

// loseWorker ends all runs of a life that has surely ended, or of a worker that runs nothing
// any more.
func (c *Cell) loseWorker(w *worker, now cottonlanding.Millis, why loss) {
	c.loseRuns(w, w.runs.snapshot(), now, why)
}

// loseRuns ends runs that are lost with a life.
func (c *Cell) loseRuns(w *worker, runs []*run, now cottonlanding.Millis, why loss) {
	c.logLost(w, runs, now, why)
	convicted := c.blame(w, runs, why, now)
	for _, r := range runs {
		c.counts.Lost++
		c.recordDown(r, string(why), now)
		if why == lossByBirth {
			c.loseEarlier(r, now)
			continue
		}
		c.dropRun(r, now)
	}
	c.giveUp(convicted, now)
}

// Attends reports whether the cell wants to hear of a worker.
func (c *Cell) Attends(id cottonlanding.WorkerID) bool { return c.workers[id] != nil }

// addRun puts a run on the worker.
func (w *worker) addRun(r *run) {
	w.runs.add(r)
	w.changed()
}

// removeRun takes a run off the worker.
func (w *worker) removeRun(key cottonlanding.RunKey) {
	w.runs.remove(key)
	w.changed()
}

// changed notes that the worker's room or orders must be looked at anew.
func (w *worker) changed() {
	w.measuredAt = 0
	w.ordersDue = true
}

// usable reports whether the worker may get a new run.
func (w *worker) usable(now cottonlanding.Millis) bool {
	return w.listed && w.described() && !w.cordoned() && w.reachable(now) && now >= w.blockedUntil
}

// leaving reports whether the worker is known to end soon.
func (w *worker) leaving() bool { return w.info.State == cottonlanding.Leaving }

// reachable reports whether the worker answered lately.
func (w *worker) reachable(now cottonlanding.Millis) bool {
	return w.reading > 0 && !w.failed && now-w.answered < reachableWithin
}
