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

// delayedReferral refers nothing at first, and then to the cell with the most room.
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

// TestWaitingWorkflowsMove hands in lasting workflows that fill seven eighths of all
// workers, by their ids alone, so that they wait in some cells while others have room. Once
// they may move they do, each is known at every host all the time, and each task is started
// once, also while the owners of all cells are killed one after another.
func TestWaitingWorkflowsMove(t *testing.T) {
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
	require.Less(t, d.runner.Lasting(), lasting, "some wait")
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
			require.NotErrorIs(t, err, cottonlanding.ErrNotFound, "workflow %s is denied", id)
		}
		return d.runner.Lasting() == lasting
	}, 40*time.Second, 200*time.Millisecond, "they find room")
	require.Equal(t, lasting, d.runner.Starts(), "each task is started once")
	for number, id := range ids {
		require.Eventually(t, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return d.hosts[number%3].Cancel(ctx, id) == nil
		}, 10*time.Second, 10*time.Millisecond)
	}
	require.Eventually(t, func() bool { return d.runner.Lasting() == 0 }, 10*time.Second, 10*time.Millisecond)
}

// lastingWorkflowAt is a workflow of lasting tasks whose home is a cell.
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

// handedOver counts the workflows that waited and went to another cell.
func (d *deployment) handedOver() int64 {
	sum := int64(0)
	for _, host := range d.hosts {
		counts, _ := host.Counts()
		sum += counts.HandedOver
	}
	return sum
}

// accepted counts what the present owners have accepted.
func (d *deployment) accepted() int64 {
	sum := int64(0)
	for _, host := range d.hosts {
		counts, _ := host.Counts()
		sum += counts.Accepted
	}
	return sum
}

// TestWorkflowWaitsWhileAllCellsFull has all cells full, and one workflow wait at its home. Seen: a lasting
// workflow waited for good in a full cell while others had room. Its home had looked for room
// just after the owners of those had changed, so that nothing was known of them; a full cell in
// which nothing waited seemed to have more room than the home itself, in which the workflow
// did. What was handed over can't leave the other cell again.
func TestWorkflowWaitsWhileAllCellsFull(t *testing.T) {
	d := deployCells(t, cells)
	d.awaitOwners()
	const perCell, waiting = 32, 8
	for home := range cottonlanding.CellNumber(cells) {
		d.submit(0, lastingWorkflowAt(home, "fills", perCell))
	}
	require.Eventually(t, func() bool { return d.runner.Lasting() == cells*perCell }, 10*time.Second, 10*time.Millisecond)
	time.Sleep(time.Second) // all know by then that the others are full
	d.submit(0, lastingWorkflowAt(0, "waits", waiting))
	require.Never(t, func() bool { return d.handedOver() > 0 }, 2*time.Second, 50*time.Millisecond, "it goes where there is no room")
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return d.hosts[0].Cancel(ctx, lastingWorkflowAt(0, "fills", perCell).ID) == nil
	}, 10*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return d.runner.Lasting() == (cells-1)*perCell+waiting }, 10*time.Second, 10*time.Millisecond, "it begins")
}

// TestHandedOverWorkflowHasOneHolder has a workflow wait at its home, and room elsewhere. It is
// accepted by its home and, once it is handed over, by the other cell, also in the counts; at no
// time do both keep it, also if it is handed in again.
func TestHandedOverWorkflowHasOneHolder(t *testing.T) {
	referral := &delayedReferral{}
	d := deployWithReferral(t, cells, referral)
	d.awaitOwners()
	const fills, waits = 32, 3
	filling, waiting := lastingWorkflowAt(0, "fills", fills), lastingWorkflowAt(0, "waits", waits)
	d.submit(0, filling)
	require.Eventually(t, func() bool { return d.runner.Lasting() == fills }, 10*time.Second, 10*time.Millisecond)
	d.submit(1, waiting)
	require.EqualValues(t, 2, d.accepted(), "each is accepted by its home")
	referral.enabled.Store(true)
	require.Eventually(t, func() bool { return d.runner.Lasting() == fills+waits }, 10*time.Second, 10*time.Millisecond, "it finds room")
	d.submit(2, waiting)
	require.EqualValues(t, 1, d.handedOver())
	require.EqualValues(t, 3, d.accepted(), "the other cell has accepted it as well")
	d.requireSingleHolder(waiting.ID)
	require.Len(t, d.recorder.history(waiting.ID).holders, 2)
}
