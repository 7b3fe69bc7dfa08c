package planner

import (
	"cmp"
	"errors"
	"math"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A worker that crashed may be back under its id within milliseconds. It then numbers its ends from one, its clock
// starts anew, and it has seen no owner and no stop. So a worker value describes one life, and the next life gets a
// new value: no number, reading, lease, measurement or decision is carried over by omission.
//
// Poll answers decide which life a worker is in, because they come one after the other. List entries may be read
// seconds late, so that an entry only makes the life unconfirmed. Orders carry no birth, so that the next life may
// take an order that was meant for the previous one.

// unconfirmedPollWait is how long a worker may hold back its answer to a poll that is to identify its life. It isn't
// zero, so that a silent worker doesn't occupy a slot for prompt polls.
const unconfirmedPollWait = 50 * cottonlanding.Millis(1)

// readingTolerance is how far a clock must be behind to count as restarted. Readings and instants are whole
// milliseconds, so that answers may cross within one: a poll sent just before another answer arrives can show a clock
// 1 ms behind, and without tolerance a sound life would be taken for ended. The clock of a new life starts at zero and
// is far behind except in the first moments of the previous life.
const readingTolerance cottonlanding.Reading = 100

// maxReadingAge is the maximum age of a reading when its answer arrives.
const maxReadingAge = 5 * cottonlanding.Second

// maxEarlierBirths is how many earlier births of a worker are kept to recognize list entries that are read late.
const maxEarlierBirths = 4

// life identifies the life that answers, or before the first answer the life in the list entry.
func (w *worker) life() cottonlanding.Life {
	if w.born != 0 {
		return cottonlanding.Life{Worker: w.info.ID, Born: w.born}
	}
	return w.info.Life()
}

func (w *worker) ref() cottonlanding.WorkerRef {
	return cottonlanding.WorkerRef{Life: w.life(), Address: w.info.Address}
}

// entryIsCurrent reports whether the list entry describes the life that answers. Another life may offer another
// service or have other resources.
func (w *worker) entryIsCurrent() bool { return !w.info.Born.DiffersFrom(w.born) }

// applyEntry applies a worker's list entry. An entry of an earlier life is ignored; one of an unknown life says that
// the worker may have been restarted.
func (w *worker) applyEntry(info cottonlanding.WorkerInfo) {
	if info.Born != 0 && slices.Contains(w.previous, info.Born) {
		return
	}
	if info.Born.DiffersFrom(w.born) {
		w.lifeUnconfirmed = true
	}
	w.info = info
	w.markChanged()
}

// isOtherClock reports whether the answer to an order that was sent after the last poll answer shows a clock too far
// behind or ahead for the same life. Then another life took the order, with a lease cut to the maximum.
func (w *worker) isOtherClock(reading cottonlanding.Reading, sentAt, now cottonlanding.Millis) bool {
	if reading == 0 || w.reading == 0 || sentAt < w.readAt {
		return false
	}
	least, most := sentAt-w.readAt, now-w.readAt+maxReadingAge
	return reading+readingTolerance < w.reading+cottonlanding.Reading(least-least/driftDivisor) ||
		reading > w.reading+cottonlanding.Reading(most+most/driftDivisor)
}

// isOtherLife reports whether an answer comes from another life than earlier answers. Without births, a clock that
// went back shows it: it is monotonic within a life.
func (w *worker) isOtherLife(report cottonlanding.RunReport, sentAt cottonlanding.Millis) bool {
	if w.born != 0 && report.Born != 0 {
		return report.Born != w.born
	}
	return w.reading > 0 && sentAt > w.readAt && report.Reading+readingTolerance < w.reading
}

// identifyLife determines which life an answer comes from and returns the worker in that life. Runs of earlier lives
// are settled when it returns.
func (c *Cell) identifyLife(w *worker, report cottonlanding.RunReport, sentAt, now cottonlanding.Millis) *worker {
	switch {
	case w.isOtherLife(report, sentAt):
		w = c.replaceByNextLife(w, report.Born, report.Reading, now)
	case w.born == 0 && report.Born != 0:
		w.born = report.Born
		w.followsAnother = c.followsAnother(w)
		c.log.Info("life of a worker known", "Worker", w.info.ID, "Born", w.born, "Listed", w.info.Born, "Runs", w.runs.size())
	default:
		return w
	}
	c.settleEarlierRuns(w, report, sentAt, now)
	return w
}

// replaceByNextLife replaces a worker by its next life. The runs of the previous life are moved to it, to be settled.
func (c *Cell) replaceByNextLife(previous *worker, born cottonlanding.Birth, reading cottonlanding.Reading, now cottonlanding.Millis) *worker {
	if !previous.pollFailed {
		c.recordOutage(previous, now) // it was back before a poll could fail: others may have crashed with it
	}
	w := c.addWorker(previous.info, now)
	w.born, w.listed, w.previousLife = born, previous.listed, previous
	w.recordPreviousLifeEnd(previous, now)
	w.previous = append(slices.Clone(previous.previous), previous.born)
	w.previous = w.previous[max(0, len(w.previous)-maxEarlierBirths):]
	w.followsAnother, w.lastLeaseAt = true, previous.lastLeaseAt
	w.epoch = c.nextEpoch(previous.epoch)
	c.boundUnfenced(w, boundByNextLife, now)
	c.log.Warn("another life of a worker", "Worker", w.info.ID, "Before", previous.born, "Born", born, "Listed", w.info.Born,
		"LastAnswer", now-previous.lastAnswerAt, "SilentFor", now-previous.lostContactAt(now), "Noted", previous.receivedEnd, "Runs", previous.runs.size(),
		"ClockBefore", previous.reading, "Clock", reading)
	for _, r := range previous.runs.snapshot() {
		previous.removeRun(r.RunKey)
		r.worker = w
		w.addRun(r)
	}
	return w
}

// lifeRef identifies the life on which the run was placed, by the worker's id and the birth in the task's row.
func (r *run) lifeRef() cottonlanding.Life {
	return cottonlanding.Life{Worker: r.worker.info.ID, Born: r.born}
}

// isOnEarlierLife reports whether a run was placed on an earlier life of its worker, by this owner or a previous one.
func (r *run) isOnEarlierLife() bool {
	return r.worker.previousLife != nil && r.life == r.worker.previousLife || r.born.DiffersFrom(r.worker.born)
}

// listsRun reports whether a worker lists a run as running or ended.
func listsRun(report cottonlanding.RunReport, key cottonlanding.RunKey) bool {
	return slices.ContainsFunc(report.Running, func(p cottonlanding.RunProgress) bool { return p.RunKey == key }) ||
		slices.ContainsFunc(report.Ended, func(e cottonlanding.RunEnd) bool { return e.RunKey == key })
}

// moveToCurrentLife assigns a run to the current life of its worker, which has not been sent anything about it yet.
func (r *run) moveToCurrentLife() {
	r.life, r.born = r.worker, r.worker.born
	r.lastStopAckAt, r.firstStopAckAt, r.nextStop = 0, 0, 0
	r.startDeadline = math.MaxInt64 // the leases of sent starts refer to the previous life's clock
	r.worker.markChanged()
}

// recordStartedByCurrentLife assigns a run to the current life, which lists it: that life took a copy of the start
// that was meant for an earlier one. The run's start time, progress and pace on the earlier life, and the counted
// loss, don't apply to this life.
func (c *Cell) recordStartedByCurrentLife(r *run) {
	r.moveToCurrentLife()
	r.startedByOtherLife = true
	r.phase, r.ackedAt, r.listedAt = sent, 0, 0
	r.percent, r.tailLatency, r.used = 0, 0, 0
	r.overTargetSince, r.sampledAt, r.resendPaceAt = 0, 0, 0
	r.lossCounted, r.crashCounted, r.outlastedPromptWindow = false, false, false
	r.pace = fullPace
	if r.step.Fills {
		r.pace = unknownPace // a late copy of a pace order may have reached it too
	}
	if t := r.task; t != nil && t.run == r {
		t.setLife(r.worker.life())
		c.markDirty(t.job)
	}
}

// settleEarlierRuns settles the runs that were placed on an earlier life of a worker by what the current life lists.
// A run that is listed belongs to the current life. A run whose start may still arrive, or has arrived since the list
// was made, must be ruled out by the worker before its task continues. All others ended with their life.
func (c *Cell) settleEarlierRuns(w *worker, report cottonlanding.RunReport, sentAt, now cottonlanding.Millis) {
	// lost also holds the runs that the current life may have taken since: see loseEarlierRun.
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
			// The answer to a start carries no birth and may have overtaken the list.
			r.startUnconfirmed = r.startUnconfirmed || r.phase == started && r.ackedAt >= sentAt
			lost = append(lost, r)
		}
	}
	before := cmp.Or(w.previousLife, w)
	w.previousLife = nil
	for _, r := range unsent {
		c.dropRun(r, now)
	}
	if len(lost) > 0 {
		c.loseRuns(before, lost, now, lossByBirth)
	}
}

// loseEarlierRun ends a run of an earlier life, or stops it in the current life first if its start may still arrive.
func (c *Cell) loseEarlierRun(r *run, now cottonlanding.Millis) {
	if !r.startMayArrive() && !c.mustOutwaitStarts(r, now) {
		c.dropRun(r, now)
		return
	}
	r.moveToCurrentLife()
	r.phase = sent
	c.stop(r, "its worker's life has ended, and a start of it may come", now)
}

// startMayArrive reports whether the present life may have taken a start of this owner, or still may. Starts of previous
// owners are refused by the life that has answered a poll of this one.
func (r *run) startMayArrive() bool { return r.sentAt > 0 && (r.orderInFlight || r.startUnconfirmed) }

// recordAnswerToEarlierLife handles the answer to an order that was given to an earlier life. Which life took the
// order is unknown.
func (c *Cell) recordAnswerToEarlierLife(r *run, order Order, err error, now cottonlanding.Millis) {
	r.clearInFlight(order, err)
	if order.Verb != VerbStart || r.phase == started {
		return
	}
	r.startUnconfirmed = r.startUnconfirmed || err == nil || errors.Is(err, cottonlanding.ErrAmbiguous)
	if !r.startUnconfirmed {
		c.dropRun(r, now)
	}
}

// endedLife is a life that is certain to have ended while its list entry may remain.
type endedLife struct {
	born    cottonlanding.Birth
	address cottonlanding.Address
}

// matches reports whether an entry describes the ended life. A worker that is back under its id has another birth, or
// else another address.
func (e endedLife) matches(info cottonlanding.WorkerInfo) bool {
	return !info.Born.DiffersFrom(e.born) && info.Address == e.address
}

// recordLifeEnded handles that another worker answered at a worker's address. The life never comes back, however long
// its entry remains.
func (c *Cell) recordLifeEnded(w *worker, now cottonlanding.Millis) {
	c.loseWorker(w, now, lossByAnswer)
	c.resolveOpenLives(w.info.ID, assumeEnded, now)
	w.listed = false
	c.ended[w.info.ID] = endedLife{w.life().Born, w.info.Address}
	c.log.Warn("life of a worker ended", "Worker", w.info.ID, "Born", w.life().Born, "Address", w.info.Address, "LastAnswer", now-w.lastAnswerAt)
	c.forgetWorker(w.info.ID)
}

// pruneEndedLives forgets the ended lives that are no longer listed.
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
