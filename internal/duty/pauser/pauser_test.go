package pauser_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/pauser"
)

// TestPauseEndsWithItsSpanOrItsContext: a pause lasts for its span, or until the duty ends.
func TestPauseEndsWithItsSpanOrItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began := time.Now()
		pauser.Pause(ctx, -cottonlanding.Second)
		require.Zero(t, time.Since(began))
		pauser.Pause(ctx, cottonlanding.Second)
		require.Equal(t, time.Second, time.Since(began))
		pauser.Pause(ctx, 10*cottonlanding.Second)
		require.Equal(t, 3*time.Second, time.Since(began))
	})
}

// TestPausesThatAreOverDoNotCrashTheRaceDetector guards against timers that are due before
// anybody waits for them: receiving from one inside of a synctest bubble crashes the race
// detector of Go, and with it all tests of the package.
func TestPausesThatAreOverDoNotCrashTheRaceDetector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var duties sync.WaitGroup
		for range 20 {
			duties.Go(func() {
				for range 4000 {
					pauser.Pause(t.Context(), -cottonlanding.Second)
					pauser.Pause(t.Context(), 1)
				}
			})
		}
		duties.Wait()
	})
}
