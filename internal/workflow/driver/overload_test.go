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

// overloadTolerance is how much longer than by its decisions an owner may be behind: some turns.
const overloadTolerance = 500 * cottonlanding.Millis(1)

// clockCostPolicy is a policy that takes the owner's clock a while further for each task that it
// places, as on a slow processor. It doesn't sleep: how busy the machine is that runs the test
// makes no difference, and virtual time may go on while others wait for the owner's lock.
type clockCostPolicy struct {
	cottonlanding.PlacementPolicy
	cost cottonlanding.Millis
	// spent is how long it took so far, in milliseconds.
	spent atomic.Int64
	// rejectAll says that no worker suits any task.
	rejectAll atomic.Bool
	// reached is called in the middle of a decision, once spent is as long as threshold.
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

// wrapClock returns a clock that counts what was spent as well.
func (c *clockCostPolicy) wrapClock(clock cottonlanding.Clock) cottonlanding.Clock {
	return cottonlanding.ClockOf(func() cottonlanding.Millis {
		return clock.Now() + cottonlanding.Millis(c.spent.Load())
	})
}

// TestOverloadedOwnerRejectsAtOnce: what would only be answered after its client has
// given up is refused at once, but for what may have been accepted already. Once it has decided
// on what it knows, the owner takes new work.
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
		require.ErrorIs(t, <-concurrent, cottonlanding.ErrUnavailable, "it comes while the owner decides")
		offered := time.Now()
		require.ErrorIs(t, o.submitOnce("late", cottonlanding.Step{Tasks: 1}), cottonlanding.ErrUnavailable, "it comes between two decisions")
		require.Zero(t, time.Since(offered), "it is refused at once")
		require.NoError(t, o.submitOnce("w0", cottonlanding.Step{Tasks: tasks}), "it was accepted before")
		o.cancel("w0")
		o.eventually("the owner has caught up", func() bool {
			return o.submitOnce("later", cottonlanding.Step{Tasks: 1}) == nil
		})
		require.Less(t, o.clock.Now()-acceptedAt, 2*workflows*tasks*policy.cost+overloadTolerance, "decisions take half of the time")
	})
}
