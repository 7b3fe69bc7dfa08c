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
	// maxAnswerAge is how fresh a worker's last answer must be for it to get a
	// start: two long looks.
	maxAnswerAge = 3 * cottonlanding.Second
	// idlePollWait is how long an idle worker may hold back its answer to a look.
	idlePollWait = 2 * cottonlanding.Second
	// busyPollWait is the same for a worker that runs something, so that progress and
	// latencies are seen about once a second.
	busyPollWait = 800 * cottonlanding.Millis(1)
	// overTargetPollWait is the same while a serving task needs watching: its figures are
	// those of half a second.
	overTargetPollWait = 400 * cottonlanding.Millis(1)
	// silenceTimeout is for how long a worker must have given an owner no answer, from the first
	// look that failed, to count as asked: one answer may come too late or get lost. The
	// looks of a slow owner then have had time for three tries.
	silenceTimeout = 3 * cottonlanding.Second
	// pollRetryInterval is the pause after a look that failed.
	pollRetryInterval = 300 * cottonlanding.Millis(1)
	// fullPercent is the progress of a lasting task that is at work.
	fullPercent = 100
	// uncommittedEndsTimeout bounds how long a look waits for the ends of the last one to be
	// committed, so that leases are renewed while the table is out.
	uncommittedEndsTimeout = cottonlanding.Second
)

// phase is how far a run has come.
type phase int

const (
	// planned runs are not committed yet; nothing was sent.
	planned phase = iota
	// committed runs are committed and may be sent.
	committed
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
	// startedByOtherLife says that another life than the one that was meant took the start, so that sentAt tells
	// nothing of when the run began.
	startedByOtherLife bool
	// outlived says that the worker has listed it for longer than a task needs that crashes the worker.
	outlived bool
	// lossCounted says that its loss has counted against its task, suspected that it did as a crash.
	lossCounted  bool
	crashCounted bool

	// sentAt is when the last start went out: which of those without an answer began the run is
	// not known.
	sentAt cottonlanding.Millis
	// firstSentAt is when the first start of this owner went out.
	firstSentAt cottonlanding.Millis
	// startDeadline is when the worker takes none of this owner's starts any more, by its clock.
	startDeadline cottonlanding.Reading
	// lateStarts counts the starts that the worker refused as too late, unansweredStarts those that got no answer.
	lateStarts, unansweredStarts int
	// retriesSincePoll counts the starts that were repeated since the worker last answered a look.
	retriesSincePoll int
	// ackedAt is when the worker said that it started the run, listedAt when it last listed it.
	ackedAt  cottonlanding.Millis
	listedAt cottonlanding.Millis
	// nextTry is when the next order for the run may be sent, ordered says that
	// one is under way.
	nextTry       cottonlanding.Millis
	orderInFlight bool
	// startUnconfirmed says that a copy of the start may still be on its way.
	startUnconfirmed bool

	// stopping says that the run must end; stopAcked when the worker last took that.
	stopping      bool
	stopReason    string
	lastStopAckAt cottonlanding.Millis
	// stopRequestedAt is when the run was marked, stopSentAt when its first stop that was
	// answered or timed out left this process, stopTries how many were given out.
	stopRequestedAt cottonlanding.Millis
	stopSentAt      cottonlanding.Millis
	stopTries       int
	// nextStop is when the next stop may be sent, stopOrdered says that one is under way.
	nextStop     cottonlanding.Millis
	stopInFlight bool
	// unwanted is stopping for those who send orders, while the cell is busy.
	unwanted atomic.Bool
	// firstStopAckAt is when the worker first took that: from then on it never starts the
	// run, however often it is told again.
	firstStopAckAt cottonlanding.Millis

	percent      int
	tailLatency  cottonlanding.Millis
	used         cottonlanding.Millicores
	progressedAt cottonlanding.Millis // when percent last grew
	pace         int                  // as last taken by the worker
	paceGoal     int
	paceSince    cottonlanding.Millis // when the pace became zero
	// resendPaceAt is when the pace is to be ordered once more, or zero.
	resendPaceAt cottonlanding.Millis
	// overTargetSince is when a serving task was first seen over its target, or zero.
	overTargetSince cottonlanding.Millis
	// sampledAt is when the last figure of a serving task was taken in.
	sampledAt cottonlanding.Millis
	placedAt  cottonlanding.Millis
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
	previous    []cottonlanding.Birth
	predecessor *worker
	// lifeUnconfirmed says that since its last answer something showed that the worker may be in another
	// life, unanswered that an order got no answer, which another life may have taken.
	lifeUnconfirmed bool
	orderUnanswered bool
	// knownSince is when the owner first knew of the worker.
	knownSince cottonlanding.Millis
	// unprovokedEnds counts the earlier lives that this owner has seen to end with nothing there that had just
	// begun, the last at endSeenAt.
	unprovokedEnds      int
	lastUnprovokedEndAt cottonlanding.Millis
	// predecessorAnswered says that this owner has seen the life before end, with a run that stood out for each task
	// of suspectsBefore.
	predecessorAnswered bool
	predecessorSuspects []*task
	// answeredUnlisted says that the worker answered when its entry had gone: it is leaving.
	answeredUnlisted bool
	runs             runSet
	// ordersDue says that a run may need an order, now or once a pause has passed.
	ordersDue bool

	// reading is the worker's clock as of the answer that arrived at readAt.
	reading cottonlanding.Reading
	readAt  cottonlanding.Millis
	// grantedUntil is the end of the longest lease of this owner, on the worker's clock.
	grantedUntil cottonlanding.Reading
	// leaseBound is the latest instant at which a lease of any owner can end.
	leaseBound cottonlanding.Millis

	// polled says that a look of this owner got an answer, or that none did for long.
	polled bool
	// lastAnswerAt is when the last answer to a look came, askedAt when that look was sent, failed says that the
	// last look got none.
	lastAnswerAt         cottonlanding.Millis
	lastAnswerPollSentAt cottonlanding.Millis
	pollFailed           bool
	// pollFailedSince is when the first of the looks that failed since the last answer did.
	pollFailedSince cottonlanding.Millis
	nextPollAt      cottonlanding.Millis
	// lastContactAt is when the worker last answered anything, unansweredSince when it was given
	// the first order since; zero if there is none.
	lastContactAt   cottonlanding.Millis
	unansweredSince cottonlanding.Millis
	// dataCentreSilent says that its data centre is silent.
	dataCentreSilent bool

	// receivedEnd is the last end taken in, seen the last whose consequences are committed, and
	// forgotten the last of those that the worker surely doesn't list any more.
	receivedEnd     uint64
	committedEnd    uint64
	acknowledgedEnd uint64
	// uncommittedSince is when noted moved ahead of seen.
	uncommittedSince cottonlanding.Millis

	health health
	// heldFor is the task for which the worker is kept free, until keptUntil at most.
	heldFor   *task
	heldUntil cottonlanding.Millis
	// fillingSeenAt is when a filling task was last seen here.
	fillingSeenAt cottonlanding.Millis
	// overTarget says that a serving task is over its aim.
	overTarget bool
	// room is what was left at measuredAt; zero says that it must be measured anew.
	room           room
	roomMeasuredAt cottonlanding.Millis
	// startsBlockedUntil is when the worker may get a start again after it refused one.
	startsBlockedUntil cottonlanding.Millis
	// lastAssignedAt is when the worker was last given a task. apartRun is the last that runs apart,
	// until apartUntil or its end.
	lastAssignedAt cottonlanding.Millis
	isolatedRun    *run
	isolatedUntil  cottonlanding.Millis
}

func (c *Cell) addWorker(info cottonlanding.WorkerInfo, now cottonlanding.Millis) *worker {
	w := &worker{info: info, runs: newRunSet(), knownSince: now}
	w.leaseBound = max(now, c.earlierOwnersBound())
	c.inheritBound(w, now)
	c.updateEvacuated(w)
	_, w.dataCentreSilent = c.silentSince[info.DataCentre]
	c.workers[info.ID] = w
	c.sorted = nil
	return w
}

// withDriftMargin returns how long a span of a worker's clock takes at most.
func withDriftMargin(span cottonlanding.Millis) cottonlanding.Millis {
	return span + span/driftDivisor + leaseMargin
}

// SetWorkers takes in the list of workers. One that is no longer listed gets
// nothing new and is forgotten once nothing can run on it.
func (c *Cell) SetWorkers(infos []cottonlanding.WorkerInfo, now cottonlanding.Millis) {
	listed := make(map[cottonlanding.WorkerID]bool, len(infos))
	c.pruneEndedLives(infos)
	for _, info := range infos {
		if ended, known := c.ended[info.ID]; known && ended.matches(info) {
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
		w.applyEntry(info)
		c.updateEvacuated(w)
	}
	c.listRead = c.listRead || len(infos) > 0
	for _, w := range c.sortedWorkers() {
		if w.listed && !listed[w.info.ID] {
			c.log.Info("worker no longer listed", "Worker", w.info.ID, "Runs", w.runs.size())
		}
		w.listed = listed[w.info.ID]
		w.answeredUnlisted = w.answeredUnlisted && !w.listed
		if w.listed {
			continue
		}
		if w.runs.size() == 0 {
			c.forgetWorker(w.info.ID)
		}
	}
	c.endReplacedWorkers(now)
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
	faultyTasks := c.attributeCrash(w, runs, why, now)
	for _, r := range runs {
		c.counts.Lost++
		c.recordDown(r, string(why), now)
		if why == lossByBirth {
			c.loseEarlierRun(r, now)
			continue
		}
		c.dropRun(r, now)
	}
	c.failFaultyWorkflows(faultyTasks, now)
}

// HasWorker reports whether the cell wants to hear of a worker.
func (c *Cell) HasWorker(id cottonlanding.WorkerID) bool { return c.workers[id] != nil }

// addRun puts a run on the worker.
func (w *worker) addRun(r *run) {
	w.runs.add(r)
	w.markChanged()
}

// removeRun takes a run off the worker.
func (w *worker) removeRun(key cottonlanding.RunKey) {
	w.runs.remove(key)
	w.markChanged()
}

// markChanged notes that the worker's room or orders must be looked at anew.
func (w *worker) markChanged() {
	w.roomMeasuredAt = 0
	w.ordersDue = true
}

// usable reports whether the worker may get a new run.
func (w *worker) usable(now cottonlanding.Millis) bool {
	return w.listed && w.entryIsCurrent() && !w.cordoned() && w.reachable(now) && now >= w.startsBlockedUntil
}

// leaving reports whether the worker is known to end soon.
func (w *worker) leaving() bool { return w.info.State == cottonlanding.Leaving }

// reachable reports whether the worker answered lately.
func (w *worker) reachable(now cottonlanding.Millis) bool {
	return w.reading > 0 && !w.pollFailed && now-w.lastAnswerAt < maxAnswerAge
}
