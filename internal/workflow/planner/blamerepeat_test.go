package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRepeatedStartReachesOneLife guards against one start that crashes life after life: an unanswered start is
// repeated each 250 ms while the worker answered a poll within three seconds. If each life is back under its id
// sooner than that and no poll is sent, as while ends wait for their commit, each copy would begin the task in
// another life, and none of these crashes would count before the next poll.
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
