package forecaster

import (
	"math"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// minPeriod and maxPeriod bound the periods that are found, for loads of 4 to 60 s: first estimates are off by up to
	// a twentieth. Longer ones are tried up to maxTriedPeriod, so that a part of one isn't taken for a whole shorter one.
	minPeriod      = 3800 * cottonlanding.Millis(1)
	maxPeriod      = 63 * cottonlanding.Second
	maxTriedPeriod = 90 * cottonlanding.Second
	// updateInterval is the least time between two updates.
	updateInterval = cottonlanding.Second
	// minSeasonPeriods is for how many periods one must have been seen to be found.
	minSeasonPeriods = 1.25
	// minExplained is the fraction of the variance that a period must explain to be found. It is lost once it explains
	// less than minStillExplained of the last lossPeriods periods in maxLossUpdates consecutive updates.
	minExplained      = 0.7
	minStillExplained = 0.5
	lossPeriods       = 1.5
	maxLossUpdates    = 3
	// maxSearchWidth is the largest width of bins while the period is unknown: 64 of them cover 1.25 of the longest
	// period. Shorter periods than minBinsPerPeriod bins can't be found.
	maxSearchWidth   = 2 * cottonlanding.Second
	minBinsPerPeriod = 2.5
	// seriesTimeout is after how long without observations a series is left out.
	seriesTimeout = 10 * cottonlanding.Second
	// maxSearched bounds the series that a search looks at, which bounds its duration to some milliseconds.
	maxSearched = 32
	// minSearchedBins is the number of bins from which a series is of use for a search: a wave has four coefficients and
	// explains most of fewer bins by chance. minCheckedBins is that to check a known period, for which at least
	// checkedBins bins are looked at: some may be missing.
	minSearchedBins = 12
	minCheckedBins  = 8
	checkedBins     = 16
	// maxDisagreement is the fraction by which the periods of two consecutive searches may differ for the second one to
	// be found.
	maxDisagreement = 0.05
	// stepsPerResolution is the number of frequencies tried in the span that the length of the observation can tell
	// apart, refinements that between two of these.
	stepsPerResolution = 8
	refinements        = 8
)

// Season finds the period that all series of a cell share. The variance that a period explains is that of all series
// together, each with a mean, an amplitude and a phase of its own.
type Season struct {
	period cottonlanding.Millis
	// generation counts how often the observations were discarded.
	generation int
	// width is the width of the bins of all series.
	width cottonlanding.Millis
	// searchedSince is when the first observation of the generation was made; zero without one.
	searchedSince cottonlanding.Millis
	updatedAt     cottonlanding.Millis
	// candidate is the period of the last search; zero if that had none.
	candidate   cottonlanding.Millis
	lossUpdates int
	series      []*Series
}

// NewSeason returns a season whose period isn't known.
func NewSeason() *Season { return &Season{width: minBinWidth, generation: 1} }

// Period returns the period and whether it is known.
func (s *Season) Period() (cottonlanding.Millis, bool) { return s.period, s.period > 0 }

// Restore sets the period that a previous owner has found. It ignores one that can't have been found.
func (s *Season) Restore(period cottonlanding.Millis) {
	if period < minPeriod || period > maxPeriod {
		return
	}
	s.setPeriod(period)
}

// setPeriod sets a period. It discards the observations if their bins are too wide for it, which takes a wave that began
// late in a search.
func (s *Season) setPeriod(period cottonlanding.Millis) {
	before := s.width
	s.period, s.lossUpdates, s.width = period, 0, minBinWidth
	s.widenTo(fittedPeriods * period)
	if s.width < before {
		s.generation++
	}
}

// include adds a series that is observed, and adapts it to the generation and the width of the bins.
func (s *Season) include(one *Series, at cottonlanding.Millis) {
	if s.searchedSince == 0 {
		s.searchedSince = at
	}
	if !one.listed {
		one.listed = true
		s.series = append(s.series, one)
	}
	switch {
	case one.generation != s.generation:
		one.generation, one.bins, one.fittedFrom = s.generation, bins{width: s.width}, 0
		one.dropWave()
	case one.bins.width != s.width:
		one.bins.widen(s.width)
	}
}

// widenTo widens the bins until they cover a span.
func (s *Season) widenTo(span cottonlanding.Millis) {
	for maxBins*s.width < span {
		s.width *= 2
	}
}

// Update looks for the period, or checks the known one. It has an effect at most once a second.
func (s *Season) Update(now cottonlanding.Millis) {
	if now-s.updatedAt < updateInterval {
		return
	}
	s.updatedAt = now
	s.series = slices.DeleteFunc(s.series, func(one *Series) bool {
		one.listed = now-one.linear.at < seriesTimeout
		return !one.listed
	})
	if s.period > 0 {
		s.check(now)
		return
	}
	s.search(now)
}

// search looks for a period in all observations of the generation. After 128 s without finding one it starts over with
// narrow bins, as wide ones don't show short periods.
func (s *Season) search(now cottonlanding.Millis) {
	if s.searchedSince == 0 {
		return
	}
	age := now - s.searchedSince
	if age > maxBins*maxSearchWidth {
		s.restart()
		return
	}
	s.widenTo(age)
	before := s.candidate
	s.candidate = 0
	found := s.observations(0, now, minSearchedBins)
	if len(found.series) == 0 {
		return
	}
	span := float64(found.span)
	step := 1 / (span * stepsPerResolution)
	lowest := 1 / min(1.5*span, float64(maxTriedPeriod))
	highest := 1 / max(float64(minPeriod), minBinsPerPeriod*float64(s.width))
	frequency, _ := found.best(lowest, highest+step/2, step)
	frequency, explained := found.best(frequency-step, frequency+step, step/refinements)
	period := cottonlanding.Millis(1 / frequency)
	if explained < minExplained || period < minPeriod || period > maxPeriod || minSeasonPeriods*float64(period) > span {
		return
	}
	s.candidate = period
	if math.Abs(float64(period-before)) <= maxDisagreement*float64(period) {
		s.setPeriod(period)
	}
}

// check adjusts the known period, or discards it and all observations if it no longer explains the recent ones.
func (s *Season) check(now cottonlanding.Millis) {
	span := max(cottonlanding.Millis(lossPeriods*float64(s.period)), checkedBins*s.width)
	recent := s.observations(now-span, now, minCheckedBins)
	if len(recent.series) == 0 || float64(recent.span) < minSeasonPeriods*float64(s.period) {
		return
	}
	frequency := 1 / float64(s.period)
	if recent.explained(frequency) < minStillExplained {
		if s.lossUpdates++; s.lossUpdates >= maxLossUpdates {
			s.restart()
		}
		return
	}
	s.lossUpdates = 0
	all := s.observations(now-fittedPeriods*s.period, now, minCheckedBins)
	step := 1 / (float64(all.span) * stepsPerResolution)
	adjusted, explained := all.best(frequency-step, frequency+step, step/refinements)
	if period := cottonlanding.Millis(1 / adjusted); explained >= minExplained && period >= minPeriod && period <= maxPeriod {
		s.period = period
		s.widenTo(fittedPeriods * period)
	}
}

// restart discards the period and all observations.
func (s *Season) restart() {
	s.generation++
	s.period, s.candidate, s.lossUpdates, s.searchedSince, s.width = 0, 0, 0, 0, minBinWidth
}

// observations holds the samples of the series that are of use for a search.
type observations struct {
	width cottonlanding.Millis
	// span is the longest span that a series covers.
	span   cottonlanding.Millis
	series [][]sample
}

// observations returns what was observed from an instant on, of the series that have a number of bins and cover most of
// the longest span.
func (s *Season) observations(from, now cottonlanding.Millis, minBins int) observations {
	out := observations{width: s.width}
	for _, one := range s.series {
		if one.generation != s.generation || one.bins.width != s.width {
			continue // adapted with the next observation
		}
		if samples := one.bins.samples(nil, from, now); len(samples) >= minBins {
			out.series = append(out.series, samples)
			out.span = max(out.span, out.spanOf(samples))
		}
	}
	out.series = slices.DeleteFunc(out.series, func(samples []sample) bool { return 3*out.spanOf(samples) < 2*out.span })
	out.series = out.series[:min(len(out.series), maxSearched)]
	return out
}

func (o *observations) spanOf(samples []sample) cottonlanding.Millis {
	return cottonlanding.Millis(samples[0].age-samples[len(samples)-1].age+1) * o.width
}

// best returns the frequency, in periods per millisecond, that explains most, and the fraction that it explains.
func (o *observations) best(lowest, highest, step float64) (frequency, explained float64) {
	frequency = lowest
	for tried := lowest; tried <= highest; tried += step {
		if fraction := o.explained(tried); fraction > explained {
			frequency, explained = tried, fraction
		}
	}
	return frequency, explained
}

// explained returns the fraction of the variance of all series that waves of a frequency explain, adjusted for the
// number of coefficients.
func (o *observations) explained(frequency float64) float64 {
	var cos, sin [maxBins + 1]float64
	for age := range cos {
		sin[age], cos[age] = math.Sincos(-2 * math.Pi * frequency * float64(age) * float64(o.width))
	}
	var count, total, left float64
	for _, samples := range o.series {
		var sums moments
		for _, one := range samples {
			sums.add(one.weight, cos[one.age], sin[one.age], one.value)
		}
		_, _, _, variance, explained := sums.fit()
		count += sums.n
		total += variance
		left += variance - explained
	}
	k := float64(len(o.series))
	if total <= 0 {
		return 0
	}
	return 1 - left/(count-3*k)/(total/(count-k))
}
