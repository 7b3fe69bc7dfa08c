package budgeter_test

import (
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/throttler"
	"github.com/cottonlanding/cottonlanding/internal/workflow/budgeter"
)

// TestScatterLowersPaces guards against heavy filling work near the top of a wave whose scatter takes samples over the
// target, and against slowing light work there.
func TestScatterLowersPaces(t *testing.T) {
	for _, test := range []struct {
		policy cottonlanding.HeadroomPolicy
		spread float64
		paces  []int
	}{
		{throttler.Fraction{}, 0.06, []int{49, 100}},
		{throttler.Spread{}, 0.02, []int{55, 100}},
		{throttler.Spread{}, 0.06, []int{25, 100}},
		{throttler.Spread{}, 0.12, []int{0, 100}},
	} {
		goal := test.policy.Goal(cottonlanding.ServingView{LatencyTarget: 18, IdleTail: 4, Spread: test.spread})
		budget := test.policy.Budget(cottonlanding.SampleView{Utilization: 0.6, Goal: goal, Load: 0.6, PeakLoad: 0.61})
		tasks := []budgeter.Task{{Weights: []float64{2}, Share: 0.11, Pace: 60}, {Weights: []float64{0.1}, Share: 0.11, Pace: 60}}
		budgeter.SetPaces([]budgeter.Budget{{Heavy: budget, Light: math.Inf(1)}}, tasks)
		require.Equal(t, test.paces, []int{tasks[0].Pace, tasks[1].Pace}, "%T, spread %v", test.policy, test.spread)
	}
}

// TestNoiseAloneKeepsBudget guards against a single high sample that pauses work which the goal has room for.
func TestNoiseAloneKeepsBudget(t *testing.T) {
	sample := cottonlanding.SampleView{Utilization: 0.76, Goal: 0.68, Load: 0.5, PeakLoad: 0.5, Added: 0.15}
	require.InDelta(t, 0.12, throttler.Spread{}.Budget(sample), 0.01)
	sample.Goal = 0.74
	require.InDelta(t, 0.11, throttler.Fraction{}.Budget(sample), 0.01, "baseline")
}

// TestSpreadIsMeasured guards against goals for a scatter other than that of the samples, and against outliers or
// absurd samples that close all budgets.
func TestSpreadIsMeasured(t *testing.T) {
	for scatter, want := range map[float64]float64{0.001: 0.02, 0.03: 0.03, 0.06: 0.06, 0.1: 0.1, 0.5: 0.12} {
		random, spread := rand.New(rand.NewSource(1)), budgeter.NewSpread()
		require.Equal(t, 0.06, math.Round(100*spread.Value())/100)
		for range 3000 {
			spread.Observe(scatter*random.NormFloat64(), 1)
		}
		require.InDelta(t, want, spread.Value(), 0.15*want)
		for range 3 {
			spread.Observe(9, 1)
		}
		require.InDelta(t, want, spread.Value(), 0.25*want)
	}
}

// TestBurstWaitsForSample guards against a burst of starts beside one serving task, and against a load that keeps out
// all light work.
func TestBurstWaitsForSample(t *testing.T) {
	require.True(t, budgeter.AllowsStart(-0.2, 0.02, 0))
	require.True(t, budgeter.AllowsStart(0.05, 0.02, 2))
	require.False(t, budgeter.AllowsStart(0.01, 0.02, 2))
}
