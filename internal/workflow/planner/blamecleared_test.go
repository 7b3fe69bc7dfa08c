package planner_test

import (
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// placement is how a cell's fingerprint tells where a task runs.
var placement = regexp.MustCompile(` A \d+ (\w+)@`)

// placedOn returns which worker the only task was last placed on.
func (w *world) placedOn() int {
	found := placement.FindStringSubmatch(w.cell.Fingerprint(w.now))
	require.NotNil(w.t, found, "the task is nowhere")
	for at, info := range w.workers {
		if string(info.ID) == found[1] {
			return at
		}
	}
	require.Fail(w.t, "no such worker", found[1])
	return -1
}

// crashPlaced has the worker that the only task was placed on be followed by another life.
func (w *world) crashPlaced() {
	w.restartWorker(w.placedOn())
	w.relist()
	w.play(cottonlanding.Second)
}

// TestClearedLapseLeavesLaterLoss: a lease ran out under a task, which was cleared of that by a run that
// lasted, and has lost another worker since. That the first worker was only cut off takes nothing of the
// later loss back.
func TestClearedLapseLeavesLaterLoss(t *testing.T) {
	w := newWorldWithBirths(t)
	w.submit("slow", "Urgent", quick(1))
	w.decide(turnSpan)
	w.decide(turnSpan)
	cut := w.workers[w.placedOn()].ID
	w.runner.Dark(cut, true) // it may just have begun there
	w.play(9 * cottonlanding.Second)
	require.NotEqual(t, cut, w.workers[w.placedOn()].ID)
	require.Contains(t, w.cell.Fingerprint(w.now), "{0 0} "+string(cut)+"@", "what became of the worker is open, and nothing counts")
	w.play(11 * cottonlanding.Second)
	require.Contains(t, w.cell.Fingerprint(w.now), "{0 0}  true", "it was cleared")
	w.crashPlaced() // it had lasted there
	require.Contains(t, w.cell.Fingerprint(w.now), "{0 0}  true")
	w.restartWorker(w.placedOn())
	w.relist()
	w.playUntilStarted()
	w.restartWorker(w.placedOn()) // it has just begun
	w.relist()
	w.play(cottonlanding.Second)
	require.Contains(t, w.cell.Fingerprint(w.now), "{1 0}  true")
	w.runner.Dark(cut, false)
	w.play(cottonlanding.Second)
	require.Contains(t, w.cell.Fingerprint(w.now), "{1 0}  true", "the later loss stands")
}
