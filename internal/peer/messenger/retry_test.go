package messenger_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/metadata"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
)

// TestRetryTrailer guards against another key of the trailer, and against retry times that no process sends.
func TestRetryTrailer(t *testing.T) {
	err := messenger.WithRetryAfter(cottonlanding.ErrBusy, metadata.Pairs("retry-after-ms", "2500"))
	after, found := cottonlanding.RetryAfter(err)
	require.True(t, found)
	require.Equal(t, 2500*cottonlanding.Millis(1), after)
	require.ErrorIs(t, err, cottonlanding.ErrBusy)
	for _, value := range []string{"", "-1", "0", "soon", "60001", "99999999999999999999"} {
		_, found := cottonlanding.RetryAfter(messenger.WithRetryAfter(cottonlanding.ErrBusy, metadata.Pairs("retry-after-ms", value)))
		require.False(t, found, value)
	}
	require.NoError(t, messenger.WithRetryAfter(nil, metadata.Pairs("retry-after-ms", "2500")))
	require.Equal(t, cottonlanding.ErrBusy, messenger.WithRetryAfter(cottonlanding.ErrBusy, nil))
}
