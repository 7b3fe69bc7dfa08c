package runner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/stand/runner"
)

// TestRunThatCrashesIsNeverDone: in a soak of real processes a task that crashes its workers was done. The
// stand-in read its clock twice, and the instant of the crash lay between the two: the crash
// wasn't due by the first, and the end was by the second.
func TestRunThatCrashesIsNeverDone(t *testing.T) {
	for offset := range cottonlanding.Millis(4) {
		readings := cottonlanding.Millis(0)
		clock := cottonlanding.ClockOf(func() cottonlanding.Millis {
			readings++ // each reading is a millisecond later
			return readings
		})
		crashing := runner.New(clock, func(cottonlanding.RunKey) runner.Fate {
			return runner.Fate{Lasts: 20 + offset, Crashes: true}
		})
		crashing.Add("a", 0)
		ref := cottonlanding.WorkerRef{Life: cottonlanding.Life{Worker: "a"}, Address: "a"}
		_, err := crashing.Start(t.Context(), ref, cottonlanding.RunStart{RunKey: run(0, 0, 1), LeaseUntil: leased, Epoch: 1})
		require.NoError(t, err)
		for range 20 {
			if report, err := crashing.Poll(t.Context(), ref, cottonlanding.Poll{Epoch: 1}); err == nil {
				require.Empty(t, report.Ended)
			}
		}
		require.Equal(t, []cottonlanding.WorkerID{"a"}, crashing.TakeCrashed())
	}
}
