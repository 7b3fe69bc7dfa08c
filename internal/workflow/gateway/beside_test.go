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
func TestLastingWorkflowMovesBesideFillingOnes(t *testing.T) {
	referral := &lateReferral{}
	d := deployWith(t, cells, referral)
	d.settled()
	const perCell, beside = 32, 3
	for home := range cottonlanding.CellNumber(beside) {
		d.submit(0, lastingAt(home, "fills", perCell))
	}
	filling := lastingAt(beside, "beside", perCell)
	filling.Steps[0].Fills, filling.Steps[0].Image = true, "batch"
	filling.Steps[0].Resources.Memory = cottonlanding.Megabyte
	d.submit(0, filling)
	require.Eventually(t, func() bool { return d.runner.Lasting() == cells*perCell }, 10*time.Second, 10*time.Millisecond, "all run")
	time.Sleep(time.Second) // all know by then what is left
	d.submit(0, lastingAt(0, "waits", 1))
	referral.open.Store(true)
	require.Eventually(t, func() bool { return d.runner.Lasting() == cells*perCell+1 }, 8*time.Second, 10*time.Millisecond, "it begins")
}
