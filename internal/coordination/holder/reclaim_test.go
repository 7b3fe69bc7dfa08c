package holder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/holder"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
)

// TestRestartedOwnerReclaims checks that an owner which was killed and started again
// takes over within two polls, from its earlier life alone, and that others wait.
func TestRestartedOwnerReclaims(t *testing.T) {
	for _, reclaim := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			clock, store, spans := cottonlanding.NewClock(), keeper.New(), timing
			spans.Reclaim = reclaim
			killed := joinMember(store, clock, holder.Member{ID: "killed", Address: "a", Share: 1}, spans)
			time.Sleep(time.Second)
			require.Positive(t, killed.ValidUntil())
			killed.Close()
			other := joinMember(store, clock, holder.Member{ID: "other", Address: "b", Share: 1}, spans)
			again := joinMember(store, clock, holder.Member{ID: "again", Address: "a", Share: 1}, spans)
			time.Sleep(2 * timing.Poll.Duration())
			require.Zero(t, other.ValidUntil(), "it can't know that the owner is gone")
			require.Equal(t, reclaim, again.ValidUntil() > clock.Now())
			if reclaim {
				require.EqualValues(t, 2, again.View().Owner.Epoch)
			}
			other.Close()
			again.Close()
		})
	}
}
