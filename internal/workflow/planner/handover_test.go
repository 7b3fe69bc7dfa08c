package planner_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// TestHandOverCandidateYieldsRoom guards against a workflow that never ran taking the room of one that did when a new
// owner starts after all leases have expired and decides 700 ms after the workers have listed the ended runs. The
// displaced workflow can't be handed over and waits while other cells have room; the one that never ran could be.
func TestHandOverCandidateYieldsRoom(t *testing.T) {
	w := newSpreadWorld(t)
	const full = 32 // one core each on four workers of eight
	lasting := cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 1000, Memory: cottonlanding.Gigabyte}, Lasting: true}
	w.turn(100)
	for number := range full {
		w.submit(cottonlanding.WorkflowID(fmt.Sprintf("lb%d", number)), "Bulk", lasting)
	}
	for range 5 {
		w.turn(100)
	}
	require.Equal(t, full, w.runner.Lasting())
	const waits cottonlanding.WorkflowID = "la" // first in the order of ids, in which rows are read
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

// TestReportCountsLastingTasks guards against reports that count room of short tasks as taken for good: a cell with too
// many of those still has room for lasting ones.
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
	require.InDelta(t, 1.5, report.Lasting, 1e-9, "waiting tasks must count")
}
