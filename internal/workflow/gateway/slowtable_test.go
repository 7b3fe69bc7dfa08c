package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
)

// TestTasksSurviveOwnersKilledWithSlowTable guards against interrupted lasting tasks when all owners are killed while
// the table is slow: the time without an owner must be shorter than the workers' leases.
func TestTasksSurviveOwnersKilledWithSlowTable(t *testing.T) {
	d := deployWithSlowCall(t, cells, selector.Default().Referral, slowCall)
	d.awaitOwners()
	const perCell = 24
	for home := range cottonlanding.CellNumber(cells) {
		d.submit(0, lastingWorkflowAt(home, "lasts", perCell))
	}
	require.Eventually(t, func() bool { return d.runner.Lasting() == cells*perCell }, 10*time.Second, 10*time.Millisecond, "all tasks run")
	d.table.callDelay.Store(int64((slowCall + 20).Duration()))
	for host := range d.hosts {
		d.kill(host)
		time.Sleep(200 * time.Millisecond)
	}
	require.Never(t, func() bool { return d.runner.Starts() > cells*perCell }, 10*time.Second, 50*time.Millisecond, "each task starts once")
	require.Equal(t, cells*perCell, d.runner.Lasting(), "all tasks continue")
}
