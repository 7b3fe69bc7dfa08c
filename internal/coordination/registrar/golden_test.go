package registrar_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/coordination/registrar"
	"github.com/cottonlanding/cottonlanding/internal/golden/comparer"
)

// TestGoldenSession guards against hosts of two versions that take each other for gone.
func TestGoldenSession(t *testing.T) {
	encode := func(value any) []byte {
		data, err := json.Marshal(value)
		require.NoError(t, err)
		return data
	}
	comparer.JSON(t, encode, map[string]any{"Session": registrar.Session{}})
	comparer.RequireList(t, "Keys", registrar.Prefix, registrar.SessionKey("s"))
}
