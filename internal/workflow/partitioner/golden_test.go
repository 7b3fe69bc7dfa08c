package partitioner_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/golden/comparer"
	"github.com/cottonlanding/cottonlanding/internal/workflow/partitioner"
)

// TestGoldenLayout guards against layouts, which are stored for good, that another version reads
// differently.
func TestGoldenLayout(t *testing.T) {
	comparer.JSON(t, func(value any) []byte { return value.(partitioner.Layout).Encode() }, map[string]any{"Layout": partitioner.Layout{}})
}

// TestGoldenRackKeys guards against racks and workflows that another version assigns to another cell.
func TestGoldenRackKeys(t *testing.T) {
	golden, err := os.ReadFile("testdata/golden/Divided.json")
	require.NoError(t, err)
	want, err := partitioner.Decode(golden)
	require.NoError(t, err)
	workers := []cottonlanding.WorkerInfo{{DataCentre: "a", Rack: "r1"}, {DataCentre: "a"}, {DataCentre: "b", Rack: "r1"}}
	require.Equal(t, want, partitioner.Divide(workers, 1))
	require.Equal(t, string(golden), string(want.Encode())+"\n")
	comparer.RequireList(t, "Homes", want.Home("w"), want.Home("workflow-2"), want.Home("3"), want.Home("d4e5"))
}
