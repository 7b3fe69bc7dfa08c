// Package forecaster forecasts the utilization of serving steps by their own users.
//
// A Series forecasts one step. A Season finds the period that all steps of a cell share. Both are pure: they have no
// goroutines, clocks or I/O, and the same observations lead to the same forecasts.
package forecaster

import (
	"math"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// maxUtilization bounds forecasts: a tail latency can't show a higher utilization.
	maxUtilization = 0.99
	// initialSpread is the standard deviation of observations assumed until it is known, and spreadPriorWeight the
	// number of observations that this assumption is worth.
	initialSpread     = 0.06
	spreadPriorWeight = 20
	// spreadTime is the time constant of the spread.
	spreadTime = 20 * cottonlanding.Second
	// rampUpTime is how long a step's load may take to build up once its tasks run. Until then its rise says nothing of
	// the filling tasks beside it: attributed to them, it spoils the weights of their pairs for half a minute.
	rampUpTime = 3500 * cottonlanding.Millis(1)
	// rampUpStart is the utilization below which the first observation shows that the load builds up. Observations
	// during rampUpTime aren't fitted then. A load that an owner takes over is higher.
	rampUpStart = 0.1
	// fittedPeriods is the number of periods to which a wave is fitted, minSeenPeriods the number after which it is.
	fittedPeriods  = 3
	minSeenPeriods = 0.4
	minFittedBins  = 4
	// deviationTime is the time constant of the mean that gives the latest deviation from the wave, deviationPriorWeight
	// the number of observations without deviation that it includes. The deviation is expected to decay with
	// correlationTime: errors half a second apart have a correlation of 0.55.
	deviationTime        = 350 * cottonlanding.Millis(1)
	deviationPriorWeight = 0.5
	correlationTime      = 840 * cottonlanding.Millis(1)
	// The load has changed its shape if the mean error, taken with the time constant errorTime, exceeds
	// maxErrorSpreads times the spread for errorTime. In simulations with a correlation of 0.55 over half a second, chance
	// made the forecast linear for 0.1 % of the time.
	errorTime       = cottonlanding.Second
	maxErrorSpreads = 2
	// maxSquaredSpreads bounds the errors that count for the spread, in spreads, so that a change of shape doesn't raise
	// the limit by which it is detected.
	maxSquaredSpreads = 2.5
)

// Series forecasts the utilization of the tasks of one serving step by their own users, without filling tasks. A step's
// users are spread evenly over its tasks, so one series describes them all. A nil Series has no observations.
type Series struct {
	season *Season
	linear linear
	// firstSeenAt is when the load was first observed, rampUp whether it was low then.
	firstSeenAt cottonlanding.Millis
	rampUp      bool
	// listed says that the season includes the series; generation is the season's as of the bins and the wave.
	listed     bool
	generation int
	bins       bins
	// wave is the forecast without the latest deviation; its period is zero if there is none. fittedFrom is the instant
	// from which observations are fitted, fittedAt the index of the bin in which they were fitted last.
	wave       wave
	fittedFrom cottonlanding.Millis
	fittedAt   int64
	// deviation and recentError are means of the errors of the wave, squares that of their squares.
	deviation, recentError, squares decayingMean
	// errorSince is since when the recent error has been too large; zero if it isn't. Until that is decided the wave and
	// the spread aren't corrected.
	errorSince cottonlanding.Millis
}

// New returns a series without observations. Its forecast is linear if season is nil or knows no period.
func New(season *Season) *Series { return &Series{season: season} }

// Known reports whether the load was ever observed.
func (s *Series) Known() bool { return s != nil && s.linear.known() }

// RampedUp reports whether the load has had rampUpTime to build up.
func (s *Series) RampedUp(now cottonlanding.Millis) bool {
	return s.Known() && now-s.firstSeenAt >= rampUpTime
}

// Observe corrects the forecast by a measured utilization without the filling tasks' part; confidence, from 0 to 1, is
// how certain that is. Instants must not decrease.
func (s *Series) Observe(utilization, confidence float64, at cottonlanding.Millis) {
	if !s.Known() {
		s.firstSeenAt, s.rampUp = at, utilization < rampUpStart
	}
	s.linear.observe(utilization, confidence, at)
	if s.season == nil || confidence <= 0 || s.rampUp && !s.RampedUp(at) {
		return
	}
	s.season.include(s, at)
	s.bins.add(utilization, confidence, at)
	if s.seasonal() {
		s.recordError(utilization-s.wave.at(at), confidence, at)
	}
	s.fit(at)
}

// recordError learns from an error of the wave, and drops the wave if the load has changed its shape.
func (s *Series) recordError(err, confidence float64, at cottonlanding.Millis) {
	spread := s.Spread()
	s.deviation.add(err, confidence, at, deviationTime)
	s.recentError.add(err, confidence, at, errorTime)
	if s.errorSince == 0 {
		clipped := min(math.Abs(err), maxSquaredSpreads*spread)
		s.squares.add(clipped*clipped, confidence, at, spreadTime)
	}
	switch {
	case math.Abs(s.recentError.mean(0, deviationPriorWeight)) <= maxErrorSpreads*spread:
		s.errorSince = 0
	case s.errorSince == 0:
		s.errorSince = at
	case at-s.errorSince >= errorTime:
		s.dropWave()
		s.fittedFrom = at - errorTime
	}
}

// dropWave makes the forecast linear until enough has been observed to fit another wave.
func (s *Series) dropWave() {
	s.wave, s.fittedAt, s.errorSince = wave{}, 0, 0
	s.deviation, s.recentError, s.squares = decayingMean{}, decayingMean{}, decayingMean{}
}

// fit fits the wave to the complete bins once in each bin.
func (s *Series) fit(now cottonlanding.Millis) {
	period, known := s.season.Period()
	if !known || s.errorSince > 0 || s.bins.newest == s.fittedAt {
		return
	}
	s.fittedAt = s.bins.newest
	var buffer [maxBins]sample
	samples := s.bins.samples(buffer[:0], max(s.fittedFrom, now-fittedPeriods*period), now)
	if len(samples) < minFittedBins || float64(len(samples))*float64(s.bins.width) < minSeenPeriods*float64(period) {
		return
	}
	var sums moments
	for _, one := range samples {
		sin, cos := math.Sincos(angle(s.bins.middle(one.age, now)-now, period))
		sums.add(one.weight, cos, sin, one.value)
	}
	mean, cos, sin, _, _ := sums.fit()
	amplified := 1 / attenuation(s.bins.width, period)
	s.wave = wave{period: period, origin: now, mean: mean, cos: cos * amplified, sin: sin * amplified}
	if math.Hypot(s.wave.cos, s.wave.sin) < s.Spread() {
		s.wave.mean, s.wave.cos, s.wave.sin = sums.y/sums.w, 0, 0 // steady
	}
}

// seasonal reports whether the forecast is a wave.
func (s *Series) seasonal() bool {
	return s.wave.period > 0 && s.generation == s.season.generation
}

// At returns the utilization expected at an instant, from 0 to 0.99; 0 without observations.
func (s *Series) At(at cottonlanding.Millis) float64 {
	switch {
	case !s.Known():
		return 0
	case !s.seasonal():
		return s.linear.forecastAt(at)
	}
	age := max(at-s.deviation.at, 0)
	deviation := s.deviation.mean(0, deviationPriorWeight) * math.Exp(-float64(age)/float64(correlationTime))
	return bounded(s.wave.at(at) + deviation)
}

// Last returns the utilization expected at the latest observation; 0 without observations.
func (s *Series) Last() float64 {
	if !s.Known() {
		return 0
	}
	return s.At(s.linear.at)
}

// Max returns the largest utilization expected in a span.
func (s *Series) Max(from, to cottonlanding.Millis) float64 {
	largest := max(s.At(from), s.At(to))
	if !s.Known() || !s.seasonal() {
		return largest
	}
	crest := s.wave.crest(from)
	if crest < to {
		largest = max(largest, s.At(crest))
	}
	if s.deviation.sum < 0 {
		// As the deviation decays, the forecast may rise and fall while the wave falls, and the next crest is higher.
		const step = correlationTime / 2
		for at := from + step; at < min(to, from+5*step); at += step {
			largest = max(largest, s.At(at))
		}
		if next := crest + s.wave.period; next < to {
			largest = max(largest, s.At(next))
		}
	}
	return largest
}

// Spread returns the standard deviation of observations around the wave, which is 0.06 until known. It doesn't allow for
// the latest deviation.
func (s *Series) Spread() float64 {
	if !s.Known() || !s.seasonal() {
		return initialSpread
	}
	return math.Sqrt(s.squares.mean(initialSpread*initialSpread, spreadPriorWeight))
}

// bounded limits a utilization to what a forecast may be.
func bounded(utilization float64) float64 { return min(max(utilization, 0), maxUtilization) }
