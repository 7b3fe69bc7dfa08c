package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// crashAll has all workers crash at once for a cause of their own; each is back at once under its id,
// in a state, and its entry is read before it is heard. The first is heard last.
func (w *world) crashAll(back cottonlanding.HostState) {
	for at := range w.workers {
		w.restartWorker(at)
		w.workers[at].State = back
	}
	w.relist()
	for at := len(w.workers) - 1; at >= 0; at-- {
		w.poll(w.workers[at].ID, true)
	}
	for at := range w.workers {
		w.workers[at].State = cottonlanding.Live
	}
	w.relist()
	w.settleStops()
}

// TestLeavingNextLivesShowOuterCause: a task is held for the cause of no crash that its worker shares with
// others on which nothing had begun. Where the next lives of those were leaving, their entries
// made the crash of the lives before no surprise, the alibi was gone, and the second crash from
// outside gave the task's workflow up.
func TestLeavingNextLivesShowOuterCause(t *testing.T) {
	for name, back := range map[string]cottonlanding.HostState{"live": cottonlanding.Live, "leaving": cottonlanding.Leaving} {
		t.Run(name, func(t *testing.T) {
			w := newWorldWithBirths(t)
			w.submit("slow", "Urgent", quickOn("w1", 1))
			for range 3 {
				before := w.runner.Starts()
				w.commit()
				w.orders(func() string { return "" })
				require.Greater(t, w.runner.Starts(), before)
				w.crashAll(back)
				require.Zero(t, w.cell.Counts().FailedByCrashes)
			}
		})
	}
}
