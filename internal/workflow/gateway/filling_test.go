package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// A lasting workflow waits at a home that is full, as are two other cells. The fourth runs but
// lasting tasks that fill, which take only the processors that others leave, and hold no
// processor back from one that has room reserved. So the workflow is to go there.
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
	require.Eventually(t, func() bool { return d.runner.Lasting() == cells*perCell }, 10*time.Second, 10*time.Millisecond, "all run")
	time.Sleep(time.Second) // all know by then what is left
	d.submit(0, lastingWorkflowAt(0, "waits", 1))
	referral.enabled.Store(true)
	require.Eventually(t, func() bool { return d.runner.Lasting() == cells*perCell+1 }, 8*time.Second, 10*time.Millisecond, "it begins")
}
