package driver_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// overloadTolerance is for how long an owner may stay overloaded after its decisions should be done: several turns.
const overloadTolerance = 500 * cottonlanding.Millis(1)

// clockCostPolicy is a policy that advances the owner's clock for each task that it places, as on a slow processor. It
// doesn't sleep, so that the load of the test machine makes no difference and virtual time can advance while others
// wait for the owner's lock.
type clockCostPolicy struct {
	cottonlanding.PlacementPolicy
	cost cottonlanding.Millis
	// spent is the sum of all costs, in milliseconds.
	spent atomic.Int64
	// rejectAll says that no worker suits any task.
	rejectAll atomic.Bool
	// onThreshold is called during a decision, once spent has reached threshold.
	threshold   cottonlanding.Millis
	onThreshold func()
}

func (c *clockCostPolicy) Place(task cottonlanding.TaskView, candidates []cottonlanding.WorkerView) int {
	if c.rejectAll.Load() {
		return cottonlanding.NoWorker
	}
	spent := cottonlanding.Millis(c.spent.Add(int64(c.cost)))
	if before := spent - c.cost; before < c.threshold && spent >= c.threshold {
		c.onThreshold()
	}
	return c.PlacementPolicy.Place(task, candidates)
}

// wrapClock returns a clock that is advanced by spent.
func (c *clockCostPolicy) wrapClock(clock cottonlanding.Clock) cottonlanding.Clock {
	return cottonlanding.ClockOf(func() cottonlanding.Millis {
		return clock.Now() + cottonlanding.Millis(c.spent.Load())
	})
}

// TestOverloadedOwnerRejectsAtOnce guards against an overloaded owner that answers requests only after their clients
// have given up. It rejects new workflows at once, except those that may have been accepted already, and accepts new
// ones again once it has caught up.
func TestOverloadedOwnerRejectsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := &clockCostPolicy{PlacementPolicy: spreadPlacement(), cost: 1, threshold: cottonlanding.Second}
		o := newOwner(t, setup{workers: 40, tasksPerWorker: 100, policy: policy, clock: policy.wrapClock})
		defer o.driver.Close()
		concurrent := make(chan error, 1)
		policy.onThreshold = func() {
			offers := make(chan struct{})
			go func() {
				close(offers)
				concurrent <- o.submitOnce("meanwhile", cottonlanding.Step{Tasks: 1})
			}()
			<-offers
		}
		o.submit("first", cottonlanding.Step{Tasks: 1})
		policy.rejectAll.Store(true) // all four are accepted before the first of them is placed
		const workflows, tasks = 4, 400
		for number := range workflows {
			o.submit(cottonlanding.WorkflowID(fmt.Sprintf("w%d", number)), cottonlanding.Step{Tasks: tasks})
		}
		acceptedAt := o.clock.Now()
		policy.rejectAll.Store(false)
		require.ErrorIs(t, <-concurrent, cottonlanding.ErrUnavailable, "submitted during a decision")
		offered := time.Now()
		require.ErrorIs(t, o.submitOnce("late", cottonlanding.Step{Tasks: 1}), cottonlanding.ErrUnavailable, "submitted between two decisions")
		require.Zero(t, time.Since(offered), "it is rejected at once")
		require.NoError(t, o.submitOnce("w0", cottonlanding.Step{Tasks: tasks}), "it was accepted before")
		o.cancel("w0")
		o.eventually("the owner has caught up", func() bool {
			return o.submitOnce("later", cottonlanding.Step{Tasks: 1}) == nil
		})
		require.Less(t, o.clock.Now()-acceptedAt, 2*workflows*tasks*policy.cost+overloadTolerance, "decisions take half of the time")
	})
}
