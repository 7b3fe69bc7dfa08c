package planner_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// placedOn returns which worker the only task was last placed on.
func (w *world) placedOn() int {
	for at, info := range w.workers {
		if strings.Contains(w.cell.Fingerprint(w.now), string(info.ID)+"@") {
			return at
		}
	}
	require.Fail(w.t, "the task is nowhere")
	return -1
}

// crashPlaced has the worker that the only task was placed on be followed by another life.
func (w *world) crashPlaced() {
	w.rebirth(w.placedOn())
	w.relist()
	w.play(cottonlanding.Second)
}

// TestLossThatWasClearedIsNotTakenBack: a task was cleared of a loss by a run that lasted, and has lost
// another worker since. That the first worker was only cut off takes nothing of the later loss back.
func TestLossThatWasClearedIsNotTakenBack(t *testing.T) {
	w := bornWorld(t)
	w.submit("slow", "Urgent", quick(1))
	w.play(cottonlanding.Second)
	cut := w.workers[w.placedOn()].ID
	w.runner.Dark(cut, true)
	w.play(9 * cottonlanding.Second)
	require.NotEqual(t, cut, w.workers[w.placedOn()].ID)
	require.Contains(t, w.cell.Fingerprint(w.now), "{1 0}")
	w.play(11 * cottonlanding.Second)
	require.Contains(t, w.cell.Fingerprint(w.now), "{0 0}", "it was cleared")
	w.crashPlaced() // it had lasted there
	w.crashPlaced()
	require.Contains(t, w.cell.Fingerprint(w.now), "{1 1}")
	w.runner.Dark(cut, false)
	w.play(cottonlanding.Second)
	require.Contains(t, w.cell.Fingerprint(w.now), "{1 1}", "the later loss stands")
}
