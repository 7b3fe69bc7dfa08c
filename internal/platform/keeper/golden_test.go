package keeper_test

import (
	"testing"

	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
)

// TestGoldenCounts guards against another field of the counts that the stand-in shows.
func TestGoldenCounts(t *testing.T) { transcriber.RoundTrip[keeper.Counts](t, "counts") }
