package partitioner_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/partitioner"
)

// deployment returns the given number of workers for each data centre, with perRack of them to a rack.
func deployment(perRack int, dataCentres ...int) []cottonlanding.WorkerInfo {
	var out []cottonlanding.WorkerInfo
	for at, workers := range dataCentres {
		for number := range workers {
			out = append(out, cottonlanding.WorkerInfo{
				ID:         cottonlanding.WorkerID(fmt.Sprintf("w%d-%d", at, number)),
				DataCentre: cottonlanding.DataCentre(fmt.Sprintf("d%d", at)),
				Rack:       cottonlanding.Rack(fmt.Sprintf("r%d-%d", at, number/perRack)),
			})
		}
	}
	return out
}

// TestCellsLoseDataCentresEvenly guards against cells that depend on one data centre. Deployments of
// several sizes are divided by 250 workers a cell, as a large host asks for; small ones stay whole. A
// data centre may lose a third of its workers, or all, and no cell loses much more than the others.
func TestCellsLoseDataCentresEvenly(t *testing.T) {
	for _, one := range []struct {
		workers []cottonlanding.WorkerInfo
		cells   int
	}{
		{nil, 1},
		{deployment(8, 16, 16, 16), 1},
		{deployment(12, 117, 117, 116), 1},
		{deployment(12, 163, 163, 164), 2},
		{deployment(8, 220, 220, 220, 220, 220), 4},
		{deployment(8, 449, 449, 449, 449, 449), 9},
	} {
		layout := partitioner.Divide(one.workers, 250)
		require.Equal(t, one.cells, layout.Cells)
		for lost := range 5 {
			for _, third := range []bool{true, false} {
				left := slices.DeleteFunc(slices.Clone(one.workers), func(info cottonlanding.WorkerInfo) bool {
					inLost := info.DataCentre == cottonlanding.DataCentre(fmt.Sprintf("d%d", lost))
					return inLost && (!third || len(info.ID)%3 == 0)
				})
				mean := float64(len(left)) / float64(layout.Cells)
				for cell := range layout.Cells {
					require.InDelta(t, mean, len(layout.Workers(left, cottonlanding.CellNumber(cell))), 0.15*mean+12, "cell %d", cell)
				}
			}
		}
	}
}

// TestLayoutIsPartition guards, on random deployments, against workers in no cell or in two, cells
// much larger than requested, and new racks that move workers.
func TestLayoutIsPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 400), 1, 6).Draw(t, "sizes")
		perRack, perCell := rapid.IntRange(1, 16).Draw(t, "perRack"), rapid.IntRange(20, 300).Draw(t, "perCell")
		workers := deployment(perRack, sizes...)
		layout := partitioner.Divide(workers, perCell)
		checkPartition(t, layout, workers)
		for cell := range layout.Cells {
			count := len(layout.Workers(workers, cottonlanding.CellNumber(cell)))
			require.LessOrEqual(t, count, 3*perCell/2+(len(sizes)+1)*perRack, "cell %d", cell)
		}
		decoded, err := partitioner.Decode(layout.Encode())
		require.NoError(t, err)
		require.Equal(t, layout, decoded)

		grown := make([]int, len(sizes)+rapid.IntRange(0, 2).Draw(t, "more data centres"))
		for at := range grown {
			if at < len(sizes) {
				grown[at] = sizes[at]
			}
			grown[at] += rapid.IntRange(1, 60).Draw(t, "more")
		}
		more := deployment(perRack, grown...)
		extended, _ := layout.Extend(more)
		checkPartition(t, extended, more)
		require.Equal(t, layout.Cells, extended.Cells)
		for rack, cell := range layout.Racks {
			require.Equal(t, cell, extended.Racks[rack], "rack %s has moved", rack)
		}
		again, changed := extended.Extend(more)
		require.False(t, changed)
		require.Equal(t, extended, again)
	})
}

// checkPartition checks that each worker is in exactly one cell.
func checkPartition(t *rapid.T, layout partitioner.Layout, workers []cottonlanding.WorkerInfo) {
	seen := make(map[cottonlanding.WorkerID]bool)
	for cell := range layout.Cells {
		for _, info := range layout.Workers(workers, cottonlanding.CellNumber(cell)) {
			require.False(t, seen[info.ID], "worker %s is in two cells", info.ID)
			seen[info.ID] = true
		}
	}
	require.Len(t, seen, len(workers))
}

// TestHomeDistribution guards against homes that give some cells far more workflows than others.
func TestHomeDistribution(t *testing.T) {
	layout := partitioner.Layout{Cells: 5}
	counts := make([]int, layout.Cells)
	for number := range 5000 {
		counts[layout.Home(cottonlanding.WorkflowID(fmt.Sprintf("%016x", number)))]++
	}
	for _, count := range counts {
		require.InDelta(t, 1000, count, 150)
	}
}

// TestDecodeRejectsBadLayouts guards against layouts without cells, or with racks in cells that don't
// exist.
func TestDecodeRejectsBadLayouts(t *testing.T) {
	for _, data := range []string{``, `{`, `[]`, `{"Cells":0}`, `{"Cells":2,"Racks":{"d/r":2}}`, `{"Cells":2,"Racks":{"d/r":-1}}`} {
		_, err := partitioner.Decode([]byte(data))
		require.Error(t, err, data)
	}
}
