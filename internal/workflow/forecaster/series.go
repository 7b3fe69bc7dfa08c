// Package forecaster forecasts the utilization of serving steps by their own users.
//
// A Series forecasts one step. A Season finds the period that all steps of a cell share. Both are pure: they have no
// goroutines, clocks or I/O, and the same observations lead to the same forecasts.
package forecaster

import "github.com/cottonlanding/cottonlanding"

const (
	// maxUtilization bounds forecasts: a tail latency can't show a higher utilization.
	maxUtilization = 0.99
	// initialSpread is the standard deviation of observations assumed until it is known.
	initialSpread = 0.06
	// rampUpTime is how long a step's load may take to build up once its tasks run. Until then its rise says nothing of
	// the filling tasks beside it: attributed to them, it spoils the weights of their pairs for half a minute.
	rampUpTime = 3500 * cottonlanding.Millis(1)
)

// Series forecasts the utilization of the tasks of one serving step by their own users, without filling tasks. A step's
// users are spread evenly over its tasks, so one series describes them all.
type Series struct {
	season *Season
	linear linear
	// firstSeenAt is when the load was first observed.
	firstSeenAt cottonlanding.Millis
}

// New returns a series without observations. Its forecast is linear if season is nil or knows no period.
func New(season *Season) *Series { return &Series{season: season} }

// Known reports whether the load was ever observed. It isn't for a nil series.
func (s *Series) Known() bool { return s != nil && s.linear.known() }

// RampedUp reports whether the load has had rampUpTime to build up.
func (s *Series) RampedUp(now cottonlanding.Millis) bool {
	return s.Known() && now-s.firstSeenAt >= rampUpTime
}

// Observe corrects the forecast by a measured utilization without the filling tasks' part; confidence, from 0 to 1, is
// how certain that is.
func (s *Series) Observe(utilization, confidence float64, at cottonlanding.Millis) {
	if !s.Known() {
		s.firstSeenAt = at
	}
	s.linear.observe(utilization, confidence, at)
}

// At returns the utilization expected at an instant, from 0 to 0.99; 0 without observations.
func (s *Series) At(at cottonlanding.Millis) float64 {
	if !s.Known() {
		return 0
	}
	return s.linear.forecastAt(at)
}

// Last returns the utilization expected at the latest observation; 0 without observations.
func (s *Series) Last() float64 {
	if !s.Known() {
		return 0
	}
	return s.At(s.linear.at)
}

// Max returns the largest utilization expected in a span.
func (s *Series) Max(from, to cottonlanding.Millis) float64 { return max(s.At(from), s.At(to)) }

// Spread returns the standard deviation of observations around the forecast, which is 0.06 until known.
func (s *Series) Spread() float64 { return initialSpread }

// bounded limits a utilization to what a forecast may be.
func bounded(utilization float64) float64 { return min(max(utilization, 0), maxUtilization) }
