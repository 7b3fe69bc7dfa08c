package budgeter

import "math"

const (
	// initialSpread is the standard deviation of samples assumed before any are known, as measured on platforms.
	initialSpread = 0.06
	// minSpread and maxSpread bound the measured one: below, goals would be too close to the target for the errors of
	// forecasts; above, next to nothing could run beside a serving task.
	minSpread = 0.02
	maxSpread = 0.12
	// priorSamples is the number of samples that the initial spread counts for.
	priorSamples = 30
	// maxSamples is the number of samples that the spread is averaged over, some seconds of an image with many tasks.
	maxSamples = 300
	// maxDeviation bounds a deviation, in multiples of the spread, so that a few outliers, as at a sudden change of the
	// load, don't close the budgets.
	maxDeviation = 3
)

// Spread measures the standard deviation of samples around their forecasts.
type Spread struct {
	variance float64
	samples  float64
}

// NewSpread returns a spread without samples.
func NewSpread() *Spread {
	return &Spread{variance: initialSpread * initialSpread, samples: priorSamples}
}

// Observe records the deviation of a sample from its forecast; confidence, from 0 to 1, is how certain that is.
func (s *Spread) Observe(deviation, confidence float64) {
	limit := maxDeviation * s.Value()
	deviation = min(max(deviation, -limit), limit)
	s.samples = min(s.samples+confidence, maxSamples)
	s.variance += confidence / s.samples * (deviation*deviation - s.variance)
}

// Value returns the standard deviation, 0.02 to 0.12.
func (s *Spread) Value() float64 { return min(max(math.Sqrt(s.variance), minSpread), maxSpread) }
