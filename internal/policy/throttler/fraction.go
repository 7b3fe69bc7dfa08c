package throttler

import "github.com/cottonlanding/cottonlanding"

const (
	// latencyGoalFraction is the fraction of its latency target at which a serving task is kept, so that swings of its
	// load stay below the target. docs/EXPERIMENTS.md compares 0.75, 0.85 and 0.95.
	latencyGoalFraction = 0.85
	// overshootCorrection is the factor by which an excess is corrected, so that the next measurement is below the
	// goal although the load rises.
	overshootCorrection = 2.0
	// placementLookahead is how far a load is predicted when a task is placed, for most of its run.
	placementLookahead = 2500 * cottonlanding.Millis(1)
)

// Fraction keeps serving tasks at a fixed fraction of their latency targets, however much their samples scatter. It is
// the baseline.
type Fraction struct{}

// Goal implements cottonlanding.HeadroomPolicy.
func (Fraction) Goal(task cottonlanding.ServingView) float64 {
	return UtilizationAt(cottonlanding.Millis(latencyGoalFraction*float64(task.LatencyTarget)), task.IdleTail)
}

// Budget implements cottonlanding.HeadroomPolicy. A sample over the goal lowers what is added, whatever was learnt
// before.
func (Fraction) Budget(sample cottonlanding.SampleView) float64 {
	budget := sample.Goal - sample.PeakLoad
	if over := sample.Utilization - sample.Goal; over > 0 {
		budget = min(budget, sample.Added-overshootCorrection*over)
	}
	return budget
}

// PlacementSpan implements cottonlanding.HeadroomPolicy.
func (Fraction) PlacementSpan(cottonlanding.Millis) cottonlanding.Millis { return placementLookahead }

// PlacementWeight implements cottonlanding.HeadroomPolicy.
func (Fraction) PlacementWeight(planned float64, _ cottonlanding.PairView) float64 { return planned }

// LimitsStarts implements cottonlanding.HeadroomPolicy.
func (Fraction) LimitsStarts() bool { return false }
