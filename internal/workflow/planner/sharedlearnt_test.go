package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// TestCellsShareWeights guards against cells that learn for themselves what another cell has learnt, as in a deployment
// where no cell sees each pair often enough by itself: a cell that loads the other's row uses its weights from the
// start, one that doesn't has to try the images.
func TestCellsShareWeights(t *testing.T) {
	weights := map[cottonlanding.Image]float64{"light": 0.1, "heavy": 6}
	fill := cottonlanding.Step{Tasks: 2, Resources: cottonlanding.Resources{CPU: 3500}, Estimate: fillDuration, Fills: true, Checkpoints: true}
	serve := cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 6000}, Lasting: true, Image: "serve", LatencyTarget: target}

	first := newSharedWorker(t, weights)
	first.submit("serve", "Serve", serve)
	fill.Image = "heavy"
	first.submit("heavy", "Fill", fill)
	first.play(10*cottonlanding.Second, func(int) {})
	fill.Image = "light"
	first.submit("light", "Fill", fill)
	first.play(20*cottonlanding.Second, func(int) {})
	row := first.rows[planner.LearntKey(partition)]

	worked := func(shared bool) float64 {
		second := newSharedWorker(t, weights)
		second.submit("serve", "Serve", serve)
		second.play(5*cottonlanding.Second, func(int) {})
		if shared {
			require.NoError(t, second.cell.LoadLearntByOthers([]cottonlanding.Row{row}))
		}
		fill.Image = "heavy"
		second.submit("heavy", "Fill", fill)
		second.play(1200, func(int) {})
		return second.worked["heavy"]
	}
	require.Positive(t, worked(false), "without the other cell's row the images must be tried")
	require.Zero(t, worked(true), "with the other cell's row the weight must be known")
}

// TestUnreadableFindingsAreRefused guards against ignoring a row of another cell that can't be decoded.
func TestUnreadableFindingsAreRefused(t *testing.T) {
	s := newSharedWorker(t, nil)
	require.Error(t, s.cell.LoadLearntByOthers([]cottonlanding.Row{{Key: "Other:Learnt/Images", Value: []byte("{")}}))
}
