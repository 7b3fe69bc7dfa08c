package driver

import (
	"sync"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/waker"
)

// cellSerializer are the ways to other cells. On each one thing is done at a time, and a cell that
// gives no answer holds up its own lane alone.
type cellSerializer struct {
	work *sync.WaitGroup
	// retry is woken when a lane becomes free on which there was more to do meanwhile.
	retry waker.Waker

	mu sync.Mutex
	// busy holds the cells whose lanes are taken, and whether there was more to do.
	busy map[cottonlanding.CellNumber]bool
}

func newCellSerializer(work *sync.WaitGroup, retry waker.Waker) *cellSerializer {
	return &cellSerializer{work: work, retry: retry, busy: make(map[cottonlanding.CellNumber]bool)}
}

// run does a step on the lane to a cell, unless the lane is taken.
func (s *cellSerializer) run(to cottonlanding.CellNumber, call func()) {
	if !s.acquire(to) {
		return
	}
	s.work.Go(func() {
		call()
		if s.release(to) {
			s.retry.Wake()
		}
	})
}

// acquire reports whether the lane was free.
func (s *cellSerializer) acquire(to cottonlanding.CellNumber) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, busy := s.busy[to]
	s.busy[to] = busy
	return !busy
}

// release frees the lane, and reports whether there was more to do while it was taken.
func (s *cellSerializer) release(to cottonlanding.CellNumber) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.busy[to]
	delete(s.busy, to)
	return pending
}
