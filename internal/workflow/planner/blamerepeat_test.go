package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRepeatedStartReachesOneLife: a start without an answer is repeated each 250 ms while the worker
// answered a look within three seconds. Where each life that it ends is back under its id sooner, and
// no look is under way, as while ends wait for their commit, each copy begins the task in another
// life, and none of these crashes is counted before the next look.
func TestRepeatedStartReachesOneLife(t *testing.T) {
	w := newFaultyTask(t)
	for range 80 {
		w.now += turnSpan
		w.commit()
		w.orders(func() string { return "unanswered" })
		w.now += crashDelay
		if len(w.runner.TakeCrashed()) > 0 {
			w.restartWorker(0)
		}
	}
	require.Empty(t, w.runner.Violations())
}
