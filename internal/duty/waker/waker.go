// Package waker wakes a duty that waits.
package waker

// Waker holds at most one call to wake: calls that come while one is there change nothing.
// A duty waits by receiving from it.
type Waker chan struct{}

// New returns a waker without a call.
func New() Waker { return make(Waker, 1) }

// Wake wakes the duty, at once or when it waits next.
func (w Waker) Wake() {
	select {
	case w <- struct{}{}:
	default:
	}
}
