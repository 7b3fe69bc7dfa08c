package cottonlanding_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// clocks are those of a host: the time of day and the time since boot advance while the host is
// suspended, the monotonic one stops.
type clocks struct {
	wall, monotonic, boot time.Duration
	bootReads             int
}

func (c *clocks) run(span time.Duration) {
	c.wall, c.monotonic, c.boot = c.wall+span, c.monotonic+span, c.boot+span
}

func (c *clocks) suspend(span time.Duration) { c.wall, c.boot = c.wall+span, c.boot+span }

func (c *clocks) clock() cottonlanding.Clock {
	return cottonlanding.NewSuspensionClock(
		func() (time.Duration, time.Duration) { return c.wall, c.monotonic },
		func() (time.Duration, bool) { c.bootReads++; return c.boot, true })
}

// TestClockCountsSuspension guards against a resumed host that relies on an expired lease. Of two
// hosts one is suspended for longer than a lease, and the first reading of its clock has to show it.
func TestClockCountsSuspension(t *testing.T) {
	const lease = 6 * cottonlanding.Second
	suspended, other := &clocks{boot: time.Hour}, &clocks{boot: 2 * time.Hour}
	one, two := suspended.clock(), other.clock()
	until := one.Now() + lease
	suspended.run(time.Second)
	other.run(time.Second)
	require.Equal(t, cottonlanding.Second, one.Now())
	require.Equal(t, one.Now(), two.Now())
	suspended.suspend(8 * time.Second)
	other.run(8 * time.Second)
	require.Equal(t, 9*cottonlanding.Second, one.Now())
	require.Equal(t, one.Now(), two.Now())
	require.Greater(t, one.Now(), until, "the lease has expired by the other host's clock")
}

// TestClockIgnoresWallClockSteps guards against steps of the time of day, in either direction, that
// are taken for suspensions.
func TestClockIgnoresWallClockSteps(t *testing.T) {
	host := &clocks{boot: time.Hour}
	clock := host.clock()
	for _, step := range []time.Duration{5 * time.Second, -9 * time.Second, time.Millisecond} {
		before := clock.Now()
		host.wall += step
		require.Equal(t, before, clock.Now())
		host.run(100 * time.Millisecond)
		require.Equal(t, before+100, clock.Now())
	}
	host.suspend(3 * time.Second)
	require.Equal(t, 3300*cottonlanding.Millis(1), clock.Now())
}

// TestBootClockReadsAreRare guards against a system call at every reading of the clock, of which there
// are thousands a second.
func TestBootClockReadsAreRare(t *testing.T) {
	host := &clocks{}
	clock := host.clock()
	for range 1000 {
		host.run(time.Millisecond)
		clock.Now()
	}
	require.Equal(t, 1, host.bootReads)
}

// TestHostClockAdvances guards against a host clock that stops, on the real clocks.
func TestHostClockAdvances(t *testing.T) {
	clock := cottonlanding.NewHostClock()
	before := clock.Now()
	time.Sleep(30 * time.Millisecond)
	require.GreaterOrEqual(t, clock.Now()-before, 29*cottonlanding.Millis(1))
}
