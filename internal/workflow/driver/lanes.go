package driver

import (
	"sync"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/waker"
)

// lanes are the ways to other cells. On each one thing is done at a time, and a cell that
// gives no answer holds up its own lane alone.
type lanes struct {
	work *sync.WaitGroup
	// missed is woken when a lane becomes free on which there was more to do meanwhile.
	missed waker.Waker

	mu sync.Mutex
	// busy holds the cells whose lanes are taken, and whether there was more to do.
	busy map[cottonlanding.CellNumber]bool
}

func newLanes(work *sync.WaitGroup, missed waker.Waker) *lanes {
	return &lanes{work: work, missed: missed, busy: make(map[cottonlanding.CellNumber]bool)}
}

// run does a step on the lane to a cell, unless the lane is taken.
func (l *lanes) run(to cottonlanding.CellNumber, step func()) {
	if !l.take(to) {
		return
	}
	l.work.Go(func() {
		step()
		if l.free(to) {
			l.missed.Wake()
		}
	})
}

// take reports whether the lane was free.
func (l *lanes) take(to cottonlanding.CellNumber) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, busy := l.busy[to]
	l.busy[to] = busy
	return !busy
}

// free frees the lane, and reports whether there was more to do while it was taken.
func (l *lanes) free(to cottonlanding.CellNumber) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	missed := l.busy[to]
	delete(l.busy, to)
	return missed
}
