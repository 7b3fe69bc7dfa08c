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

// slack is how much longer than by its decisions an owner may be behind: some turns.
const slack = 500 * cottonlanding.Millis(1)

// charging is a policy that takes the owner's clock a while further for each task that it
// places, as on a slow processor. It doesn't sleep: how busy the machine is that runs the test
// makes no difference, and virtual time may go on while others wait for the owner's lock.
type charging struct {
	cottonlanding.PlacementPolicy
	cost cottonlanding.Millis
	// spent is how long it took so far, in milliseconds.
	spent atomic.Int64
	// closed says that no worker suits any task.
	closed atomic.Bool
	// reached is called in the middle of a decision, once spent is as long as after.
	after   cottonlanding.Millis
	reached func()
}

func (c *charging) Place(task cottonlanding.TaskView, candidates []cottonlanding.WorkerView) int {
	if c.closed.Load() {
		return cottonlanding.NoWorker
	}
	spent := cottonlanding.Millis(c.spent.Add(int64(c.cost)))
	if before := spent - c.cost; before < c.after && spent >= c.after {
		c.reached()
	}
	return c.PlacementPolicy.Place(task, candidates)
}

// charge returns a clock that counts what was spent as well.
func (c *charging) charge(clock cottonlanding.Clock) cottonlanding.Clock {
	return cottonlanding.ClockOf(func() cottonlanding.Millis {
		return clock.Now() + cottonlanding.Millis(c.spent.Load())
	})
}

// TestOwnerThatIsBehindRefusesAtOnce: what would only be answered after its client has
// given up is refused at once, but for what may have been accepted already. Once it has decided
// on what it knows, the owner takes new work.
func TestOwnerThatIsBehindRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := &charging{PlacementPolicy: spread(), cost: 1, after: cottonlanding.Second}
		o := newOwner(t, setup{workers: 40, room: 100, policy: policy, clock: policy.charge})
		defer o.driver.Close()
		meanwhile := make(chan error, 1)
		policy.reached = func() {
			offers := make(chan struct{})
			go func() {
				close(offers)
				meanwhile <- o.offer("meanwhile", cottonlanding.Step{Tasks: 1})
			}()
			<-offers
		}
		o.submit("first", cottonlanding.Step{Tasks: 1})
		policy.closed.Store(true) // all four are accepted before the first of them is placed
		const workflows, tasks = 4, 400
		for number := range workflows {
			o.submit(cottonlanding.WorkflowID(fmt.Sprintf("w%d", number)), cottonlanding.Step{Tasks: tasks})
		}
		opened := o.clock.Now()
		policy.closed.Store(false)
		require.ErrorIs(t, <-meanwhile, cottonlanding.ErrUnavailable, "it comes while the owner decides")
		offered := time.Now()
		require.ErrorIs(t, o.offer("late", cottonlanding.Step{Tasks: 1}), cottonlanding.ErrUnavailable, "it comes between two decisions")
		require.Zero(t, time.Since(offered), "it is refused at once")
		require.NoError(t, o.offer("w0", cottonlanding.Step{Tasks: tasks}), "it was accepted before")
		o.cancel("w0")
		o.eventually("the owner has caught up", func() bool {
			return o.offer("later", cottonlanding.Step{Tasks: 1}) == nil
		})
		require.Less(t, o.clock.Now()-opened, 2*workflows*tasks*policy.cost+slack, "decisions take half of the time")
	})
}
