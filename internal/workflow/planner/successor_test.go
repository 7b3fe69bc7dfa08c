package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// TestEntryOfACrashedLifeIsNoSuccessor: a worker crashes, another one comes at its address, leaves and takes its entry
// off the list while that of the crashed one, which nobody has asked yet, still stands. The crashed one was taken
// for the successor of the one that served on, whose tasks ran twice.
func TestEntryOfACrashedLifeIsNoSuccessor(t *testing.T) {
	w := bornWorld(t)
	crashed := w.workers[0]
	w.runner.Crash(crashed.ID)
	w.addLife(crashed)
	next := len(w.workers) - 1
	w.workers[next].Labels = []cottonlanding.Label{"next"}
	w.rebirth(next)
	w.relist()
	turns := func(count int) {
		for range count {
			w.decide(turnSpan)
			for _, info := range w.workers {
				if info.ID != crashed.ID {
					w.look(info.ID, true)
				}
			}
		}
	}
	turns(3)
	w.submit("slow", "Urgent", only("next", 1))
	turns(3)
	require.Equal(t, 1, w.runner.RunsOn(w.workers[next].ID))
	w.workers[1].Labels = append(w.workers[1].Labels, "next")
	w.unlist(next)
	turns(10)
	require.Empty(t, w.runner.Violations())
	require.Equal(t, 1, w.runner.Starts())
}
