package planner_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/log/writer"
)

// TestLastingTaskLogsSurviveBusySecond guards against lines about thousands of short tasks that displace those
// about lasting ones: the log of the busiest second shows which lasting tasks are down, which run again, and why
// workers were lost.
func TestLastingTaskLogsSurviveBusySecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // all lines fall into one second of the log
		w := newSpreadWorld(t)
		out := &bytes.Buffer{}
		lines := writer.New(out)
		w.log = slog.New(lines.Handler(nil))
		w.takeOver()
		w.play(cottonlanding.Second)
		w.submit("lasting", "Urgent", lasting(8, 2, 3000))
		w.play(cottonlanding.Second)
		for number := range 2000 {
			w.submit(cottonlanding.WorkflowID(fmt.Sprintf("b%d", number)), "Bulk", short(100))
		}
		w.play(2 * cottonlanding.Second)
		w.crash(0)
		w.join()
		w.play(restartTimeout)
		require.True(t, w.runsAll("lasting", 8))
		lines.Close()
		require.NotEmpty(t, logLines(t, out, "log lines dropped"), "it is the busiest second")
		require.Len(t, logLines(t, out, "lasting tasks down"), 1)
		require.Len(t, logLines(t, out, "lasting tasks run again", "lasting task runs again"), 1)
		require.Len(t, logLines(t, out, "worker lost"), 1)
	})
}
