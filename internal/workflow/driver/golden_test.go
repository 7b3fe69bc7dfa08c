package driver_test

import (
	"path"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/golden/comparer"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
	"github.com/cottonlanding/cottonlanding/internal/workflow/driver"
)

// TestGoldenFence guards against a changed format of the fence row: owners of two versions would ignore each other's
// fence.
func TestGoldenFence(t *testing.T) {
	encode := func(value any) []byte { return driver.EncodeFence(value.(driver.Fence)) }
	comparer.JSON(t, encode, map[string]any{"Fence": driver.Fence{}})
	comparer.RequireList(t, "Keys", driver.FenceRow)
}

// TestGoldenLane guards against a changed prefix of the lane rows: owners of two versions would not find each other's
// lanes.
func TestGoldenLane(t *testing.T) {
	table := keeper.New()
	o := newOwner(t, setup{workers: 1, tasksPerWorker: 1, policy: spreadPlacement(), table: func(cottonlanding.Table) cottonlanding.Table { return table }})
	defer o.driver.Close()
	o.submit("w", cottonlanding.Step{Tasks: 1})
	rows, err := table.Scan(t.Context(), partition.Key(""), "", 100)
	require.NoError(t, err)
	var lanes []any
	for _, row := range rows {
		if before, id := path.Split(string(row.Key)); uuid.Validate(id) == nil {
			lanes = append(lanes, before)
		}
	}
	comparer.RequireList(t, "Lanes", lanes...)
}
