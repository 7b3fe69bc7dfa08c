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
	// promptAnswer is longer than a worker in touch takes to answer an order, some 10 ms, and
	// than all of them are silent as a rule: of twenty, looks bring an answer each 100 ms.
	promptAnswer = 250 * cottonlanding.Millis(1)
	// fewestSilent is how many workers must have orders to answer: fewer may have ended.
	fewestSilent = 3
)

// placeSilence is what is known of one data centre.
type placeSilence struct {
	// unanswered counts the workers that have an order to answer; the first of them was given
	// it at since.
	unanswered int
	since      cottonlanding.Millis
	// heardAt is when any of its workers last answered.
	heardAt cottonlanding.Millis
}

// lasts reports whether several workers have orders to answer and none of the data centre's has
// answered anything for a while.
func (s placeSilence) lasts(now cottonlanding.Millis) bool {
	return s.unanswered >= fewestSilent && now-s.since >= promptAnswer && now-s.heardAt >= promptAnswer
}

// recordGiven notes that an order was given out to the worker.
func (w *worker) recordGiven(now cottonlanding.Millis) {
	if w.unansweredSince == 0 {
		w.unansweredSince = now
	}
}

// recordHeard notes that the worker has answered something.
func (w *worker) recordHeard(now cottonlanding.Millis) {
	w.heardAt, w.unansweredSince = now, 0
}

// answers are the errors by which a worker itself answers an order.
var answers = []error{cottonlanding.ErrConflict, cottonlanding.ErrBusy, cottonlanding.ErrOtherLife, cottonlanding.ErrStaleEpoch}

// recordOrderEnded notes what became of an order: it was answered, it got no answer, or it wasn't
// sent, which says nothing of the worker.
func (w *worker) recordOrderEnded(err error, now cottonlanding.Millis) {
	isErr := func(answer error) bool { return errors.Is(err, answer) }
	switch {
	case err == nil || slices.ContainsFunc(answers, isErr):
		w.recordHeard(now)
	case !errors.Is(err, cottonlanding.ErrAmbiguous):
		w.unansweredSince = 0
	}
}

// recordSilences works out which data centres are silent.
func (c *Cell) recordSilences(now cottonlanding.Millis) {
	if !c.policy.WatchesDataCentres {
		return
	}
	places, heardAt := c.placeSilences(now)
	for place, silence := range places {
		since, silent := c.silentSince[place]
		switch {
		case silent && silence.heardAt > since:
			delete(c.silentSince, place)
			c.cordonPlace(place, false)
			c.log.Info("data centre answers again", "DataCentre", place, "SilentFor", now-since)
		case !silent && silence.lasts(now) && now-heardAt < promptAnswer:
			c.silentSince[place] = now
			c.cordonPlace(place, true)
			c.log.Warn("data centre is silent", "DataCentre", place, "Workers", silence.unanswered, "HeardBefore", now-silence.heardAt)
		}
	}
}

// placeSilences returns what is known of each data centre, and when any worker last answered:
// an owner that hears nobody is cut off itself, or late.
func (c *Cell) placeSilences(now cottonlanding.Millis) (map[cottonlanding.DataCentre]placeSilence, cottonlanding.Millis) {
	places := make(map[cottonlanding.DataCentre]placeSilence)
	heardAt := cottonlanding.Millis(0)
	for _, w := range c.sortedWorkers() {
		silence := places[w.info.DataCentre]
		if w.unansweredSince > 0 {
			silence.unanswered++
			silence.since = min(cmp.Or(silence.since, w.unansweredSince), w.unansweredSince)
		}
		silence.heardAt = max(silence.heardAt, w.heardAt)
		places[w.info.DataCentre] = silence
		heardAt = max(heardAt, w.heardAt)
	}
	return places, heardAt
}

// cordonPlace has nothing new started in a data centre, or again. What has not been sent goes
// elsewhere.
func (c *Cell) cordonPlace(place cottonlanding.DataCentre, silent bool) {
	for _, w := range c.sortedWorkers() {
		if w.info.DataCentre == place {
			w.placeSilent = silent
			w.changed()
		}
	}
}
