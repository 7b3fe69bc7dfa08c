package ticker_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/duty/ticker"
)

// TestTurnsKeepToTheirGrid: a duty has its turns at a fixed interval, however long a turn takes.
func TestTurnsKeepToTheirGrid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		turns := ticker.New(100)
		defer turns.Stop()
		for turn := range 20 {
			<-turns.Next()
			require.Equal(t, time.Duration(turn+1)*100*time.Millisecond, time.Since(began))
			time.Sleep(time.Duration(turn%5) * 20 * time.Millisecond)
		}
	})
}

// TestMissedTurnsAreMadeUpByOne: a duty that was slow has one turn at once, and none for
// each interval that it missed.
func TestMissedTurnsAreMadeUpByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		turns := ticker.New(100)
		defer turns.Stop()
		time.Sleep(350 * time.Millisecond)
		<-turns.Next()
		require.Equal(t, 350*time.Millisecond, time.Since(began))
		<-turns.Next()
		require.Equal(t, 400*time.Millisecond, time.Since(began))
	})
}

// TestTurnIsNotLostToAnotherEvent: a turn whose time nobody received is still due.
func TestTurnIsNotLostToAnotherEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		turns := ticker.New(100)
		defer turns.Stop()
		turns.Next()
		time.Sleep(100 * time.Millisecond)
		<-turns.Next()
		require.Equal(t, 100*time.Millisecond, time.Since(began))
		<-turns.Next()
		require.Equal(t, 200*time.Millisecond, time.Since(began))
	})
}

// TestSlowDutiesDoNotCrashTheRaceDetector guards against timers that come due while
// nobody waits for them: receiving from one inside of a synctest bubble crashes the race
// detector of Go, and with it all tests of the package.
func TestSlowDutiesDoNotCrashTheRaceDetector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var duties sync.WaitGroup
		for range 20 {
			duties.Go(func() {
				turns := ticker.New(1)
				defer turns.Stop()
				for range 4000 {
					time.Sleep(3 * time.Millisecond)
					<-turns.Next()
				}
			})
		}
		duties.Wait()
	})
}
