package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/partitioner"
)

// shortWorkflowAt returns a workflow of short tasks whose home is the given cell.
func shortWorkflowAt(home cottonlanding.CellNumber, name string, tasks int) cottonlanding.Workflow {
	layout := partitioner.Layout{Cells: cells}
	w := workflow("")
	w.Steps = w.Steps[:1]
	w.Steps[0].Tasks = tasks
	for number := 0; ; number++ {
		w.ID = cottonlanding.WorkflowID(fmt.Sprintf("short-%s-%d", name, number))
		if layout.Home(w.ID) == home {
			return w
		}
	}
}

// TestLastingWorkflowLeavesSilentHome guards against a lasting workflow that stays at a full home whose workers have
// become unreachable, although it could start at once in other cells: their short tasks end within 0.1 s, and a lasting
// task goes before them. Short tasks that wait count as used capacity, so that no cell appeared to have room.
func TestLastingWorkflowLeavesSilentHome(t *testing.T) {
	d := deployCells(t, cells)
	d.awaitOwners()
	const perCell = 32
	d.submit(0, lastingWorkflowAt(0, "fills", perCell))
	require.Eventually(t, func() bool { return d.runner.Lasting() == perCell }, 10*time.Second, 10*time.Millisecond)
	time.Sleep(time.Second) // every host has read the capacity reports
	for home := cottonlanding.CellNumber(1); home < cells; home++ {
		for number := range 8 {
			d.submit(0, shortWorkflowAt(home, fmt.Sprintf("%d-%d", home, number), 500))
		}
	}
	waits := lastingWorkflowAt(0, "waits", 1)
	d.submit(0, waits)
	for _, worker := range d.workers[:d.perCell] {
		d.runner.Dark(worker.ID, true)
	}
	require.Eventually(t, func() bool { return d.state(0, waits.ID) == cottonlanding.WorkflowRunning }, 8*time.Second, 10*time.Millisecond, "the waiting workflow starts in another cell")
}
