package driver_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/driver"
)

// evacuationDeadline is how long after an evacuation is acknowledged a connected host may still start something in the
// data centre.
const evacuationDeadline = 5 * time.Second

// readingTime returns the instant as of which data is known: the present one, or stopped once that is
// set, when the readings have stopped.
func readingTime(clock cottonlanding.Clock, stopped *atomic.Int64) cottonlanding.Millis {
	if at := stopped.Load(); at > 0 {
		return cottonlanding.Millis(at)
	}
	return clock.Now() + 1
}

// readingsStopAt is when readings stop, in milliseconds: while the first start is under way.
const readingsStopAt = 500

// TestEvacuationCancelsQueuedStarts guards against starts that wait behind others and are sent although their data
// centre has been evacuated meanwhile.
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
		starts.requireNoneAfter(t, 0, "starts after the evacuation was known")
		evacuated.Store(false)
		starts.requireSomeSoon(t, "starts within a second after the evacuation was withdrawn")
	})
}

// TestStaleEvacuationsBlockStarts guards against starts by an owner that can't read the operators' table and doesn't
// know what is evacuated. Nothing starts later than evacuationDeadline after the last reading, and starts go on with
// the next one.
func TestStaleEvacuationsBlockStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stopped atomic.Int64
		starts := startQueuedRuns(t, func(deps *driver.Dependencies) {
			deps.Evacuations = func() cottonlanding.Evacuations {
				return cottonlanding.Evacuations{ReadAt: readingTime(deps.Clock, &stopped)}
			}
		})
		stopped.Store(readingsStopAt)
		starts.requireNoneAfter(t, evacuationDeadline-time.Second, "starts with stale evacuations") // a start that is sent may take a second
		stopped.Store(0)
		starts.requireSomeSoon(t, "starts after a new reading")
	})
}

// TestStaleWorkerListBlocksStarts guards against starts by an owner whose list of workers is stale, so that it doesn't
// know which of them leave. No start is sent later than leavingDeadline after the last complete list.
func TestStaleWorkerListBlocksStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stopped atomic.Int64
		starts := startQueuedRuns(t, func(deps *driver.Dependencies) {
			deps.ListedAt = func() cottonlanding.Millis { return readingTime(deps.Clock, &stopped) }
		})
		stopped.Store(readingsStopAt)
		starts.requireNoneAfter(t, leavingDeadline, "starts with a stale list of workers")
		stopped.Store(0)
		starts.requireSomeSoon(t, "starts after a new list")
	})
}
