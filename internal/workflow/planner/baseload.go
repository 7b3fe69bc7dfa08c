package planner

import "github.com/cottonlanding/cottonlanding"

const (
	// loadGain is the gain with which a measurement corrects the load of a step, at full confidence.
	loadGain = 0.5
	// slopeGain is the gain with which a new slope corrects the last one. Slopes are taken over slopeSpan so that
	// errors of measurement average out.
	slopeGain = 0.5
	slopeSpan = 1200 * cottonlanding.Millis(1)
	// maxSlope bounds the slope, in utilization per second: loads swing by a quarter up and down within some twenty
	// seconds.
	maxSlope = 0.09
	// rampUpTime is how long a step's load may take to build up once its tasks run. Until then its rise says nothing of
	// the filling tasks beside it: attributed to them, it spoils the weights of their pairs for half a minute.
	rampUpTime = 3500 * cottonlanding.Millis(1)
)

// baseLoad is the utilization of the tasks of one serving step by their own users, without filling tasks. A step's
// users are spread evenly over its tasks, so one load applies to all.
type baseLoad struct {
	value float64
	slope float64
	at    cottonlanding.Millis
	// slopeStart is the load at slopeStartAt, from which the slope is taken.
	slopeStart   float64
	slopeStartAt cottonlanding.Millis
	// firstSeenAt is when the load was first measured.
	firstSeenAt cottonlanding.Millis
}

// hasRampedUp reports whether the load has had rampUpTime to build up.
func (l *baseLoad) hasRampedUp(now cottonlanding.Millis) bool {
	return l.known() && now-l.firstSeenAt >= rampUpTime
}

// known reports whether the load was ever measured.
func (l *baseLoad) known() bool { return l.at > 0 }

// forecastAt returns the load expected at an instant.
func (l *baseLoad) forecastAt(at cottonlanding.Millis) float64 {
	span := min(at-l.at, maxExtrapolation)
	return min(max(l.value+l.slope*float64(span)/float64(cottonlanding.Second), 0), maxUtilization)
}

// observe corrects the load by a measured utilization without the filling tasks' part; confidence, from 0 to 1, is
// how certain that is.
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
