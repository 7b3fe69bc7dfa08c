package planner_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// TestHandOverCandidateYieldsRoom has a cell full of lasting workflows and one more wait, until the
// owner dies and all leases run out before the next one is there. Seen: that one decided 700 ms
// after the workers had listed the ends; the workflow that had waited got the room of one that
// had run, and this waited for good, as it can't be handed over, while other cells had room.
func TestHandOverCandidateYieldsRoom(t *testing.T) {
	w := newSpreadWorld(t)
	const full = 32 // on four workers of eight cores
	lasting := cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 1000, Memory: cottonlanding.Gigabyte}, Lasting: true}
	w.turn(100)
	for number := range full {
		w.submit(cottonlanding.WorkflowID(fmt.Sprintf("lb%d", number)), "Bulk", lasting)
	}
	for range 5 {
		w.turn(100)
	}
	require.Equal(t, full, w.runner.Lasting())
	const waits cottonlanding.WorkflowID = "la" // rows are read in the order of ids
	w.submit(waits, "Bulk", lasting)
	w.turn(100)

	w.now += 2 * w.timing.Lease
	w.takeOver()
	w.pollAll()
	w.now += 700
	w.turn(0)
	require.Equal(t, full, w.runner.Lasting())
	left := w.cell.HandOverCandidates(full, w.now)
	require.Len(t, left, 1)
	require.Equal(t, waits, left[0].ID)
}

// TestReportCountsLastingTasks: room that short tasks hold or wait for comes free, so that a
// cell with too many of those still has room for lasting ones.
func TestReportCountsLastingTasks(t *testing.T) {
	w := newSpreadWorld(t)
	step := cottonlanding.Step{Tasks: 16, Resources: cottonlanding.Resources{CPU: 1000, Memory: cottonlanding.Gigabyte}, Estimate: slowDuration}
	lasting := step
	lasting.Lasting = true
	w.turn(100)
	w.submit("lasting", "Bulk", lasting)
	w.turn(100)
	step.Tasks = 40
	w.submit("slow", "Bulk", step)
	w.turn(100)
	report, usable := w.cell.Report(w.now + cottonlanding.Second)
	require.True(t, usable)
	require.InDelta(t, -0.75, report.Free, 1e-9)
	require.InDelta(t, 0.5, report.Lasting, 1e-9)
	w.submit("lastingToo", "Bulk", lasting, lasting)
	report, _ = w.cell.Report(w.now + cottonlanding.Second)
	require.InDelta(t, 1.5, report.Lasting, 1e-9, "what waits counts")
}
