package gateway_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// maxDowntime is the longest permitted time until a lasting task runs again if there is twice the capacity that it
// needs: the sum of six seconds after its last run, as long as a lease lasts, and three undisturbed seconds.
const maxDowntime = 9 * time.Second

// crashWorkerWithLastingTask crashes the first worker that runs a lasting task.
func (d *deployment) crashWorkerWithLastingTask(lasting int) {
	for _, worker := range d.workers {
		d.runner.Crash(worker.ID)
		if d.runner.Lasting() < lasting {
			return
		}
		d.runner.Add(worker.ID, 5000) // it ran no lasting task
	}
	require.Fail(d.t, "no worker has a lasting task")
}

// TestInterruptedTasksDelegated guards against interrupted tasks that wait in their full cell while other cells are
// empty. One worker of the full cell crashes for good.
func TestInterruptedTasksDelegated(t *testing.T) {
	d := deployCells(t, cells)
	d.awaitOwners()
	const lasting = 32
	d.submit(0, lastingWorkflowAt(0, "fills", lasting))
	require.Eventually(t, func() bool { return d.runner.Lasting() == lasting }, 10*time.Second, 10*time.Millisecond)
	d.crashWorkerWithLastingTask(lasting)
	require.Eventually(t, func() bool { return d.runner.Lasting() == lasting }, maxDowntime, 10*time.Millisecond, "other cells have room for what was lost")
}

// TestInterruptedTasksDelegatedDuringOwnerChanges guards against interrupted tasks that wait for good in their full
// cell, run twice or outlive their workflow, when two workers crash for good and all owners are killed at some time
// after that.
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
			require.Eventually(t, func() bool { return d.runner.Running() == 0 }, 5*time.Second, 10*time.Millisecond, "no cell runs a task of the cancelled workflow")
		})
	}
}

// TestInterruptedTasksUseRoomTooSmallForOthers guards against interrupted tasks that wait for good beside workers with
// room for them, because no cell with waiting tasks accepts tasks of another cell. Here the waiting tasks of each cell
// are too large for what its workers have left.
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
	time.Sleep(3 * time.Second) // all owners have reported their waiting tasks
	require.Equal(t, lasting, d.runner.Lasting(), "no large task runs")
	d.crashWorkerWithLastingTask(lasting)
	require.Eventually(t, func() bool { return d.runner.Lasting() == lasting }, maxDowntime, 10*time.Millisecond, "other cells run the interrupted tasks")
}
