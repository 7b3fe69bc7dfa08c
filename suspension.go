package cottonlanding

import (
	"sync/atomic"
	"time"
)

// stepTolerance is how far the time of day may move against the monotonic clock before the time since
// boot is read. Slewing moves both clocks alike, and they are read in close succession, so that normally
// only a step or a suspension exceeds the tolerance. All leases are far longer.
const stepTolerance = 2 * time.Millisecond

// NewHostClock returns a clock that includes the time for which the host was suspended, if the system
// provides it. The monotonic clock stops meanwhile, so that a resumed host would rely on a lease that
// has expired for all others. In all other respects it is like NewClock.
func NewHostClock() Clock {
	start := time.Now()
	return newSuspensionClock(func() (wall, monotonic time.Duration) {
		now := time.Now()
		return now.Round(0).Sub(start.Round(0)), now.Sub(start)
	}, sinceBoot)
}

// suspension holds the offsets of two clocks from the monotonic one.
type suspension struct {
	// suspended is how far the clock that includes suspensions is ahead.
	suspended time.Duration
	// wallOffset is how far the time of day was ahead when suspended was determined.
	wallOffset time.Duration
}

// newSuspensionClock is NewHostClock on the given clocks. Reading the time since boot takes a system
// call, which the other two clocks don't need, so it is read only when the time of day has moved
// against the monotonic clock, as it does over a suspension.
func newSuspensionClock(read func() (wall, monotonic time.Duration), sinceBoot func() (time.Duration, bool)) Clock {
	_, monotonicStart := read()
	boot, ok := sinceBoot()
	if !ok {
		return Clock{now: func() Millis {
			_, monotonic := read()
			return FromDuration(monotonic)
		}}
	}
	bootOffset := boot - monotonicStart
	var last atomic.Pointer[suspension]
	last.Store(&suspension{})
	return Clock{now: func() Millis {
		wall, monotonic := read()
		known := last.Load()
		if wallOffset := wall - monotonic; max(wallOffset-known.wallOffset, known.wallOffset-wallOffset) > stepTolerance {
			if boot, ok := sinceBoot(); ok {
				known = &suspension{suspended: max(boot-bootOffset-monotonic, known.suspended), wallOffset: wallOffset}
				last.Store(known)
			}
		}
		return FromDuration(monotonic + known.suspended)
	}}
}
