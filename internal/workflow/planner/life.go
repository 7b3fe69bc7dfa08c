package planner

import (
	"cmp"
	"errors"
	"math"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A worker that has crashed may be back under its id within milliseconds. What it then lists is
// numbered from one, its clock begins anew, and it has seen no owner and no stop. So a worker
// value holds what is known of one life, and the next life gets a value of its own: no number,
// reading, lease, figure or judgement passes over by being forgotten somewhere.
//
// Which life a worker is in is decided by its answers to looks. They come one after the other,
// while entries of the list may be read seconds late; an entry only casts doubt. No order
// names a birth, so that the next life may take what was meant for the one before.

// unconfirmedPollWait is how long a worker may hold back its answer to a look that is to show which
// life it is in. It isn't zero, so that a silent worker takes no place among prompt looks.
const unconfirmedPollWait = 50 * cottonlanding.Millis(1)

// readingTolerance is by how much a clock must be behind to have gone back. It covers that readings and
// our own instants are whole milliseconds, so that answers may cross within one: a look that was
// sent just before another answer came showed a clock 1 ms behind, and a sound life was taken for
// ended. A life that is back begins its clock anew, far behind but in its first moments.
const readingTolerance cottonlanding.Reading = 100

// maxEarlierBirths is how many earlier lives of a worker are known, so that their entries, read late,
// aren't taken for news.
const maxEarlierBirths = 4

// life names the life of the worker that answers, or that its entry tells of before one has.
func (w *worker) life() cottonlanding.Life {
	if w.born != 0 {
		return cottonlanding.Life{Worker: w.info.ID, Born: w.born}
	}
	return w.info.Life()
}

func (w *worker) ref() cottonlanding.WorkerRef {
	return cottonlanding.WorkerRef{Life: w.life(), Address: w.info.Address}
}

// entryIsCurrent reports whether the entry is of the life that answers. Another life may be of
// another kind and have other room.
func (w *worker) entryIsCurrent() bool { return !w.info.Born.IsOtherThan(w.born) }

// applyEntry takes in a worker's entry. One of an earlier life was read late and tells nothing;
// one of a life that nobody has heard of says that there may be another one by now.
func (w *worker) applyEntry(info cottonlanding.WorkerInfo) {
	if info.Born != 0 && slices.Contains(w.previous, info.Born) {
		return
	}
	if info.Born.IsOtherThan(w.born) {
		w.lifeUnconfirmed = true
	}
	w.info = info
	w.markChanged()
}

// clockRegressed reports whether a worker's clock has not gone on as a steady one does since its last
// answer to a look, if an order was sent later: another life has taken the order, with a lease
// that is cut to the longest.
func (w *worker) clockRegressed(reading cottonlanding.Reading, sentAt cottonlanding.Millis) bool {
	if reading == 0 || w.reading == 0 || sentAt < w.readAt {
		return false
	}
	passed := sentAt - w.readAt
	return reading+readingTolerance < w.reading+cottonlanding.Reading(passed-passed/driftDivisor)
}

// isOtherLife reports whether an answer is of another life than those before. Without births a
// clock that has gone back tells: it is steady within a life.
func (w *worker) isOtherLife(report cottonlanding.RunReport, sentAt cottonlanding.Millis) bool {
	if w.born != 0 && report.Born != 0 {
		return report.Born != w.born
	}
	return w.reading > 0 && sentAt > w.readAt && report.Reading+readingTolerance < w.reading
}

// identifyLife takes in which life an answer is of, and returns the worker in that life. Whatever
// belongs to an earlier one is settled when it returns.
func (c *Cell) identifyLife(w *worker, report cottonlanding.RunReport, sentAt, now cottonlanding.Millis) *worker {
	switch {
	case w.isOtherLife(report, sentAt):
		w = c.replaceByNextLife(w, report.Born, now)
	case w.born == 0 && report.Born != 0:
		w.born = report.Born
		c.log.Info("life of a worker known", "Worker", w.info.ID, "Born", w.born, "Listed", w.info.Born, "Runs", w.runs.size())
	default:
		return w
	}
	c.settleEarlierRuns(w, report, sentAt, now)
	return w
}

// replaceByNextLife puts another life in a worker's place. The runs of the one before go with it, to be
// settled.
func (c *Cell) replaceByNextLife(previous *worker, born cottonlanding.Birth, now cottonlanding.Millis) *worker {
	if !previous.pollFailed {
		c.recordOutage(previous, now) // it was back before a look could fail: others may have crashed with it
	}
	w := c.addWorker(previous.info, now)
	w.born, w.listed, w.predecessor = born, previous.listed, previous
	w.recordPredecessorEnd(previous, now)
	w.previous = append(slices.Clone(previous.previous), previous.born)
	w.previous = w.previous[max(0, len(w.previous)-maxEarlierBirths):]
	// Leases reckoned by the clock of the life before may have reached this one, which cuts
	// them to the longest.
	w.leaseBound = max(previous.leaseBound, now+withDriftMargin(c.timing.MaxLease))
	c.log.Warn("another life of a worker", "Worker", w.info.ID, "Before", previous.born, "Born", born, "Listed", w.info.Born,
		"LastAnswer", now-previous.lastAnswerAt, "SilentFor", now-previous.lostContactAt(now), "Noted", previous.receivedEnd, "Runs", previous.runs.size())
	for _, r := range previous.runs.snapshot() {
		previous.removeRun(r.RunKey)
		r.worker = w
		w.addRun(r)
	}
	return w
}

// lifeRef names the life on which the run was placed.
func (r *run) lifeRef() cottonlanding.Life {
	return cottonlanding.Life{Worker: r.worker.info.ID, Born: r.born}
}

// isOnEarlierLife reports whether a run was placed on an earlier life of its worker, by this owner or
// by one before.
func (r *run) isOnEarlierLife() bool {
	return r.worker.predecessor != nil && r.life == r.worker.predecessor || r.born.IsOtherThan(r.worker.born)
}

// listsRun reports whether a worker listsRun a run, as going on or as ended.
func listsRun(report cottonlanding.RunReport, key cottonlanding.RunKey) bool {
	return slices.ContainsFunc(report.Running, func(p cottonlanding.RunProgress) bool { return p.RunKey == key }) ||
		slices.ContainsFunc(report.Ended, func(e cottonlanding.RunEnd) bool { return e.RunKey == key })
}

// moveToCurrentLife makes a run one of the present life of its worker, which has been told nothing of it yet.
func (r *run) moveToCurrentLife() {
	r.life, r.born = r.worker, r.worker.born
	r.lastStopAckAt, r.firstStopAckAt, r.nextStop = 0, 0, 0
	r.startDeadline = math.MaxInt64 // starts bring leases by the clock of the life before
	r.worker.markChanged()
}

// recordStartedByCurrentLife makes a run that the present life lists that life's own: it took a copy of the start that
// was meant for one before. When the run began there, what it has shown and at which pace tells
// nothing of this life, nor that its loss with the one before has counted.
func (c *Cell) recordStartedByCurrentLife(r *run) {
	r.moveToCurrentLife()
	r.startedByOtherLife = true
	r.phase, r.ackedAt, r.listedAt = sent, 0, 0
	r.percent, r.tailLatency, r.used = 0, 0, 0
	r.overTargetSince, r.sampledAt, r.resendPaceAt = 0, 0, 0
	r.lossCounted, r.crashCounted, r.outlived = false, false, false
	r.pace = fullPace
	if r.step.Fills {
		r.pace = unknownPace // a late copy of an order of pace may have reached it too
	}
	if t := r.task; t != nil && t.run == r {
		t.setLife(r.worker.life())
		c.markDirty(t.job)
	}
}

// settleEarlierRuns settles the runs that were placed on an earlier life of a worker, by what the
// present one lists: those that it has taken are its own; of those of which a start may still
// reach it, or has since its list was made, the task waits until it has ruled them out; all
// others have ended with the life.
func (c *Cell) settleEarlierRuns(w *worker, report cottonlanding.RunReport, sentAt, now cottonlanding.Millis) {
	// lost holds also those that the present life may have taken since: see loseEarlier.
	var lost, unsent []*run
	for _, r := range w.runs.snapshot() {
		switch {
		case !r.isOnEarlierLife():
		case listsRun(report, r.RunKey):
			c.recordStartedByCurrentLife(r)
		case len(report.Ended) >= maxEndsPerPoll: // others may be left out
			r.moveToCurrentLife()
		case r.phase < sent:
			unsent = append(unsent, r)
		default:
			// The answer to a start names no birth, and may have overtaken the list.
			r.startUnconfirmed = r.startUnconfirmed || r.phase == started && r.ackedAt >= sentAt
			lost = append(lost, r)
		}
	}
	before := cmp.Or(w.predecessor, w)
	w.predecessor = nil
	for _, r := range unsent {
		c.dropRun(r, now)
	}
	if len(lost) > 0 {
		c.loseRuns(before, lost, now, lossByBirth)
	}
}

// loseEarlierRun ends a run of an earlier life, or has it ruled out first in the present one.
func (c *Cell) loseEarlierRun(r *run, now cottonlanding.Millis) {
	if !r.startMayArrive() {
		c.dropRun(r, now)
		return
	}
	r.moveToCurrentLife()
	r.phase = sent
	c.stop(r, "its worker's life has ended, and a start of it may come", now)
}

// startMayArrive reports whether the worker may have taken a start of this owner, or may yet. Those of owners
// before are refused once it has answered a look of this one.
func (r *run) startMayArrive() bool { return r.sentAt > 0 && (r.orderInFlight || r.startUnconfirmed) }

// recordAnswerToEarlierLife takes in the answer to an order that was given to an earlier life: which
// life has taken it is not known.
func (c *Cell) recordAnswerToEarlierLife(r *run, order Order, err error, now cottonlanding.Millis) {
	r.recordAnswered(order.Verb)
	if order.Verb != VerbStart || r.phase == started {
		return
	}
	r.startUnconfirmed = r.startUnconfirmed || err == nil || errors.Is(err, cottonlanding.ErrAmbiguous)
	if !r.startUnconfirmed {
		c.dropRun(r, now)
	}
}

// endedLife is a life that has surely ended and whose entry may stand for a while.
type endedLife struct {
	born    cottonlanding.Birth
	address cottonlanding.Address
}

// matches reports whether an entry is that of the life that has ended. A worker that is back
// under its id has another birth, or else another address.
func (e endedLife) matches(info cottonlanding.WorkerInfo) bool {
	return !info.Born.IsOtherThan(e.born) && info.Address == e.address
}

// recordLifeEnded takes in that another worker answers in place of one: that life never comes back,
// however long its entry stays.
func (c *Cell) recordLifeEnded(w *worker, now cottonlanding.Millis) {
	c.loseWorker(w, now, lossByAnswer)
	c.resolveOpenLives(w.info.ID, assumeEnded, now)
	w.listed = false
	c.ended[w.info.ID] = endedLife{w.life().Born, w.info.Address}
	c.log.Warn("life of a worker ended", "Worker", w.info.ID, "Born", w.life().Born, "Address", w.info.Address, "LastAnswer", now-w.lastAnswerAt)
	c.forgetWorker(w.info.ID)
}

// pruneEndedLives forgets the lives that have ended and are no longer listed.
func (c *Cell) pruneEndedLives(infos []cottonlanding.WorkerInfo) {
	if len(c.ended) == 0 {
		return
	}
	listed := make(map[cottonlanding.WorkerID]bool, len(infos))
	for _, info := range infos {
		if ended, known := c.ended[info.ID]; known {
			listed[info.ID] = ended.matches(info)
		}
	}
	for id := range c.ended {
		if !listed[id] {
			delete(c.ended, id)
		}
	}
}
