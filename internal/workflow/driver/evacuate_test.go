package driver_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
	"github.com/cottonlanding/cottonlanding/internal/stand/runner"
	"github.com/cottonlanding/cottonlanding/internal/workflow/driver"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// evacuationWithin is the promise: how long after an evacuation is acknowledged a host in
// touch may still start something there.
const evacuationWithin = 5 * time.Second

// playEvacuation has a worker take 900 ms for each of ten starts of one workflow, and calls
// begin while the first of them is under way. It returns the starts.
func playEvacuation(t *testing.T, evacuations func(clock cottonlanding.Clock) cottonlanding.Evacuations, begin func()) *lateStarts {
	return playReadings(t, evacuations, cottonlanding.Clock.Now, begin)
}

// playReadings is playEvacuation with a list of workers that is complete as of listedAt.
func playReadings(t *testing.T, evacuations func(clock cottonlanding.Clock) cottonlanding.Evacuations,
	listedAt func(cottonlanding.Clock) cottonlanding.Millis, begin func()) *lateStarts {
	clock := cottonlanding.NewClock()
	stand := runner.New(clock, func(cottonlanding.RunKey) runner.Fate { return runner.Fate{Forever: true} })
	workers := []cottonlanding.WorkerInfo{labelled(stand, 0, "", 32)}
	workers[0].DataCentre = "d"
	starts := &lateStarts{slowStarts: slowStarts{RunClient: &patientWorkers{stand}, after: 900 * time.Millisecond}}
	deps := dependencies(t, clock, keeper.New(), starts, workers)
	deps.Evacuations = func() cottonlanding.Evacuations { return evacuations(clock) }
	deps.ListedAt = func() cottonlanding.Millis { return listedAt(clock) }
	d := driver.New(deps, planner.Setup{Partition: "Test", Epoch: 1},
		planner.Timing{Lease: 6000, CutOffGrace: 1000, StopTimeout: 200, Retention: cottonlanding.Minute}, everyPlacement(spread()))
	t.Cleanup(d.Close)
	handIn(t, d, "slow", cottonlanding.Step{Tasks: 10, Resources: cottonlanding.Resources{CPU: 1000}})
	time.Sleep(500 * time.Millisecond)
	require.EqualValues(t, 1, starts.pending.Load(), "starts under way")
	begin()
	return starts
}

// TestNoStartOnceItsDataCentreIsEvacuated: a start that waits behind others isn't sent once
// its data centre is known to be evacuated.
func TestNoStartOnceItsDataCentreIsEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var evacuated atomic.Bool
		starts := playEvacuation(t, func(clock cottonlanding.Clock) cottonlanding.Evacuations {
			now := cottonlanding.Evacuations{ReadAt: clock.Now()}
			if evacuated.Load() {
				now.Ordered = map[cottonlanding.DataCentre]cottonlanding.Evacuation{"d": {DataCentre: "d", Version: 7}}
			}
			return now
		}, func() { evacuated.Store(true) })
		starts.late.Store(true)
		time.Sleep(10 * time.Second)
		require.Zero(t, starts.sent.Load(), "starts after that was known")
		evacuated.Store(false)
		time.Sleep(cottonlanding.Second.Duration())
		require.NotZero(t, starts.sent.Load(), "starts within a second of its being taken back")
	})
}

// TestNoStartOnAnOldReading: an owner whose readings of the operators' table stop doesn't know
// what is evacuated. Nothing starts later than the promise allows after the last reading, and
// all goes on with the next one.
func TestNoStartOnAnOldReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stopped atomic.Int64
		starts := playEvacuation(t, func(clock cottonlanding.Clock) cottonlanding.Evacuations {
			if at := stopped.Load(); at > 0 {
				return cottonlanding.Evacuations{ReadAt: cottonlanding.Millis(at)}
			}
			return cottonlanding.Evacuations{ReadAt: clock.Now() + 1}
		}, func() { stopped.Store(500) })
		time.Sleep(evacuationWithin - time.Second) // a start that is sent may take a second
		starts.late.Store(true)
		time.Sleep(10 * time.Second)
		require.Zero(t, starts.sent.Load(), "starts on an old reading")
		stopped.Store(0)
		time.Sleep(cottonlanding.Second.Duration())
		require.NotZero(t, starts.sent.Load(), "starts with newer readings")
	})
}

// TestNoStartOnAnOldList: with a list of workers that is behind, the owner doesn't know who
// leaves. Nothing starts later than drainWithin after the last complete one.
func TestNoStartOnAnOldList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stopped atomic.Int64
		starts := playReadings(t, func(clock cottonlanding.Clock) cottonlanding.Evacuations {
			return cottonlanding.Evacuations{ReadAt: clock.Now() + 1}
		}, func(clock cottonlanding.Clock) cottonlanding.Millis {
			if at := stopped.Load(); at > 0 {
				return cottonlanding.Millis(at)
			}
			return clock.Now()
		}, func() { stopped.Store(500) })
		time.Sleep(drainWithin)
		starts.late.Store(true)
		time.Sleep(10 * time.Second)
		require.Zero(t, starts.sent.Load(), "starts on an old list")
		stopped.Store(0)
		time.Sleep(cottonlanding.Second.Duration())
		require.NotZero(t, starts.sent.Load(), "starts with newer lists")
	})
}
