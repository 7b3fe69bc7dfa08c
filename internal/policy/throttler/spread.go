package throttler

import "github.com/cottonlanding/cottonlanding"

const (
	// spreads is the distance of the goal from the utilization at the latency target, in standard deviations of the
	// samples: 95 of 100 samples of a normal distribution are below the target, which users of a serving task accept.
	spreads = 1.65
	// sampleCorrelation is the correlation of the deviations of two successive samples, half a second apart, on
	// measured loads. The rest of a deviation is gone by the next sample.
	sampleCorrelation = 0.55
	// minPlacementSpan and maxPlacementSpan bound the time for which a budget must last. Estimates of clients may be
	// missing or absurd. Longer spans than two fifths of a wave of 10 s keep tasks of several seconds, and with them
	// large workflows, from starting at all.
	minPlacementSpan = cottonlanding.Second
	maxPlacementSpan = 4 * cottonlanding.Second
	// placementSpanStep is what spans are rounded up to multiples of, so that one failed search for a worker covers
	// other tasks of about the same run time.
	placementSpanStep = 2 * cottonlanding.Second
)

// Spread keeps serving tasks as far below their latency targets as their samples scatter. Tasks of heavy pairs start
// where the budget lasts for their run.
type Spread struct{}

// Goal implements cottonlanding.HeadroomPolicy.
func (Spread) Goal(task cottonlanding.ServingView) float64 {
	return UtilizationAt(task.LatencyTarget, task.IdleTail) - spreads*task.Spread
}

// Budget implements cottonlanding.HeadroomPolicy. The goal allows for scatter, so that a sample over it lowers the
// budget only by the part of its deviation that the next sample is expected to have.
func (Spread) Budget(sample cottonlanding.SampleView) float64 {
	deviation := sample.Utilization - sample.Load - sample.Added
	return sample.Goal - sample.PeakLoad - sampleCorrelation*max(deviation, 0)
}

// PlacementSpan implements cottonlanding.HeadroomPolicy.
func (Spread) PlacementSpan(expected cottonlanding.Millis) cottonlanding.Millis {
	span := min(max(expected, minPlacementSpan), maxPlacementSpan)
	return (span + placementSpanStep - 1) / placementSpanStep * placementSpanStep
}

// PlacementWeight implements cottonlanding.HeadroomPolicy.
func (Spread) PlacementWeight(planned float64, pair cottonlanding.PairView) float64 {
	return max(planned, pair.Weight+pair.StandardError)
}

// LimitsStarts implements cottonlanding.HeadroomPolicy.
func (Spread) LimitsStarts() bool { return true }
