package cottonlanding_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
)

// TestLifeRoundTrip guards against a life that is read back as another one, also if the worker's id
// contains the separator.
func TestLifeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		life := cottonlanding.Life{
			Worker: cottonlanding.WorkerID(rapid.StringMatching(`[a-z0-9@-]{0,12}`).Draw(t, "Worker")),
			Born:   cottonlanding.Birth(rapid.Int64().Draw(t, "Born")),
		}
		text, err := life.MarshalText()
		require.NoError(t, err)
		var read cottonlanding.Life
		require.NoError(t, read.UnmarshalText(text))
		require.Equal(t, life, read)
	})
	var life cottonlanding.Life
	require.NoError(t, life.UnmarshalText([]byte("i-1")))
	require.Equal(t, cottonlanding.Life{Worker: "i-1"}, life, "a text without a birth")
	require.Error(t, life.UnmarshalText([]byte("i-1@no birth")))
}
