package follower_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/coordination/follower"
	"github.com/cottonlanding/cottonlanding/internal/golden/comparer"
)

// TestGoldenRows guards against hosts of two versions that can't find each other's configurations.
func TestGoldenRows(t *testing.T) {
	encode := func(value any) []byte {
		data, err := json.Marshal(value)
		require.NoError(t, err)
		return data
	}
	comparer.JSON(t, encode, map[string]any{"Head": follower.Head{}})
	comparer.RequireList(t, "Keys", follower.HeadKey, follower.GenerationKey(7))
}
