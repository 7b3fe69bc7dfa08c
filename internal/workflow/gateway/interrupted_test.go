package gateway_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// maxDowntime is how soon a lasting task must run again where capacity for it exists twice over. Source:
// the users' rule on lost tasks: six seconds after its last run, and three of calm.
const maxDowntime = 9 * time.Second

// crashWorkerWithLastingTask crashes the first worker with a lasting task.
func (d *deployment) crashWorkerWithLastingTask(lasting int) {
	for _, worker := range d.workers {
		d.runner.Crash(worker.ID)
		if d.runner.Lasting() < lasting {
			return
		}
		d.runner.Add(worker.ID, 5000) // it was idle
	}
	require.Fail(d.t, "no worker has a lasting task")
}

// TestInterruptedTasksDelegated fills one cell with lasting tasks, beside others that are
// empty, and crashes one of its workers for good. What is lost with it runs again. Seen: it waited in
// its cell for as long as that was full.
func TestInterruptedTasksDelegated(t *testing.T) {
	d := deployCells(t, cells)
	d.awaitOwners()
	const lasting = 32
	d.submit(0, lastingWorkflowAt(0, "fills", lasting))
	require.Eventually(t, func() bool { return d.runner.Lasting() == lasting }, 10*time.Second, 10*time.Millisecond)
	d.crashWorkerWithLastingTask(lasting)
	require.Eventually(t, func() bool { return d.runner.Lasting() == lasting }, maxDowntime, 10*time.Millisecond, "other cells have room for what was lost")
}

// TestInterruptedTasksDelegatedDuringOwnerChanges loses two workers of a full cell for good while all owners are
// killed, some time after that. Seen: what was lost waited in its cell for good. It runs elsewhere in time,
// each task once, and ends with its workflow.
func TestInterruptedTasksDelegatedDuringOwnerChanges(t *testing.T) {
	for _, killedAfter := range []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second} {
		t.Run(killedAfter.String(), func(t *testing.T) {
			t.Parallel()
			d := deployCells(t, cells)
			d.awaitOwners()
			const lasting = 32
			filling := lastingWorkflowAt(0, "fills", lasting)
			d.submit(0, filling)
			require.Eventually(t, func() bool { return d.runner.Lasting() == lasting }, 10*time.Second, 10*time.Millisecond)
			d.crashWorkerWithLastingTask(lasting)
			d.crashWorkerWithLastingTask(d.runner.Lasting())
			time.Sleep(killedAfter)
			for host := range d.hosts {
				d.kill(host)
			}
			require.Eventually(t, func() bool { return d.runner.Lasting() == lasting }, maxDowntime, 10*time.Millisecond, "other cells have room for what was lost")
			require.Eventually(t, func() bool {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				return d.hosts[0].Cancel(ctx, filling.ID) == nil
			}, 10*time.Second, 10*time.Millisecond)
			require.Eventually(t, func() bool { return d.runner.Running() == 0 }, 5*time.Second, 10*time.Millisecond, "nothing of it is left in any cell")
		})
	}
}

// TestInterruptedTasksUseRoomTooSmallForOthers has lasting tasks wait in each cell that are too large for what its
// workers have left, and crashes a worker with small ones for good. Seen: no cell with tasks that wait took any from
// another one, so that what was lost waited for good beside workers with room for it.
func TestInterruptedTasksUseRoomTooSmallForOthers(t *testing.T) {
	const (
		full, nearlyFull = 32, 28
		lasting          = full + (cells-1)*nearlyFull
	)
	d := deployCells(t, cells)
	d.awaitOwners()
	d.submit(0, lastingWorkflowAt(0, "fills", full))
	for cell := 1; cell < cells; cell++ {
		d.submit(0, lastingWorkflowAt(cottonlanding.CellNumber(cell), "nearly", nearlyFull))
	}
	require.Eventually(t, func() bool { return d.runner.Lasting() == lasting }, 10*time.Second, 10*time.Millisecond)
	for cell := range cells {
		large := lastingWorkflowAt(cottonlanding.CellNumber(cell), "large", 2)
		large.Steps[0].Resources.CPU = 8000
		d.submit(0, large)
	}
	time.Sleep(3 * time.Second) // all owners tell of what waits
	require.Equal(t, lasting, d.runner.Lasting(), "nothing large finds room")
	d.crashWorkerWithLastingTask(lasting)
	require.Eventually(t, func() bool { return d.runner.Lasting() == lasting }, maxDowntime, 10*time.Millisecond, "the other cells have room for what was lost")
}
