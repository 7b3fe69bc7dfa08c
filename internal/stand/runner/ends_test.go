package runner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/stand/runner"
)

// TestEndsAreDated checks that the last run of a task has ended when it was stopped, its lease ran out or its worker
// crashed, however much later that is asked for, and that a run which goes on is listed on its worker.
func TestEndsAreDated(t *testing.T) {
	now := cottonlanding.Millis(1)
	stand := runner.New(cottonlanding.ClockOf(func() cottonlanding.Millis { return now }), func(cottonlanding.RunKey) runner.Fate {
		return runner.Fate{Forever: true}
	})
	stand.Add("a", 0)
	ref := cottonlanding.WorkerRef{Life: cottonlanding.Life{Worker: "a"}, Address: "a"}
	start := func(number cottonlanding.RunNumber, until cottonlanding.Reading) {
		_, err := stand.Start(t.Context(), ref, cottonlanding.RunStart{RunKey: run(0, 0, number), LeaseUntil: until, Epoch: 1})
		require.NoError(t, err)
		require.Equal(t, []cottonlanding.RunKey{run(0, 0, number)}, stand.RunsByWorker()["a"])
	}
	task := run(0, 0, 1).Task
	start(1, 100)
	require.Zero(t, stand.EndedAt(task))
	now = 50
	require.NoError(t, stand.Stop(t.Context(), ref, run(0, 0, 1), 1))
	require.Equal(t, cottonlanding.Millis(50), stand.EndedAt(task))
	start(2, 200)
	now = 300
	require.Empty(t, stand.RunsByWorker()["a"])
	require.Equal(t, cottonlanding.Millis(200), stand.EndedAt(task), "when its lease ran out")
	start(3, 1000)
	now = 400
	stand.Crash("a")
	require.Equal(t, cottonlanding.Millis(400), stand.EndedAt(task))
}
