package gateway_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/partitioner"
)

// delayedReferral refers nothing until it is enabled, and then to the cell with the most free capacity.
type delayedReferral struct {
	enabled atomic.Bool
}

func (d *delayedReferral) Refer(_ cottonlanding.Workflow, home cottonlanding.CellView, others []cottonlanding.CellView) (cottonlanding.CellNumber, bool) {
	best := home
	for _, other := range others {
		if other.Usable && other.Free > best.Free {
			best = other
		}
	}
	return best.Cell, d.enabled.Load() && best.Cell != home.Cell
}

// TestHandedOverWorkflowsSurviveOwnerKills guards against workflows that are lost, not found or started twice while
// they are handed over and all owners are killed one after another. Lasting workflows that need seven eighths of all workers
// are first placed by their ids alone, so that some wait while other cells have room.
func TestHandedOverWorkflowsSurviveOwnerKills(t *testing.T) {
	referral := &delayedReferral{}
	d := deployWithReferral(t, cells, referral)
	d.awaitOwners()
	const lasting = 112
	ids := make([]cottonlanding.WorkflowID, lasting)
	for number := range ids {
		ids[number] = cottonlanding.WorkflowID(fmt.Sprintf("lasting%d", number))
		w := workflow(ids[number])
		w.Steps = w.Steps[:1]
		w.Steps[0].Lasting, w.Steps[0].Tasks = true, 1
		d.submit(number%3, w)
	}
	time.Sleep(time.Second)
	require.Less(t, d.runner.Lasting(), lasting, "some workflows wait at full homes")
	referral.enabled.Store(true)
	killed := 0
	require.Eventually(t, func() bool {
		if killed < len(d.hosts) {
			d.kill(killed)
			killed++
		}
		for number, id := range ids {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := d.hosts[number%3].State(ctx, id)
			cancel()
			require.NotErrorIs(t, err, cottonlanding.ErrNotFound, "workflow %s is not found", id)
		}
		return d.runner.Lasting() == lasting
	}, 40*time.Second, 200*time.Millisecond, "all workflows run once they may move")
	require.Equal(t, lasting, d.runner.Starts(), "each task starts once")
	for number, id := range ids {
		require.Eventually(t, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return d.hosts[number%3].Cancel(ctx, id) == nil
		}, 10*time.Second, 10*time.Millisecond)
	}
	require.Eventually(t, func() bool { return d.runner.Lasting() == 0 }, 10*time.Second, 10*time.Millisecond)
}

// lastingWorkflowAt returns a workflow of lasting tasks whose home is the given cell.
func lastingWorkflowAt(home cottonlanding.CellNumber, name string, tasks int) cottonlanding.Workflow {
	layout := partitioner.Layout{Cells: cells}
	number := 0
	id := func() cottonlanding.WorkflowID {
		return cottonlanding.WorkflowID(fmt.Sprintf("lasting-%s-%d", name, number))
	}
	for layout.Home(id()) != home {
		number++
	}
	w := workflow(id())
	w.Steps = w.Steps[:1]
	w.Steps[0].Lasting, w.Steps[0].Tasks = true, tasks
	return w
}

// handedOver returns the number of waiting workflows that were handed over to another cell.
func (d *deployment) handedOver() int64 {
	sum := int64(0)
	for _, host := range d.hosts {
		counts, _ := host.Counts()
		sum += counts.HandedOver
	}
	return sum
}

// accepted returns the number of workflows that the current owners have accepted.
func (d *deployment) accepted() int64 {
	sum := int64(0)
	for _, host := range d.hosts {
		counts, _ := host.Counts()
		sum += counts.Accepted
	}
	return sum
}

// TestWorkflowWaitsWhileAllCellsFull guards against a lasting workflow that is handed over to a full cell, where it
// waits for good while others have room, since it can't be handed over again. Just after the owners of the other cells
// had changed, nothing was known of these, and a full cell in which nothing waited seemed to have more room than the
// home.
func TestWorkflowWaitsWhileAllCellsFull(t *testing.T) {
	d := deployCells(t, cells)
	d.awaitOwners()
	const perCell, waiting = 32, 8
	for home := range cottonlanding.CellNumber(cells) {
		d.submit(0, lastingWorkflowAt(home, "fills", perCell))
	}
	require.Eventually(t, func() bool { return d.runner.Lasting() == cells*perCell }, 10*time.Second, 10*time.Millisecond)
	time.Sleep(time.Second) // every host has read that the other cells are full
	d.submit(0, lastingWorkflowAt(0, "waits", waiting))
	require.Never(t, func() bool { return d.handedOver() > 0 }, 2*time.Second, 50*time.Millisecond, "the workflow is handed over to a full cell")
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return d.hosts[0].Cancel(ctx, lastingWorkflowAt(0, "fills", perCell).ID) == nil
	}, 10*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return d.runner.Lasting() == (cells-1)*perCell+waiting }, 10*time.Second, 10*time.Millisecond, "the workflow starts at its home")
}

// TestHandedOverWorkflowHasOneHolder guards against a workflow that two cells hold at a time, or that is accepted twice
// by a cell, when it is handed over and then submitted again.
func TestHandedOverWorkflowHasOneHolder(t *testing.T) {
	referral := &delayedReferral{}
	d := deployWithReferral(t, cells, referral)
	d.awaitOwners()
	const fills, waits = 32, 3
	filling, waiting := lastingWorkflowAt(0, "fills", fills), lastingWorkflowAt(0, "waits", waits)
	d.submit(0, filling)
	require.Eventually(t, func() bool { return d.runner.Lasting() == fills }, 10*time.Second, 10*time.Millisecond)
	d.submit(1, waiting)
	require.EqualValues(t, 2, d.accepted(), "each workflow is accepted by its home")
	referral.enabled.Store(true)
	require.Eventually(t, func() bool { return d.runner.Lasting() == fills+waits }, 10*time.Second, 10*time.Millisecond, "the waiting workflow runs in another cell")
	d.submit(2, waiting)
	require.EqualValues(t, 1, d.handedOver())
	require.EqualValues(t, 3, d.accepted(), "the other cell has accepted the workflow as well")
	d.requireSingleHolder(waiting.ID)
	require.Len(t, d.recorder.history(waiting.ID).holders, 2)
}
