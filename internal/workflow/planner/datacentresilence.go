package planner

import (
	"cmp"
	"errors"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// When a data centre is cut off, all its workers become unreachable at once. A failed poll shows that for each worker
// only one to three seconds later, and what is started there until then waits as long as the cut lasts. Unanswered
// orders show it sooner: a data centre counts as silent if several of its workers leave orders unanswered and none of
// the others answers either.

const (
	// maxAnswerDelay is longer than a reachable worker takes to answer an order (some 10 ms) and than the usual gap
	// between answers of a data centre: of twenty workers, one answers a poll each 100 ms.
	maxAnswerDelay = 250 * cottonlanding.Millis(1)
	// minSilentWorkers is how many workers must have unanswered orders; fewer may have crashed.
	minSilentWorkers = 3
)

// dataCentreSilence summarizes the answers of one data centre.
type dataCentreSilence struct {
	// unanswered counts the workers with an unanswered order; since is when the first of these orders was issued.
	unanswered int
	since      cottonlanding.Millis
	// lastContactAt is when any of its workers last answered.
	lastContactAt cottonlanding.Millis
}

// isSilent reports whether several workers have unanswered orders and no worker of the data centre has answered
// anything for maxAnswerDelay.
func (s dataCentreSilence) isSilent(now cottonlanding.Millis) bool {
	return s.unanswered >= minSilentWorkers && now-s.since >= maxAnswerDelay && now-s.lastContactAt >= maxAnswerDelay
}

// recordIssued records that an order was issued to the worker.
func (w *worker) recordIssued(now cottonlanding.Millis) {
	if w.unansweredSince == 0 {
		w.unansweredSince = now
	}
}

// recordContact records when the worker answered a poll or an order; Cell.recordContact is about outages.
func (w *worker) recordContact(now cottonlanding.Millis) {
	w.lastContactAt, w.unansweredSince = now, 0
}

// answerErrors are the errors that come from the worker itself, so that they show that it is reachable.
var answerErrors = []error{cottonlanding.ErrConflict, cottonlanding.ErrBusy, cottonlanding.ErrOtherLife, cottonlanding.ErrStaleEpoch}

// updateContact updates the time of the last contact from the outcome of an order: it was answered, got no answer, or
// wasn't sent, which says nothing about the worker.
func (w *worker) updateContact(err error, now cottonlanding.Millis) {
	isErr := func(answer error) bool { return errors.Is(err, answer) }
	switch {
	case err == nil || slices.ContainsFunc(answerErrors, isErr):
		w.recordContact(now)
	case !errors.Is(err, cottonlanding.ErrAmbiguous):
		w.unansweredSince = 0
	}
}

// updateSilentDataCentres determines which data centres are silent.
func (c *Cell) updateSilentDataCentres(now cottonlanding.Millis) {
	if !c.policy.WatchesDataCentres {
		return
	}
	dataCentres, lastContactAt := c.dataCentreSilences(now)
	for dataCentre, silence := range dataCentres {
		since, silent := c.silentSince[dataCentre]
		switch {
		case silent && silence.lastContactAt > since:
			delete(c.silentSince, dataCentre)
			c.setDataCentreSilent(dataCentre, false)
			c.log.Info("data centre answers again", "DataCentre", dataCentre, "SilentFor", now-since)
		case !silent && silence.isSilent(now) && now-lastContactAt < maxAnswerDelay:
			c.silentSince[dataCentre] = now
			c.setDataCentreSilent(dataCentre, true)
			c.log.Warn("data centre is silent", "DataCentre", dataCentre, "Workers", silence.unanswered, "HeardBefore", now-silence.lastContactAt)
		}
	}
}

// dataCentreSilences returns the state of each data centre, and when any worker last answered: an owner that hears
// from no worker is cut off or delayed itself.
func (c *Cell) dataCentreSilences(now cottonlanding.Millis) (map[cottonlanding.DataCentre]dataCentreSilence, cottonlanding.Millis) {
	dataCentres := make(map[cottonlanding.DataCentre]dataCentreSilence)
	lastContactAt := cottonlanding.Millis(0)
	for _, w := range c.sortedWorkers() {
		silence := dataCentres[w.info.DataCentre]
		if w.unansweredSince > 0 {
			silence.unanswered++
			silence.since = min(cmp.Or(silence.since, w.unansweredSince), w.unansweredSince)
		}
		silence.lastContactAt = max(silence.lastContactAt, w.lastContactAt)
		dataCentres[w.info.DataCentre] = silence
		lastContactAt = max(lastContactAt, w.lastContactAt)
	}
	return dataCentres, lastContactAt
}

// setDataCentreSilent blocks or unblocks new starts in a data centre. Starts that were not sent are placed elsewhere.
func (c *Cell) setDataCentreSilent(dataCentre cottonlanding.DataCentre, silent bool) {
	for _, w := range c.sortedWorkers() {
		if w.info.DataCentre == dataCentre {
			w.dataCentreSilent = silent
			w.markChanged()
		}
	}
}
