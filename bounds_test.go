package cottonlanding_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// TestDueDoesNotOverflow guards against a schedule of which all rounds are due at once because the time of a later round
// overflows.
func TestDueDoesNotOverflow(t *testing.T) {
	const now = 1_800_000_000_000
	for _, s := range []cottonlanding.Schedule{
		{First: math.MaxInt64, Interval: math.MaxInt64},
		{First: math.MaxInt64, Interval: 1},
		{First: now, Interval: math.MaxInt64},
		{First: now, Interval: math.MaxInt64 / 2},
		{First: math.MinInt64, Interval: math.MaxInt64},
	} {
		for _, round := range []int{1, 2, 3, 1000, math.MaxInt} {
			require.Greater(t, s.Due(round), int64(now), "%+v, round %d", s, round)
		}
	}
	require.Equal(t, int64(now+3000), cottonlanding.Schedule{First: now, Interval: cottonlanding.Second}.Due(3))
	require.Zero(t, cottonlanding.Schedule{First: math.MinInt64}.Due(5))
}

// TestLongDurations guards against a duration that overflows and fires a timer at once.
func TestLongDurations(t *testing.T) {
	require.Positive(t, cottonlanding.Millis(math.MaxInt64).Duration())
	require.Negative(t, cottonlanding.Millis(math.MinInt64).Duration())
	require.Equal(t, 1500*time.Millisecond, cottonlanding.Millis(1500).Duration())
}

// TestBoundedWorkflow guards against sums of declared figures that overflow, and against bounds that change a step
// within them.
func TestBoundedWorkflow(t *testing.T) {
	most := cottonlanding.Resources{CPU: math.MaxInt64, Memory: math.MaxInt64, Accelerators: math.MaxInt64}
	w := cottonlanding.Workflow{Steps: []cottonlanding.Step{
		{Tasks: 1000, Resources: most, Estimate: math.MaxInt64, LatencyTarget: math.MaxInt64},
		{Tasks: 1, Estimate: math.MinInt64},
		{Tasks: 6, Resources: cottonlanding.Resources{CPU: 2300, Memory: cottonlanding.Gigabyte}, Estimate: 640, LatencyTarget: 90},
	}}
	bounded := w.Bounded()
	require.Equal(t, w.Steps[2], bounded.Steps[2])
	require.Zero(t, bounded.Steps[0].Estimate)
	require.Zero(t, bounded.Steps[1].Estimate)
	sum := bounded.Steps[0].Resources.Times(1000).Plus(bounded.Steps[0].Resources)
	require.Positive(t, sum.CPU)
	require.Positive(t, sum.Memory)
	require.Positive(t, sum.Accelerators)
	require.Equal(t, cottonlanding.Millis(math.MaxInt64), w.Steps[0].Estimate, "the workflow itself is unchanged")
}
