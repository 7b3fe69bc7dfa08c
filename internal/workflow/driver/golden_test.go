package driver_test

import (
	"testing"

	"github.com/cottonlanding/cottonlanding/internal/golden/comparer"
	"github.com/cottonlanding/cottonlanding/internal/workflow/driver"
)

// TestGoldenFence guards against owners of two versions that don't see each other's fence.
func TestGoldenFence(t *testing.T) {
	encode := func(value any) []byte { return driver.EncodeFence(value.(driver.Fence)) }
	comparer.JSON(t, encode, map[string]any{"Fence": driver.Fence{}})
	comparer.Lines(t, "Keys", driver.FenceRow)
}
