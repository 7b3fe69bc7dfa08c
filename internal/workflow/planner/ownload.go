package planner

import "github.com/cottonlanding/cottonlanding"

const (
	// loadGain is the step by which a figure corrects the load of a step, when
	// nothing fills beside the task.
	loadGain = 0.5
	// slopeGain is the step by which a new slope replaces the last, taken over
	// slopeSpan so that rough figures average out.
	slopeGain = 0.5
	slopeSpan = 1200 * cottonlanding.Millis(1)
	// mostSlope bounds the slope, in busy per second: loads swing by a quarter up
	// and down within some twenty seconds.
	mostSlope = 0.09
	// rampSpan is how long a step's load may take to build up once its tasks are at work,
	// as seen on runs. Until then its rise says nothing of the tasks beside it: taken for
	// their doing, it made pairs look bad for half a minute.
	rampSpan = 3500 * cottonlanding.Millis(1)
)

// ownLoad is how busy the tasks of one serving step are by their own users. The
// users of a step are spread over all its tasks, so that one load holds for all.
type ownLoad struct {
	value float64
	slope float64
	at    cottonlanding.Millis
	// earlier is the load at earlierAt, from which the slope is taken.
	earlier   float64
	earlierAt cottonlanding.Millis
	// firstAt is when the load was first seen.
	firstAt cottonlanding.Millis
}

// settled reports whether the load has had time to build up.
func (l *ownLoad) settled(now cottonlanding.Millis) bool {
	return l.known() && now-l.firstAt >= rampSpan
}

// known reports whether the load was ever seen.
func (l *ownLoad) known() bool { return l.at > 0 }

// ahead returns the load that is expected at an instant.
func (l *ownLoad) ahead(at cottonlanding.Millis) float64 {
	span := min(at-l.at, staleFigure)
	return min(max(l.value+l.slope*float64(span)/float64(cottonlanding.Second), 0), mostBusy)
}

// see takes in how busy a task was by its own users; trust, from 0 to 1, tells how
// certain that is.
func (l *ownLoad) see(busy, trust float64, now cottonlanding.Millis) {
	if !l.known() {
		*l = ownLoad{value: busy, at: now, earlier: busy, earlierAt: now, firstAt: now}
		return
	}
	expected := l.ahead(now)
	l.value, l.at = expected+loadGain*trust*(busy-expected), now
	span := now - l.earlierAt
	if span < slopeSpan {
		return
	}
	slope := (l.value - l.earlier) * float64(cottonlanding.Second) / float64(span)
	l.slope += slopeGain * (min(max(slope, -mostSlope), mostSlope) - l.slope)
	l.earlier, l.earlierAt = l.value, now
}
