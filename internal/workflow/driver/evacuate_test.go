package driver_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/driver"
)

// evacuationDeadline is the promise: how long after an evacuation is acknowledged a host in
// touch may still start something there.
const evacuationDeadline = 5 * time.Second

// readingTime returns as of when something is known: as of now, or as of an instant once that is
// set, when the readings have stopped.
func readingTime(clock cottonlanding.Clock, stopped *atomic.Int64) cottonlanding.Millis {
	if at := stopped.Load(); at > 0 {
		return cottonlanding.Millis(at)
	}
	return clock.Now() + 1
}

// readingsStopAt is when readings stop, while the first start is under way.
const readingsStopAt = 500

// TestEvacuationCancelsQueuedStarts: a start that waits behind others isn't sent once
// its data centre is known to be evacuated.
func TestEvacuationCancelsQueuedStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var evacuated atomic.Bool
		starts := startQueuedRuns(t, func(deps *driver.Dependencies) {
			deps.Evacuations = func() cottonlanding.Evacuations {
				current := cottonlanding.Evacuations{ReadAt: deps.Clock.Now()}
				if evacuated.Load() {
					current.InForce = map[cottonlanding.DataCentre]cottonlanding.Evacuation{queueDataCentre: {DataCentre: queueDataCentre, Version: 7}}
				}
				return current
			}
		})
		evacuated.Store(true)
		starts.requireNoneAfter(t, 0, "starts after that was known")
		evacuated.Store(false)
		starts.requireSomeSoon(t, "starts within a second of its being taken back")
	})
}

// TestStaleEvacuationsBlockStarts: an owner whose readings of the operators' table stop doesn't know
// what is evacuated. Nothing starts later than the promise allows after the last reading, and
// all goes on with the next one.
func TestStaleEvacuationsBlockStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stopped atomic.Int64
		starts := startQueuedRuns(t, func(deps *driver.Dependencies) {
			deps.Evacuations = func() cottonlanding.Evacuations {
				return cottonlanding.Evacuations{ReadAt: readingTime(deps.Clock, &stopped)}
			}
		})
		stopped.Store(readingsStopAt)
		starts.requireNoneAfter(t, evacuationDeadline-time.Second, "starts on an old reading") // one that is sent may take a second
		stopped.Store(0)
		starts.requireSomeSoon(t, "starts with newer readings")
	})
}

// TestStaleWorkerListBlocksStarts: with a list of workers that is behind, the owner doesn't know who
// leaves. Nothing starts later than drainWithin after the last complete one.
func TestStaleWorkerListBlocksStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stopped atomic.Int64
		starts := startQueuedRuns(t, func(deps *driver.Dependencies) {
			deps.ListedAt = func() cottonlanding.Millis { return readingTime(deps.Clock, &stopped) }
		})
		stopped.Store(readingsStopAt)
		starts.requireNoneAfter(t, leavingDeadline, "starts on an old list")
		stopped.Store(0)
		starts.requireSomeSoon(t, "starts with newer lists")
	})
}
