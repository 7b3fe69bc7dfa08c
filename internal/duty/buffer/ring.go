// Package buffer holds the bounded rings that join the duties of a process.
package buffer

import "sync/atomic"

// Ring is a bounded first-in first-out queue between goroutines.
type Ring[T any] struct {
	items   chan T
	refused atomic.Int64
	peak    atomic.Int64
}

// State is a ring's fill, for the dump.
type State struct {
	Length   int
	Capacity int
	// Peak is the highest length seen.
	Peak int64
	// Refused counts the items turned away because the ring was full.
	Refused int64
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// Push adds an item and reports whether there was room.
func (r *Ring[T]) Push(item T) bool {
	select {
	case r.items <- item:
		r.recordPeak()
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

func (r *Ring[T]) recordPeak() {
	length := int64(len(r.items))
	for {
		peak := r.peak.Load()
		if length <= peak || r.peak.CompareAndSwap(peak, length) {
			return
		}
	}
}

// Items returns the channel to receive from.
func (r *Ring[T]) Items() <-chan T { return r.items }

// State returns the ring's fill.
func (r *Ring[T]) State() State {
	return State{Length: len(r.items), Capacity: cap(r.items), Peak: r.peak.Load(), Refused: r.refused.Load()}
}
