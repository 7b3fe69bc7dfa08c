package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// crashAll crashes all workers at once for an outer cause. Each is back at once under its id in the given state, and
// its entry is read before it answers. The first worker answers last.
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

// TestLeavingNextLivesShowOuterCause guards against blaming a task for a crash that its worker shares with others on
// which nothing had begun. Where the next lives of the others were leaving, their entries made the ends of the
// previous lives look expected, the outer cause was missed, and the second such crash gave up the task's workflow.
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
