package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/partitioner"
)

// shortWorkflowAt is a workflow of short tasks whose home is a cell.
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

// A lasting workflow waits at a home that is full, whose workers are then cut off. In the other
// cells it would begin at once: their work is short, each task ends within a tenth of a second, and a
// lasting one goes before it. But short tasks that wait there count as room that is taken, so that
// no cell seems to have room for as long as some wait, and the workflow isn't handed over.
func TestLastingWorkflowLeavesSilentHome(t *testing.T) {
	d := deployCells(t, cells)
	d.awaitOwners()
	const perCell = 32
	d.submit(0, lastingWorkflowAt(0, "fills", perCell))
	require.Eventually(t, func() bool { return d.runner.Lasting() == perCell }, 10*time.Second, 10*time.Millisecond)
	time.Sleep(time.Second) // all know by then what is left
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
	require.Eventually(t, func() bool { return d.state(0, waits.ID) == cottonlanding.WorkflowRunning }, 8*time.Second, 10*time.Millisecond, "it begins")
}
