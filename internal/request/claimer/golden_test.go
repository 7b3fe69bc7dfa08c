package claimer_test

import (
	"testing"

	"github.com/cottonlanding/cottonlanding/internal/golden/comparer"
	"github.com/cottonlanding/cottonlanding/internal/request/claimer"
)

// TestGoldenRows guards against a request that runs twice, as a host of another version doesn't read its claim.
func TestGoldenRows(t *testing.T) {
	encode := func(value any) []byte { return claimer.EncodeRow(value.(claimer.Record)) }
	comparer.JSON(t, encode, map[string]any{"Record": claimer.Record{}})
	comparer.RequireList(t, "Keys", claimer.Key("s", "a/b c"))
}
