package planner

import (
	"cmp"
	"errors"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A data centre that is cut off takes all its workers along at once. Each by itself shows that
// only when a look at it has got no answer, one to three seconds later, and what is started
// there until then waits for as long as the cut lasts. Orders show it sooner, if several
// workers of one data centre leave them unanswered and none of the others answers either.

const (
	// maxAnswerDelay is longer than a worker in touch takes to answer an order, some 10 ms, and
	// than all of them are silent as a rule: of twenty, looks bring an answer each 100 ms.
	maxAnswerDelay = 250 * cottonlanding.Millis(1)
	// minSilentWorkers is how many workers must have orders to answer: fewer may have ended.
	minSilentWorkers = 3
)

// dataCentreSilence is what is known of one data centre.
type dataCentreSilence struct {
	// unanswered counts the workers that have an order to answer; the first of them was given
	// it at since.
	unanswered int
	since      cottonlanding.Millis
	// lastContactAt is when any of its workers last answered.
	lastContactAt cottonlanding.Millis
}

// isSilent reports whether several workers have orders to answer and none of the data centre's has
// answered anything for a while.
func (s dataCentreSilence) isSilent(now cottonlanding.Millis) bool {
	return s.unanswered >= minSilentWorkers && now-s.since >= maxAnswerDelay && now-s.lastContactAt >= maxAnswerDelay
}

// recordGiven notes that an order was given out to the worker.
func (w *worker) recordGiven(now cottonlanding.Millis) {
	if w.unansweredSince == 0 {
		w.unansweredSince = now
	}
}

// recordContact notes that the worker has answered something.
func (w *worker) recordContact(now cottonlanding.Millis) {
	w.lastContactAt, w.unansweredSince = now, 0
}

// answerErrors are the errors by which a worker itself answerErrors an order.
var answerErrors = []error{cottonlanding.ErrConflict, cottonlanding.ErrBusy, cottonlanding.ErrOtherLife, cottonlanding.ErrStaleEpoch}

// recordOrderOutcome notes what became of an order: it was answered, it got no answer, or it wasn't
// sent, which says nothing of the worker.
func (w *worker) recordOrderOutcome(err error, now cottonlanding.Millis) {
	isErr := func(answer error) bool { return errors.Is(err, answer) }
	switch {
	case err == nil || slices.ContainsFunc(answerErrors, isErr):
		w.recordContact(now)
	case !errors.Is(err, cottonlanding.ErrAmbiguous):
		w.unansweredSince = 0
	}
}

// updateSilentDataCentres works out which data centres are silent.
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

// dataCentreSilences returns what is known of each data centre, and when any worker last answered:
// an owner that hears nobody is cut off itself, or late.
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

// setDataCentreSilent has nothing new started in a data centre, or again. What has not been sent goes
// elsewhere.
func (c *Cell) setDataCentreSilent(dataCentre cottonlanding.DataCentre, silent bool) {
	for _, w := range c.sortedWorkers() {
		if w.info.DataCentre == dataCentre {
			w.dataCentreSilent = silent
			w.markChanged()
		}
	}
}
