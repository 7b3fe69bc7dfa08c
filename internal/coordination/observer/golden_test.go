package observer_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/coordination/observer"
	"github.com/cottonlanding/cottonlanding/internal/golden/comparer"
)

// TestGoldenOwnership guards against hosts of two versions that can't decode each other's owner rows.
func TestGoldenOwnership(t *testing.T) {
	encode := func(value any) []byte {
		data, err := json.Marshal(value)
		require.NoError(t, err)
		return data
	}
	comparer.JSON(t, encode, map[string]any{"Ownership": observer.Ownership{}})
	comparer.RequireList(t, "Keys", observer.OwnerKey("a/1"))
}
