package driver

import (
	"sync"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/waker"
)

// cellSerializer runs at most one batch of calls to each cell at a time, so that a cell which gives no answer delays
// only its own batches.
type cellSerializer struct {
	work *sync.WaitGroup
	// retry is woken when a batch has ended and another one for the same cell was skipped meanwhile.
	retry waker.Waker

	mu sync.Mutex
	// busy holds the cells with a batch under way, and whether another batch was skipped meanwhile.
	busy map[cottonlanding.CellNumber]bool
}

func newCellSerializer(work *sync.WaitGroup, retry waker.Waker) *cellSerializer {
	return &cellSerializer{work: work, retry: retry, busy: make(map[cottonlanding.CellNumber]bool)}
}

// run starts a batch for a cell. While one is under way it starts nothing, and retry is woken once that has ended.
func (s *cellSerializer) run(to cottonlanding.CellNumber, batch func()) {
	if !s.acquire(to) {
		return
	}
	s.work.Go(func() {
		batch()
		if s.release(to) {
			s.retry.Wake()
		}
	})
}

// acquire marks the cell as busy, and reports whether no batch was under way.
func (s *cellSerializer) acquire(to cottonlanding.CellNumber) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, busy := s.busy[to]
	s.busy[to] = busy
	return !busy
}

// release marks the cell as idle, and reports whether a batch was skipped while it was busy.
func (s *cellSerializer) release(to cottonlanding.CellNumber) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.busy[to]
	delete(s.busy, to)
	return pending
}
