package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// TestLastingWorkflowMovesBesideFilling guards against a lasting workflow that isn't handed over to a cell that runs
// only filling tasks, because these count as used capacity. They use only CPU that others leave, so a task with a
// reservation can run beside them. The workflow's home and two other cells are full.
func TestLastingWorkflowMovesBesideFilling(t *testing.T) {
	referral := &delayedReferral{}
	d := deployWithReferral(t, cells, referral)
	d.awaitOwners()
	const perCell, fillingCell = 32, 3
	for home := range cottonlanding.CellNumber(fillingCell) {
		d.submit(0, lastingWorkflowAt(home, "fills", perCell))
	}
	filling := lastingWorkflowAt(fillingCell, "beside", perCell)
	filling.Steps[0].Fills, filling.Steps[0].Image = true, "batch"
	filling.Steps[0].Resources.Memory = cottonlanding.Megabyte
	d.submit(0, filling)
	require.Eventually(t, func() bool { return d.runner.Lasting() == cells*perCell }, 10*time.Second, 10*time.Millisecond, "all tasks of the full and the filling cells run")
	time.Sleep(time.Second) // every host has read the capacity reports
	d.submit(0, lastingWorkflowAt(0, "waits", 1))
	referral.enabled.Store(true)
	require.Eventually(t, func() bool { return d.runner.Lasting() == cells*perCell+1 }, 8*time.Second, 10*time.Millisecond, "the waiting workflow starts beside the filling tasks")
}
