package returner

import (
	"sync/atomic"

	"github.com/cottonlanding/cottonlanding"
)

// Tracker knows for how long a host could accept nothing. Its methods may be called
// from several goroutines.
type Tracker struct {
	policy cottonlanding.ReturnPolicy
	clock  cottonlanding.Clock
	// random returns a number from 0 up to its argument.
	random func(int64) int64
	// since is when the first caller was refused after the last one that was accepted,
	// in milliseconds of the clock, or zero.
	since atomic.Int64
}

// NewTracker returns a tracker of a host that accepts what comes.
func NewTracker(policy cottonlanding.ReturnPolicy, clock cottonlanding.Clock, random func(int64) int64) *Tracker {
	return &Tracker{policy: policy, clock: clock, random: random}
}

// Accepted notes that a caller was accepted.
func (t *Tracker) Accepted() { t.since.Store(0) }

// Refused notes that a caller is refused and returns when it should come back, in whole
// seconds. Those are rounded at random, so that callers don't come back all at once.
func (t *Tracker) Refused() cottonlanding.Millis {
	now := t.clock.Now()
	t.since.CompareAndSwap(0, int64(now))
	outage := max(now-cottonlanding.Millis(t.since.Load()), 0)
	wait := t.policy.RetryAfter(outage)
	rest := wait % cottonlanding.Second
	wait -= rest
	if t.random(int64(cottonlanding.Second)) < int64(rest) {
		wait += cottonlanding.Second
	}
	return wait
}
