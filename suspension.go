package cottonlanding

import (
	"sync/atomic"
	"time"
)

// stepTolerance is how far the time of day may move against the monotonic clock before it is
// asked whether the host was suspended: more than clocks are slewed by in an hour, and far
// below any span that a lease rests on.
const stepTolerance = 2 * time.Millisecond

// NewHostClock returns a clock that counts the time for which the host was suspended, where
// the system tells. The monotonic clock stands still meanwhile, so that a host which wakes
// would believe in a lease that others saw run out. For all but that it is NewClock.
func NewHostClock() Clock {
	start := time.Now()
	return newSuspensionClock(func() (wall, monotonic time.Duration) {
		now := time.Now()
		return now.Round(0).Sub(start.Round(0)), now.Sub(start)
	}, sinceBoot)
}

// suspension is how far the clock is ahead of the monotonic one, and how far the time of day
// was when that was found out.
type suspension struct {
	suspended time.Duration
	step      time.Duration
}

// newSuspensionClock is NewHostClock on given clocks. Asking the system costs a call to it,
// which the two others don't: it is asked when the time of day has moved against the
// monotonic clock, as it does over a suspension.
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
		if step := wall - monotonic; max(step-known.step, known.step-step) > stepTolerance {
			if boot, ok := sinceBoot(); ok {
				known = &suspension{suspended: max(boot-bootOffset-monotonic, known.suspended), step: step}
				last.Store(known)
			}
		}
		return FromDuration(monotonic + known.suspended)
	}}
}
