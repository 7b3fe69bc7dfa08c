package registrar_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/coordination/registrar"
	"github.com/cottonlanding/cottonlanding/internal/golden/comparer"
)

// TestGoldenSession guards against hosts of two versions that can't decode each other's sessions and
// count each other as ended.
func TestGoldenSession(t *testing.T) {
	encode := func(value any) []byte {
		data, err := json.Marshal(value)
		require.NoError(t, err)
		return data
	}
	comparer.JSON(t, encode, map[string]any{"Session": registrar.Session{}})
	comparer.RequireList(t, "Keys", registrar.Prefix, registrar.SessionKey("s"))
}
