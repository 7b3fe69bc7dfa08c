package planner_test

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// storedPeriod returns the period in the row of what was learnt.
func (s *sharedWorker) storedPeriod() cottonlanding.Millis {
	var row planner.LearntRow
	require.NoError(s.t, json.Unmarshal(s.rows[planner.LearntKey(partition)].Value, &row))
	return row.Period
}

// newWavingWorker returns a worker whose serving task has a load with a period of 10 s.
func newWavingWorker(t *testing.T, seasonal bool) *sharedWorker {
	s := newSharedWorker(t, nil)
	s.policy.ForecastsSeasons = seasonal
	s.takeOver()
	s.load = func(now cottonlanding.Millis) float64 { return 0.48 + 0.2*math.Sin(2*math.Pi*float64(now)/10_000) }
	s.submit("serve", "Serve", cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 6000}, Lasting: true, Image: "serve", LatencyTarget: target})
	s.play(30*cottonlanding.Second, func(int) {})
	return s
}

// TestNextOwnerInheritsPeriod guards against an owner that searches again for the period that its predecessor has found,
// and against one that keeps it although the load has ceased to swing.
func TestNextOwnerInheritsPeriod(t *testing.T) {
	s := newWavingWorker(t, true)
	require.Equal(t, int64(1), s.cell.Counts().SeasonsFound)
	require.InEpsilon(t, 10_000, float64(s.storedPeriod()), 0.05)

	s.takeOver()
	s.play(5*cottonlanding.Second, func(int) {})
	require.Zero(t, s.cell.Counts().SeasonsFound, "it knows the period already")
	require.InEpsilon(t, 10_000, float64(s.storedPeriod()), 0.05, "it stores the period again")

	s.load = func(cottonlanding.Millis) float64 { return 0.48 }
	s.play(40*cottonlanding.Second, func(int) {})
	require.Equal(t, int64(1), s.cell.Counts().SeasonsLost)
	require.Zero(t, s.storedPeriod())
}

// TestLinearForecastStoresNoPeriod guards against a season that is sought where the settings don't ask for it.
func TestLinearForecastStoresNoPeriod(t *testing.T) {
	s := newWavingWorker(t, false)
	require.Zero(t, s.cell.Counts().SeasonsFound)
	require.Zero(t, s.storedPeriod())
}
