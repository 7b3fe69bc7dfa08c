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
	// maxSlope bounds the slope, in busy per second: loads swing by a quarter up
	// and down within some twenty seconds.
	maxSlope = 0.09
	// rampUpTime is how long a step's load may take to build up once its tasks are at work,
	// as seen on runs. Until then its rise says nothing of the tasks beside it: taken for
	// their doing, it made pairs look bad for half a minute.
	rampUpTime = 3500 * cottonlanding.Millis(1)
)

// baseLoad is how busy the tasks of one serving step are by their own users. The
// users of a step are spread over all its tasks, so that one load holds for all.
type baseLoad struct {
	value float64
	slope float64
	at    cottonlanding.Millis
	// slopeStart is the load at earlierAt, from which the slope is taken.
	slopeStart   float64
	slopeStartAt cottonlanding.Millis
	// firstSeenAt is when the load was first seen.
	firstSeenAt cottonlanding.Millis
}

// hasRampedUp reports whether the load has had time to build up.
func (l *baseLoad) hasRampedUp(now cottonlanding.Millis) bool {
	return l.known() && now-l.firstSeenAt >= rampUpTime
}

// known reports whether the load was ever seen.
func (l *baseLoad) known() bool { return l.at > 0 }

// forecastAt returns the load that is expected at an instant.
func (l *baseLoad) forecastAt(at cottonlanding.Millis) float64 {
	span := min(at-l.at, maxExtrapolation)
	return min(max(l.value+l.slope*float64(span)/float64(cottonlanding.Second), 0), maxUtilization)
}

// observe takes in how busy a task was by its own users; trust, from 0 to 1, tells how
// certain that is.
func (l *baseLoad) observe(utilization, confidence float64, now cottonlanding.Millis) {
	if !l.known() {
		*l = baseLoad{value: utilization, at: now, slopeStart: utilization, slopeStartAt: now, firstSeenAt: now}
		return
	}
	expected := l.forecastAt(now)
	l.value, l.at = expected+loadGain*confidence*(utilization-expected), now
	span := now - l.slopeStartAt
	if span < slopeSpan {
		return
	}
	slope := (l.value - l.slopeStart) * float64(cottonlanding.Second) / float64(span)
	l.slope += slopeGain * (min(max(slope, -maxSlope), maxSlope) - l.slope)
	l.slopeStart, l.slopeStartAt = l.value, now
}
