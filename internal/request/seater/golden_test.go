package seater_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/golden/comparer"
	"github.com/cottonlanding/cottonlanding/internal/request/seater"
)

// TestGoldenSeat guards against hosts of two versions that use one seat at the same time.
func TestGoldenSeat(t *testing.T) {
	encode := func(value any) []byte {
		data, err := json.Marshal(value)
		require.NoError(t, err)
		return data
	}
	comparer.JSON(t, encode, map[string]any{"Seat": seater.Seat{}})
	comparer.RequireList(t, "Keys", seater.SeatKey(7))
}
