package driver_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/stand/runner"
	"github.com/cottonlanding/cottonlanding/internal/workflow/driver"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// TestFenceStopsEarlierOwners guards against an earlier owner that has not noticed its successor, as after a pause: its
// commits must not count any more. An owner that starts late with an earlier epoch does nothing at all.
func TestFenceStopsEarlierOwners(t *testing.T) {
	clock, table := cottonlanding.NewClock(), keeper.New()
	fakeWorkers := runner.New(clock, func(cottonlanding.RunKey) runner.Fate { return runner.Fate{Lasts: 100} })
	workers := []cottonlanding.WorkerInfo{addLabelledWorker(fakeWorkers, 0, "any", 10)}
	startDriver := func(epoch cottonlanding.Epoch) (*driver.Driver, *atomic.Bool) {
		lost := new(atomic.Bool)
		deps := dependencies(t, clock, table, fakeWorkers, workers)
		deps.OnLost = func() { lost.Store(true) }
		d := driver.New(deps, planner.Setup{Partition: "Test", Epoch: epoch},
			planner.Timing{Lease: 6000, CutOffGrace: 1000, StopTimeout: 200, Retention: cottonlanding.Minute}, selector.Default().Planner)
		t.Cleanup(d.Close)
		return d, lost
	}
	step := cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 1000}}
	first, firstLost := startDriver(3)
	submitUntilAccepted(t, first, "before", step)
	second, secondLost := startDriver(5)
	submitUntilAccepted(t, second, "after", step)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := first.Submit(ctx, cottonlanding.Workflow{ID: "late", Queue: "Q", Steps: []cottonlanding.Step{step}})
	require.Error(t, err, "its commits are fenced off")
	require.Eventually(t, firstLost.Load, 10*time.Second, 5*time.Millisecond)
	_, thirdLost := startDriver(4)
	require.Eventually(t, thirdLost.Load, 10*time.Second, 5*time.Millisecond)
	for _, id := range []cottonlanding.WorkflowID{"before", "after"} {
		require.Eventually(t, func() bool {
			state, err := second.State(id)
			return err == nil && state == cottonlanding.WorkflowSucceeded
		}, 10*time.Second, 5*time.Millisecond)
	}
	_, err = second.State("late")
	require.ErrorIs(t, err, cottonlanding.ErrNotFound)
	require.False(t, secondLost.Load())
	require.Empty(t, fakeWorkers.Violations())
}
