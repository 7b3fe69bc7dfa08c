package forecaster

import "github.com/cottonlanding/cottonlanding"

const (
	// loadGain is the gain with which an observation corrects the load, at full confidence.
	loadGain = 0.5
	// slopeGain is the gain with which a new slope corrects the last one. Slopes are taken over slopeSpan so that
	// errors of measurement average out.
	slopeGain = 0.5
	slopeSpan = 1200 * cottonlanding.Millis(1)
	// maxSlope bounds the slope, in utilization per second: loads swing by a quarter up and down within some twenty
	// seconds.
	maxSlope = 0.09
	// maxExtrapolation is how far a load is extrapolated at most.
	maxExtrapolation = 2500 * cottonlanding.Millis(1)
)

// linear extrapolates the latest load by its slope.
type linear struct {
	value float64
	slope float64
	at    cottonlanding.Millis
	// slopeStart is the load at slopeStartAt, from which the slope is taken.
	slopeStart   float64
	slopeStartAt cottonlanding.Millis
}

// known reports whether the load was ever observed.
func (l *linear) known() bool { return l.at > 0 }

// forecastAt returns the load expected at an instant.
func (l *linear) forecastAt(at cottonlanding.Millis) float64 {
	span := min(at-l.at, maxExtrapolation)
	return bounded(l.value + l.slope*float64(span)/float64(cottonlanding.Second))
}

// observe corrects the load by an observation; confidence, from 0 to 1, is how certain that is.
func (l *linear) observe(utilization, confidence float64, now cottonlanding.Millis) {
	if !l.known() {
		*l = linear{value: utilization, at: now, slopeStart: utilization, slopeStartAt: now}
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
