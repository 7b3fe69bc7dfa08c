package reserver_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/reserver"
)

const second = cottonlanding.Second

func size(cpu cottonlanding.Millicores) cottonlanding.Resources {
	return cottonlanding.Resources{CPU: cpu, Memory: cottonlanding.Gigabyte}
}

// TestBurst guards against a reserve that follows a burst of short workflows in full or not at all: 60 tasks for one
// second of ten, beside a steady demand of 10, are 15 on average, and they are forgotten after ten seconds.
func TestBurst(t *testing.T) {
	d := reserver.New()
	for at := 100 * second; at < 110*second; at += second / 4 {
		tasks := 10
		if at/second == 105 {
			tasks = 60
		}
		d.Observe(tasks, at)
	}
	now := 110*second - 1
	require.Equal(t, 15, d.Needed(0, now))
	require.Equal(t, 3, d.Needed(12, now), "those that run need no other slot")
	require.Zero(t, d.Needed(60, now))
	for at := 110 * second; at < 116*second; at += second / 4 {
		d.Observe(10, at)
	}
	require.Equal(t, 10, d.Needed(0, 116*second-1))
}

// TestDemandEnds guards against room that stays reserved at its full size for ten seconds after the last short task,
// and against room that is reserved by an owner that made no decision for long.
func TestDemandEnds(t *testing.T) {
	d := reserver.New()
	last := 101
	for at := cottonlanding.Millis(0); at < 20*second; at += second {
		tasks := 0
		if at < 10*second {
			tasks = 100
		}
		d.Observe(tasks, at)
		if at >= 10*second {
			needed := d.Needed(0, at)
			require.Less(t, needed, last)
			last = needed
		}
	}
	require.Zero(t, last)
	d.Observe(100, 20*second)
	require.Zero(t, d.Needed(0, 40*second))
}

// TestNoSizeKnown guards against a reserve of slots whose size nobody knows, as after a change of owner, and against
// tasks without processors, of which any number would fit.
func TestNoSizeKnown(t *testing.T) {
	d := reserver.New()
	for _, invalid := range []cottonlanding.Millicores{0, -1000} {
		d.RecordSize(size(invalid))
		require.False(t, d.HasSize())
		require.Zero(t, d.Slots(size(64_000)))
	}
	d.RecordSize(cottonlanding.Resources{CPU: 2000, Memory: -cottonlanding.Gigabyte})
	require.Equal(t, 32, d.Slots(size(64_000)), "the memory is unknown")
	require.Zero(t, d.Slots(size(-64_000)))
}

// TestMixedSizes guards against a mean size that the first task determines: after a large one, a thousand small ones
// count. The scarcer resource limits the slots.
func TestMixedSizes(t *testing.T) {
	d := reserver.New()
	d.RecordSize(size(64_000))
	for range 1000 {
		d.RecordSize(size(1000))
	}
	require.Equal(t, 7, d.Slots(cottonlanding.Resources{CPU: 8000, Memory: 64 * cottonlanding.Gigabyte}))
	require.Equal(t, 3, d.Slots(cottonlanding.Resources{CPU: 8000, Memory: 3 * cottonlanding.Gigabyte}))
}
