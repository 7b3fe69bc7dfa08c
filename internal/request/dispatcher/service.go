package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/request/lender"
)

const (
	// budgetPerRequest is how many retries a request pays for.
	budgetPerRequest = 0.05
	// busyParts makes nearly all slots mean all but one of so many parts.
	busyParts = 5
	// budgetCap bounds the retries that can be saved up.
	budgetCap = 20.0
	// burst is how long a queue may stand before it counts as overload; then new
	// requests are taken only if they would wait no longer than standingWaits
	// times the average time of a request.
	burst         = 50 * cottonlanding.Millis(1)
	standingWaits = 0.5
	// firstEstimate is the service time assumed before any was measured.
	firstEstimate = 10.0
	// shortestRetryAfter and longestRetryAfter bound what callers are told.
	shortestRetryAfter = 200 * cottonlanding.Millis(1)
	longestRetryAfter  = 30 * cottonlanding.Second
)

// errNoExecutor reports that no executor of this data centre can be used.
var errNoExecutor = errors.New("no executor can be used")

// errOverload reports a request that could not be run in time.
var errOverload = errors.New("overloaded")

// errTooLate reports a request whose deadline passed while it waited for a slot.
var errTooLate = fmt.Errorf("%w: the deadline can't be met any more", errOverload)

// service is one service's queue and pool.
type service struct {
	clock cottonlanding.Clock

	mu     sync.Mutex
	spec   cottonlanding.Service
	pool   *Pool
	queue  *fairQueue
	mean   float64
	budget float64
	counts Counts
	// standing is since when requests have waited without a pause.
	standing cottonlanding.Millis
	// floor is this daemon's fixed share of each executor's slots; account holds
	// what it has borrowed beyond, of a surplus.
	floor   int
	surplus int
	account lender.Account
}

// Counts counts requests of one service.
type Counts struct {
	Ran       int64
	NotRun    int64
	Unknown   int64
	Attempts  int64
	Retries   int64
	Forwarded int64
	// Refused counts requests turned away because they could not be run in time.
	Refused int64
	// Late counts answers that arrived after their caller had been answered.
	Late int64
}

func (c *Counts) note(outcome cottonlanding.Outcome) {
	switch outcome {
	case cottonlanding.Ran:
		c.Ran++
	case cottonlanding.NotRun:
		c.NotRun++
	default:
		c.Unknown++
	}
}

// ServiceState is a service's dump.
type ServiceState struct {
	Service cottonlanding.ServiceName
	Pool    PoolState
	Queued  int
	// MeanMillis is the average time of a request at an executor.
	MeanMillis float64
	Counts     Counts
}

func newService(clock cottonlanding.Clock, spec cottonlanding.Service) *service {
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0))
	return &service{
		clock:  clock,
		spec:   spec,
		pool:   NewPool(random),
		queue:  newFairQueue(),
		mean:   firstEstimate,
		budget: budgetCap,
	}
}

func (s *service) update(spec cottonlanding.Service, teams []cottonlanding.TeamQuota) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spec = spec
	for _, team := range teams {
		s.queue.setWeight(team.Name, team.Weight)
	}
}

func (s *service) settings() cottonlanding.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spec
}

func (s *service) setExecutors(infos []cottonlanding.ExecutorInfo, seats int, seated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetExecutors(infos)
	s.floor, s.surplus = 0, 0
	if seated && seats > 0 {
		s.floor, s.surplus = s.spec.Slots/seats, s.spec.Slots%seats
	}
	s.grantAll()
}

// updateShare brings the pool's share up to date; a loan may have ended.
func (s *service) updateShare(now cottonlanding.Millis) {
	share := s.floor
	if s.surplus > 0 {
		share += s.account.Units(now)
	}
	s.pool.SetShare(share)
}

// demand makes the report for the lender: one unit more while requests wait or
// nearly all slots are taken, one less once they would fit into fewer.
func (s *service) demand() lender.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.updateShare(now)
	units := s.account.Units(now)
	most, taken := s.pool.InUse()
	slots := s.pool.Slots(now)
	want := units
	switch {
	case s.queue.length > 0 || taken*busyParts > slots*(busyParts-1):
		want = min(units+1, s.surplus)
	case units > 0 && taken*busyParts < (slots-slots/(s.floor+units))*(busyParts-1):
		want = units - 1
	}
	demand := s.account.Demand(s.spec.Name, want, max(most-s.floor, 0), now)
	s.updateShare(now)
	return demand
}

func (s *service) granted(units int, sent cottonlanding.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.Granted(units, sent)
	s.grantAll()
}

// acquire takes a slot, waiting for one while there is a chance to be done by
// the deadline. The error is errNoExecutor, errOverload or the context's.
func (s *service) acquire(ctx context.Context, team cottonlanding.Team, deadline cottonlanding.Millis, tried []cottonlanding.ExecutorID) (cottonlanding.ExecutorInfo, error) {
	w, info, err := s.enter(team, deadline, tried)
	if err != nil || w == nil {
		return info, err
	}
	patience := s.patience(deadline)
	if patience == 0 {
		return s.giveUp(w, errTooLate)
	}
	timer := time.NewTimer(patience.Duration())
	defer timer.Stop()
	select {
	case g := <-w.given:
		return g.executor, nil
	case <-timer.C:
		return s.giveUp(w, errTooLate)
	case <-ctx.Done():
		return s.giveUp(w, ctx.Err())
	}
}

// enter returns a slot at once, or a waiter in the queue.
func (s *service) enter(team cottonlanding.Team, deadline cottonlanding.Millis, tried []cottonlanding.ExecutorID) (*waiter, cottonlanding.ExecutorInfo, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.updateShare(now)
	if s.queue.length == 0 {
		if info, found := s.pool.Acquire(now, tried); found {
			return nil, info, nil
		}
	}
	if !s.pool.Usable(now) {
		return nil, cottonlanding.ExecutorInfo{}, errNoExecutor
	}
	if s.queue.length >= s.spec.Queue {
		s.counts.Refused++
		return nil, cottonlanding.ExecutorInfo{}, fmt.Errorf("%w: %d requests wait already", errOverload, s.queue.length)
	}
	if s.hopeless(now, deadline) {
		s.counts.Refused++
		return nil, cottonlanding.ExecutorInfo{}, fmt.Errorf("%w: the wait would be about %s", errOverload, s.waitEstimate(now))
	}
	if s.queue.length == 0 {
		s.standing = now
	}
	w := &waiter{team: team, tried: tried, given: make(chan grant, 1)}
	s.queue.push(w)
	return w, cottonlanding.ExecutorInfo{}, nil
}

// hopeless reports whether a new request would wait for too long: beyond its
// deadline, or, in a queue that doesn't empty, longer than one request takes.
func (s *service) hopeless(now, deadline cottonlanding.Millis) bool {
	wait := s.waitEstimate(now)
	if now+wait+cottonlanding.Millis(s.mean) > deadline {
		return true
	}
	stands := s.queue.length > 0 && now-s.standing > burst
	return stands && float64(wait) > standingWaits*s.mean
}

// waitEstimate returns how long a new request would wait for a slot.
func (s *service) waitEstimate(now cottonlanding.Millis) cottonlanding.Millis {
	slots := max(s.pool.Slots(now), 1)
	return cottonlanding.Millis(float64(s.queue.length) * s.mean / float64(slots))
}

func (s *service) patience(deadline cottonlanding.Millis) cottonlanding.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(deadline-s.clock.Now()-cottonlanding.Millis(s.mean), 0)
}

// giveUp leaves the queue; a grant that came in the meantime is used.
func (s *service) giveUp(w *waiter, err error) (cottonlanding.ExecutorInfo, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case g := <-w.given:
		return g.executor, nil
	default:
	}
	s.queue.leave(w)
	s.counts.Refused++
	return cottonlanding.ExecutorInfo{}, err
}

// release gives back a slot and hands free slots to those who wait.
func (s *service) release(id cottonlanding.ExecutorID, result Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Release(id, result, s.clock.Now())
	if !result.Failed {
		s.mean += (float64(result.Latency) - s.mean) / smoothing
	}
	s.grantAll()
}

// poll hands out slots that became free with time, such as after an ejection.
func (s *service) poll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantAll()
}

func (s *service) grantAll() {
	s.updateShare(s.clock.Now())
	for {
		w := s.queue.next()
		if w == nil {
			return
		}
		info, found := s.pool.Acquire(s.clock.Now(), w.tried)
		if !found {
			return
		}
		s.queue.serve(w)
		w.given <- grant{executor: info}
	}
}

// earn adds to the retry budget, spend takes one retry from it.
func (s *service) earn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget = min(s.budget+budgetPerRequest, budgetCap)
}

func (s *service) spend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.budget < 1 {
		return false
	}
	s.budget--
	s.counts.Retries++
	return true
}

func (s *service) count(edit func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(&s.counts)
}

// retryAfter returns when a caller that was turned away should come back, spread
// out so that callers don't return together.
func (s *service) retryAfter() cottonlanding.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	base := max(2*s.waitEstimate(s.clock.Now()), shortestRetryAfter)
	spread := cottonlanding.Millis(rand.Int64N(int64(base)))
	return min(base/2+spread, longestRetryAfter)
}

func (s *service) state() ServiceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceState{
		Service:    s.spec.Name,
		Pool:       s.pool.State(s.clock.Now()),
		Queued:     s.queue.length,
		MeanMillis: s.mean,
		Counts:     s.counts,
	}
}
