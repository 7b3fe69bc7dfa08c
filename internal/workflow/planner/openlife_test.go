package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// TestOpenLivesAreForgotten guards against a leak: an owner that waited for the outcome of each worker that is gone
// for good would keep all workflows that ever ran there.
func TestOpenLivesAreForgotten(t *testing.T) {
	w := newWorldWithBirths(t)
	for _, id := range []cottonlanding.WorkflowID{"a", "b", "c"} {
		w.submit(id, "Urgent", quick(2))
	}
	w.decide(turnSpan)
	w.runner.Dark("w1", true)
	w.play(8 * cottonlanding.Second)
	w.play(8 * cottonlanding.Second)
	for _, id := range []cottonlanding.WorkflowID{"a", "b", "c"} {
		w.requireState(id, cottonlanding.WorkflowSucceeded)
	}
	require.Zero(t, w.cell.OpenLives())
}
