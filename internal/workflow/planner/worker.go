package planner

import (
	"sync/atomic"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// driftDivisor bounds clock drift: workers guarantee that their lease clocks run at most 1/50 slow.
	driftDivisor = 50
	// leaseMargin covers lease timers that fire late on the worker.
	leaseMargin = 100 * cottonlanding.Millis(1)
	// maxAnswerAge is the maximum age of a worker's last poll answer for it to get a start. It exceeds idlePollWait,
	// so that an idle worker stays reachable between two answers.
	maxAnswerAge = 3 * cottonlanding.Second
	// idlePollWait is how long an idle worker may hold back its answer to a poll.
	idlePollWait = 2 * cottonlanding.Second
	// busyPollWait is idlePollWait for a worker with runs, so that progress and latencies are seen about once a
	// second.
	busyPollWait = 800 * cottonlanding.Millis(1)
	// overTargetPollWait is idlePollWait while the worker's serving tasks are watched closely; their measurements
	// cover half a second.
	overTargetPollWait = 400 * cottonlanding.Millis(1)
	// silenceTimeout is how long a worker must have left an owner's polls unanswered, counted from the first one that
	// failed, to count as polled. A single answer may be late or lost; within this time even a slow owner has polled
	// three times.
	silenceTimeout = 3 * cottonlanding.Second
	// pollRetryInterval is the pause after a failed poll.
	pollRetryInterval = 300 * cottonlanding.Millis(1)
	// fullPercent is the progress that a lasting task reports while it is at work.
	fullPercent = 100
	// uncommittedEndsTimeout bounds how long a poll waits for the ends of the previous answer to be committed. Polls
	// go on after it, so that leases are renewed while the table is unavailable.
	uncommittedEndsTimeout = cottonlanding.Second
	// shortUncommittedEndsTimeout is the same with CommitsCallersFirst. It is shorter than a slow commit, so that an end
	// which is listed after others becomes known in time for the next plan: with a second, and commits of 0.85 s, half
	// of the starts of priority 0 came 0.6 s later.
	shortUncommittedEndsTimeout = 500 * cottonlanding.Millis(1)
)

// phase is the progress of a run's start.
type phase int

const (
	// planned runs are not committed yet; no start was sent.
	planned phase = iota
	// committed runs may be sent.
	committed
	// sent runs may have started: a start was issued, which may still be queued in the driver.
	sent
	// started runs are known to have started.
	started
)

// run is one run of a task on a worker. It reserves its resources until it is certain that it has ended.
type run struct {
	cottonlanding.RunKey
	task *task // nil if no task owns the run any more
	// stray is the task of a run that none asks for.
	stray  *task
	worker *worker
	step   cottonlanding.Step
	phase  phase
	// life is the life of the worker on which this owner placed the run or took it over, worker its present life; born
	// is the birth of the former as in the task's row.
	life *worker
	born cottonlanding.Birth
	// startedByOtherLife says that another life than the intended one took the start, so that sentAt doesn't bound
	// when the run began.
	startedByOtherLife bool
	// outlastedPromptWindow says that the worker listed the run for promptWindow, longer than a task that crashes the
	// worker on start would last.
	outlastedPromptWindow bool
	// lossCounted says that the loss of the run was counted against its task, crashCounted that it was counted as a
	// crash.
	lossCounted  bool
	crashCounted bool

	// sentAt is when the last start was issued, corrected by its answer to when the driver sent it. Which of several
	// unanswered starts began the run is unknown.
	sentAt cottonlanding.Millis
	// firstSentAt is when this owner issued the first start.
	firstSentAt cottonlanding.Millis
	// startDeadline is the reading of the worker's clock after which it refuses all starts of this owner.
	startDeadline cottonlanding.Reading
	// lateStarts counts the starts that the worker refused as expired, unansweredStarts those without an answer.
	lateStarts, unansweredStarts int
	// retriesSincePoll counts the starts repeated since the worker last answered a poll.
	retriesSincePoll int
	// ackedAt is when the worker confirmed the start, listedAt when it last listed the run.
	ackedAt  cottonlanding.Millis
	listedAt cottonlanding.Millis
	// nextTry is when the next order for the run may be sent, orderInFlight says that one is unanswered.
	nextTry       cottonlanding.Millis
	orderInFlight bool
	// startUnconfirmed says that a start without an answer may still take effect.
	startUnconfirmed bool
	// startInFlight says that the answer to a start may still come. pendingStarts counts the starts that got none and may
	// still be carried out, the last of which was sent at lastPendingAt; startAnswered says that another one was carried
	// out. startEpoch is the highest epoch of a start of this owner.
	startInFlight bool
	startAnswered bool
	pendingStarts int
	lastPendingAt cottonlanding.Millis
	startEpoch    cottonlanding.Epoch

	// stopping says that the run must end. It is ruled out once its worker refuses all its starts and doesn't list it,
	// after which its task may run again. lastStopAckAt is when the worker last acknowledged a stop.
	stopping      bool
	stopReason    string
	lastStopAckAt cottonlanding.Millis
	// stopRequestedAt is when stopping was set, stopSentAt when the first stop that was answered or timed out was
	// sent, stopTries the number of stops issued.
	stopRequestedAt cottonlanding.Millis
	stopSentAt      cottonlanding.Millis
	stopTries       int
	// nextStop is when the next stop may be sent, stopInFlight says that one is unanswered.
	nextStop     cottonlanding.Millis
	stopInFlight bool
	// unwanted says that no start of the run may be sent: it is stopping, or its data centre is evacuated. The senders
	// of orders read it while the cell is busy.
	unwanted atomic.Bool
	// firstStopAckAt is when the worker first acknowledged a stop. From then on it refuses all starts of the run.
	firstStopAckAt cottonlanding.Millis

	// fullSpeedTime is how long a filling run would have taken at full speed until its last sample, at speedAt; speed
	// is the fraction of full speed in that sample.
	fullSpeedTime, speed float64
	speedAt              cottonlanding.Millis

	percent      int
	tailLatency  cottonlanding.Millis
	used         cottonlanding.Millicores
	progressedAt cottonlanding.Millis // when percent last grew
	pace         int                  // as last acknowledged by the worker
	paceGoal     int
	paceSince    cottonlanding.Millis // when the pace became zero
	// resendPaceAt is when the pace is to be sent again, or zero.
	resendPaceAt cottonlanding.Millis
	// overTargetSince is when a serving task was first seen over its latency target, or zero.
	overTargetSince cottonlanding.Millis
	// sampledAt is when the last measurement of a serving task was recorded.
	sampledAt cottonlanding.Millis
	placedAt  cottonlanding.Millis
}

// worker is what this owner knows of one life of a worker.
type worker struct {
	info   cottonlanding.WorkerInfo
	listed bool
	// evacuated says that nothing new may be placed in the worker's data centre.
	evacuated bool
	// born is the birth of the life as in its poll answers, previous the births of earlier lives, previousLife the
	// life before this one while its runs are unsettled.
	born         cottonlanding.Birth
	previous     []cottonlanding.Birth
	previousLife *worker
	// lifeUnconfirmed says that something since the last poll answer indicates that the worker may be in another
	// life, orderUnanswered that an order got no answer, so that another life may have taken it.
	lifeUnconfirmed bool
	orderUnanswered bool
	// knownSince is when the owner first saw the worker.
	knownSince cottonlanding.Millis
	// unprovokedEnds counts the earlier lives that this owner saw end without a run that had just begun there; the
	// last was seen at lastUnprovokedEndAt.
	unprovokedEnds      int
	lastUnprovokedEndAt cottonlanding.Millis
	// previousLifeAnswered says that this owner had poll answers of the previous life, previousLifeSuspects holds the
	// tasks whose runs stood out when it ended.
	previousLifeAnswered bool
	previousLifeSuspects []*task
	// answeredUnlisted says that the worker answered a poll after its list entry was removed: it is leaving.
	answeredUnlisted bool
	runs             runSet
	// expired holds the runs that were given up since the last poll answer because their leases had ended.
	expired []*run
	// ordersDue says that a run may need an order, now or after a retry interval.
	ordersDue bool

	// reading is the worker's clock in the answer that arrived at readAt.
	reading cottonlanding.Reading
	readAt  cottonlanding.Millis
	// grantedUntil is the end of the longest lease of this owner, on the worker's clock.
	grantedUntil cottonlanding.Reading
	// bound is the latest instant at which a lease of any owner on this life can end.
	bound bound
	// epoch is that of the calls to this life. fenced says that it has answered a poll of that epoch, so that it refuses
	// all calls that were sent before it was known.
	epoch  cottonlanding.Epoch
	fenced bool
	// followsAnother says that an owner knew another life under the id. Until adopted.until, this one may hold leases that
	// it adopted from calls to that one.
	followsAnother bool
	adopted        adoption
	// lastLeaseAt is when a call that extends leases was last issued or sent under the worker's id, as far as this owner
	// knows.
	lastLeaseAt cottonlanding.Millis
	// earlierPendingUntil is until when a run may go on whose start an earlier owner sent without an answer, if the worker
	// is in another life. It is known if that owner has stored the worker's bound.
	earlierPendingUntil cottonlanding.Millis
	earlierPendingKnown bool

	// polled says that a poll of this owner was answered, or that its polls failed for silenceTimeout.
	polled bool
	// lastAnswerAt is when the last poll answer came, lastAnswerPollSentAt when its poll was sent, pollFailed says
	// that the last poll got no answer.
	lastAnswerAt cottonlanding.Millis
	// endUncertainty is for how long the runs may have ended before the poll that brought their ends was sent.
	endUncertainty       cottonlanding.Millis
	lastAnswerPollSentAt cottonlanding.Millis
	pollFailed           bool
	// pollFailedSince is when the first poll since the last answer failed.
	pollFailedSince cottonlanding.Millis
	nextPollAt      cottonlanding.Millis
	// lastContactAt is when the worker last answered a poll or an order, unansweredSince when the first order since
	// then was issued to it, or zero.
	lastContactAt   cottonlanding.Millis
	unansweredSince cottonlanding.Millis
	// dataCentreSilent says that the worker's data centre is silent.
	dataCentreSilent bool

	// The worker numbers its ends. receivedEnd is the last one received, committedEnd the last one whose consequences
	// are committed, and acknowledgedEnd the last one that the worker is certain to have forgotten.
	receivedEnd     uint64
	committedEnd    uint64
	acknowledgedEnd uint64
	// uncommittedEnds holds the ends after committedEnd, in order.
	uncommittedEnds []uncommittedEnd
	// uncommittedSince is since when receivedEnd has been ahead of committedEnd.
	uncommittedSince cottonlanding.Millis

	health health
	// heldFor is the task for which the worker is held free, until heldUntil at the latest.
	heldFor   *task
	heldUntil cottonlanding.Millis
	// fillingSeenAt is when a filling task was last seen here.
	fillingSeenAt cottonlanding.Millis
	// overTarget says that a serving task exceeds its utilization goal, or that a filling task is on trial beside it.
	overTarget bool
	// room is what was free at roomMeasuredAt; zero has it computed again.
	room           room
	roomMeasuredAt cottonlanding.Millis
	// startsBlockedUntil is when the worker may get a start again after it refused one.
	startsBlockedUntil cottonlanding.Millis
	// lastAssignedAt is when the worker was last assigned a task. isolatedRun is the last run that began in
	// isolation, which lasts until isolatedUntil or the run's end.
	lastAssignedAt cottonlanding.Millis
	isolatedRun    *run
	isolatedUntil  cottonlanding.Millis
}

func (c *Cell) addWorker(info cottonlanding.WorkerInfo, now cottonlanding.Millis) *worker {
	w := &worker{info: info, runs: newRunSet(), knownSince: now, epoch: c.firstEpoch(info.ID), lastLeaseAt: max(now, c.setup.BeforeUntil)}
	c.inheritBounds(w, now)
	c.updateEvacuated(w)
	_, w.dataCentreSilent = c.silentSince[info.DataCentre]
	c.workers[info.ID] = w
	c.sorted = nil
	return w
}

// withDriftMargin returns the maximum real duration of a span on a worker's clock.
func withDriftMargin(span cottonlanding.Millis) cottonlanding.Millis {
	return span + span/driftDivisor + leaseMargin
}

// SetWorkers replaces the list of workers. A worker that is no longer listed gets nothing new and is forgotten once
// nothing can run on it.
func (c *Cell) SetWorkers(infos []cottonlanding.WorkerInfo, now cottonlanding.Millis) {
	listed := make(map[cottonlanding.WorkerID]bool, len(infos))
	c.pruneEndedLives(infos)
	for _, info := range infos {
		if ended, known := c.ended[info.ID]; known && ended.matches(info) {
			continue // the entry of an ended life stays listed for some seconds
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
			c.log.Info("worker state changed", "Worker", info.ID, "From", w.info.State, "To", info.State)
		}
		w.applyEntry(info)
		c.updateEvacuated(w)
	}
	c.listRead = c.listRead || len(infos) > 0
	for _, w := range c.sortedWorkers() {
		if w.listed && !listed[w.info.ID] {
			c.log.Info("worker removed from list", "Worker", w.info.ID, "Runs", w.runs.size())
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
	if w := c.workers[id]; w != nil {
		c.rememberLife(w)
	}
	delete(c.workers, id)
	c.sorted = nil
}

// loss is the reason why a worker's runs count as lost. What is known of the loss of one run is a RunLoss.
type loss string

// The reasons of losses, which are logged.
const (
	lossByReplacement loss = "another life has its address"
	lossByAnswer      loss = "another worker answered"
	lossByBirth       loss = "its worker is in another life"
	lossByExpiry      loss = "its lease surely ran out"
)

// loseWorker ends all runs of a life that is certain to have ended, or of a worker whose leases are certain to have
// expired.
func (c *Cell) loseWorker(w *worker, now cottonlanding.Millis, why loss) {
	c.loseRuns(w, w.runs.snapshot(), now, why)
}

// loseRuns ends runs that are lost with a life, and fails the workflows whose tasks are the cause.
func (c *Cell) loseRuns(w *worker, runs []*run, now cottonlanding.Millis, why loss) {
	c.logLost(w, runs, now, why)
	faultyTasks := c.attributeCrash(w, runs, why, now)
	if why == lossByExpiry {
		w.expired = append(w.expired, runs...)
	}
	for _, r := range runs {
		c.counts.Lost++
		c.beginDowntimeAfterRun(r, string(why), now)
		if why == lossByBirth {
			c.loseEarlierRun(r, now)
			continue
		}
		c.dropRun(r, now)
	}
	c.failFaultyWorkflows(faultyTasks, now)
}

// HasWorker reports whether the cell polls the worker.
func (c *Cell) HasWorker(id cottonlanding.WorkerID) bool { return c.workers[id] != nil }

func (w *worker) addRun(r *run) {
	w.runs.add(r)
	if r.stray != nil {
		r.stray.strays++
	}
	w.markChanged()
}

func (w *worker) removeRun(key cottonlanding.RunKey) {
	if r := w.runs.get(key); r != nil && r.stray != nil {
		r.stray.strays--
	}
	w.runs.remove(key)
	w.markChanged()
}

// markChanged has the worker's free resources and due orders computed again.
func (w *worker) markChanged() {
	w.roomMeasuredAt = 0
	w.ordersDue = true
}

// usable reports whether the worker may get a new run.
func (w *worker) usable(now cottonlanding.Millis) bool {
	return w.listed && w.entryIsCurrent() && w.fenced && !w.cordoned() && w.reachable(now) && now >= w.startsBlockedUntil
}

// leaving reports whether the worker has announced that it will end.
func (w *worker) leaving() bool { return w.info.State == cottonlanding.Leaving }

// reachable reports whether the worker's last poll was answered and that answer is recent enough for a start.
func (w *worker) reachable(now cottonlanding.Millis) bool {
	return w.reading > 0 && !w.pollFailed && now-w.lastAnswerAt < maxAnswerAge
}
