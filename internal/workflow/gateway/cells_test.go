package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// cells is the number of cells in the deployments of these tests.
const cells = 4

// owned returns the number of owned cells.
func (d *deployment) owned() int {
	sum := 0
	for _, host := range d.hosts {
		sum += host.Owned()
	}
	return sum
}

// awaitOwners waits until each cell has an owner and each host knows the cells.
func (d *deployment) awaitOwners() {
	d.t.Helper()
	require.Eventually(d.t, func() bool {
		for _, host := range d.hosts {
			if !host.Ready() {
				return false
			}
		}
		return d.owned() == cells
	}, 15*time.Second, 10*time.Millisecond)
}

// kill stops a host without releasing its cells, and starts it again at another address.
func (d *deployment) kill(host int) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.hosts[host].Close(ctx)
	d.restarts++
	d.hosts[host] = d.host(100*d.restarts + host)
}

// TestCellsSpreadOverHosts guards against a host that owns all cells, a workflow that can't be submitted or queried at
// a host which doesn't own its cell, and a waiting count that leaves out cells.
func TestCellsSpreadOverHosts(t *testing.T) {
	d := deployCells(t, cells)
	d.awaitOwners()
	for at, host := range d.hosts {
		require.Less(t, host.Owned(), cells, "host %d owns all cells", at)
	}
	for number := range 24 {
		d.submit(number%3, workflow(cottonlanding.WorkflowID(fmt.Sprintf("w%d", number))))
	}
	for number := range 24 {
		d.requireSuccess((number+1)%3, cottonlanding.WorkflowID(fmt.Sprintf("w%d", number)))
	}
	require.Equal(t, 6*24, d.runner.Starts(), "each task starts once")

	const unplaceable = 20
	for number := range unplaceable {
		w := workflow(cottonlanding.WorkflowID(fmt.Sprintf("wide%d", number)))
		w.Steps[0].Resources.CPU = 9000 // more than any worker has
		d.submit(number%3, w)
	}
	for _, host := range d.hosts {
		waiting, err := host.Waiting(context.Background(), "Q")
		require.NoError(t, err)
		require.Equal(t, unplaceable, waiting)
	}
}

// TestFullCellRefersWorkflows guards against workflows that wait at a full home while other cells have room, and
// against referred ones that can't be found by their id at each host, also while their home has no owner.
func TestFullCellRefersWorkflows(t *testing.T) {
	d := deployCells(t, cells)
	d.awaitOwners()
	const lasting = 40 // of three tasks; each cell has room for 32 of them
	for number := range lasting {
		w := workflow(cottonlanding.WorkflowID(fmt.Sprintf("lasting%d", number)))
		w.Steps = w.Steps[:1]
		w.Steps[0].Lasting = true
		d.submit(number%3, w)
	}
	referred := int64(0)
	for _, host := range d.hosts {
		if counts, owns := host.Counts(); owns {
			referred += counts.Referred
		}
	}
	t.Logf("%d of %d workflows were referred, %d handed over", referred, lasting, d.handedOver())
	require.Positive(t, referred)
	for number := range lasting {
		id := cottonlanding.WorkflowID(fmt.Sprintf("lasting%d", number))
		w := workflow(id)
		w.Steps = w.Steps[:1]
		w.Steps[0].Lasting = true
		d.submit((number+1)%3, w) // retry, as after a lost response
		for host := range d.hosts {
			require.NotEmpty(t, d.state(host, id))
		}
	}
	for number := range lasting {
		d.requireSingleHolder(cottonlanding.WorkflowID(fmt.Sprintf("lasting%d", number)))
	}
	d.kill(0)
	for number := range lasting {
		id := cottonlanding.WorkflowID(fmt.Sprintf("lasting%d", number))
		require.Eventually(t, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := d.hosts[1].State(ctx, id)
			require.NotErrorIs(t, err, cottonlanding.ErrNotFound)
			return err == nil
		}, 10*time.Second, 10*time.Millisecond)
	}
	for number := range lasting {
		id := cottonlanding.WorkflowID(fmt.Sprintf("lasting%d", number))
		require.Eventually(t, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return d.hosts[number%3].Cancel(ctx, id) == nil
		}, 10*time.Second, 10*time.Millisecond)
	}
}

// requireSingleHolder requires that a workflow is held by one cell, and was accepted a second time only after its home
// had handed it over. During a hand-over no cell holds it.
func (d *deployment) requireSingleHolder(id cottonlanding.WorkflowID) {
	d.t.Helper()
	require.Eventually(d.t, func() bool { return d.recorder.history(id).held }, 10*time.Second, 10*time.Millisecond, "workflow %s is held by a cell", id)
	require.Empty(d.t, d.recorder.inconsistencies())
	holders := d.recorder.history(id).holders
	require.LessOrEqual(d.t, len(holders), 2, "workflow %s is handed over more than once: %v", id, holders)
	require.Len(d.t, slices.Compact(holders), len(holders), "workflow %s is handed over to the same cell: %v", id, holders)
}

// TestOwnersKilledDuringSubmits guards against accepted workflows that are lost, and tasks that run twice, when one,
// two or all hosts are killed while clients submit workflows and retry until these are accepted.
func TestOwnersKilledDuringSubmits(t *testing.T) {
	random := rand.New(rand.NewSource(20261202))
	d := deployCells(t, cells)
	d.awaitOwners()
	var accepted []cottonlanding.WorkflowID
	for round, kills := range [][]int{{0}, {1}, {2}, {0, 1}, {0, 1, 2}} {
		for number := range 8 {
			id := cottonlanding.WorkflowID(fmt.Sprintf("w%d-%d", round, number))
			d.submit(random.Intn(3), workflow(id))
			accepted = append(accepted, id)
			if number == 3 {
				for _, host := range kills {
					d.kill(host)
				}
			}
		}
	}
	for _, id := range accepted {
		d.requireSuccess(random.Intn(3), id)
	}
}

// TestUnreadableLayout guards against a layout that can't be decoded: the current one must stay in force, nobody may
// replace the row, and a host that starts meanwhile must refuse calls.
func TestUnreadableLayout(t *testing.T) {
	d := deployCells(t, cells)
	d.awaitOwners()
	rows, err := d.table.Read(context.Background(), "Cells:Watched/Layout")
	require.NoError(t, err)
	require.Len(t, rows, 1)
	_, err = d.table.Commit(context.Background(), cottonlanding.Transaction{ID: "bad",
		Writes: []cottonlanding.Write{{Key: "Cells:Watched/Layout", Expect: rows[0].Version, Value: []byte(`{"Cells":"many"}`)}}})
	require.NoError(t, err)
	time.Sleep(1500 * time.Millisecond)
	for number := range 8 {
		id := cottonlanding.WorkflowID(fmt.Sprintf("w%d", number))
		d.submit(number%3, workflow(id))
		d.requireSuccess(number%3, id)
	}
	now, err := d.table.Read(context.Background(), "Cells:Watched/Layout")
	require.NoError(t, err)
	require.JSONEq(t, `{"Cells":"many"}`, string(now[0].Value))

	fresh := d.host(50)
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		fresh.Close(ctx)
	}()
	time.Sleep(500 * time.Millisecond)
	require.False(t, fresh.Ready(), "a host without a layout is not ready")
	err = fresh.Submit(context.Background(), workflow("w9"))
	require.True(t, errors.Is(err, cottonlanding.ErrUnavailable), "%v", err)
}
