package waker_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/duty/waker"
)

// TestCallsAreKeptAsOne: a duty that is busy finds one call, however many there were, and
// the next one after it.
func TestCallsAreKeptAsOne(t *testing.T) {
	calls := waker.New()
	for range 2 {
		calls.Wake()
		calls.Wake()
		require.Len(t, calls, 1)
		<-calls
	}
	require.Empty(t, calls)
}
