package dispatcher

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// failuresToEject is how many failures in a row eject an executor.
	failuresToEject = 3
	firstEjection   = cottonlanding.Second
	longestEjection = 30 * cottonlanding.Second
	// ejectedShare is the largest share of executors that are ejected, 1/n.
	ejectedShare = 2
	// smoothing weighs the newest latency in the average by 1/n.
	smoothing = 8
	// slowFactor is how much slower than the median an executor must be to be
	// spared; it then gets one request each probeEvery to show its present speed.
	slowFactor = 3
	probeEvery = cottonlanding.Second
	// unknownLatency stands for an executor that was never measured.
	unknownLatency = 1.0
)

// executor is an executor as this daemon uses it.
type executor struct {
	info    cottonlanding.ExecutorInfo
	listed  bool
	leaving bool
	// inFlight counts this daemon's requests, also those that were given up but
	// may still run.
	inFlight int
	latency  float64
	failures int
	// ejectedUntil is set while the executor gets nothing; then it is on trial
	// with one request at a time until one succeeds.
	ejectedUntil cottonlanding.Millis
	ejection     cottonlanding.Millis
	trial        bool
	// probeAt is when a slow executor may get the next request.
	probeAt cottonlanding.Millis
}

// Pool is one service's executors of this data centre. It is a state machine
// without locks or clocks.
type Pool struct {
	executors map[cottonlanding.ExecutorID]*executor
	random    *rand.Rand
	// share is how many slots of each executor this daemon may use.
	share int
}

// NewPool returns a pool without executors; random breaks ties.
func NewPool(random *rand.Rand) *Pool {
	return &Pool{executors: make(map[cottonlanding.ExecutorID]*executor), random: random}
}

// SetShare sets how many slots of each executor may be used.
func (p *Pool) SetShare(share int) { p.share = share }

// SetExecutors takes in the host list.
func (p *Pool) SetExecutors(infos []cottonlanding.ExecutorInfo) {
	for _, e := range p.executors {
		e.listed = false
	}
	for _, info := range infos {
		e := p.executors[info.ID]
		if e == nil || e.info.Address != info.Address {
			e = &executor{latency: unknownLatency}
			p.executors[info.ID] = e
		}
		e.info, e.listed = info, true
		e.leaving = e.leaving || info.State == cottonlanding.Leaving
	}
	for id, e := range p.executors {
		if !e.listed && e.inFlight == 0 {
			delete(p.executors, id)
		}
	}
}

func (p *Pool) open(e *executor, now cottonlanding.Millis) bool {
	if !e.listed || e.leaving || now < e.ejectedUntil {
		return false
	}
	if e.trial {
		return e.inFlight == 0
	}
	return e.inFlight < p.share
}

// Acquire takes a slot of an executor that is not in tried: the better of two
// picked at random, by latency and requests under way.
func (p *Pool) Acquire(now cottonlanding.Millis, tried []cottonlanding.ExecutorID) (cottonlanding.ExecutorInfo, bool) {
	var quick, slow []*executor
	limit := slowFactor * p.medianLatency()
	for id, e := range p.executors {
		switch {
		case !p.open(e, now) || slices.Contains(tried, id):
		case e.latency > limit && now < e.probeAt:
			slow = append(slow, e)
		default:
			quick = append(quick, e)
		}
	}
	best := p.better(quick)
	if best == nil {
		best = p.better(slow) // slow is better than not at all
	}
	if best == nil {
		return cottonlanding.ExecutorInfo{}, false
	}
	if best.latency > limit {
		best.probeAt = now + probeEvery
	}
	best.inFlight++
	return best.info, true
}

// better picks two of the candidates at random and returns the better one.
func (p *Pool) better(candidates []*executor) *executor {
	if len(candidates) == 0 {
		return nil
	}
	// the order of a map is no fair choice
	slices.SortFunc(candidates, func(a, b *executor) int { return strings.Compare(string(a.info.ID), string(b.info.ID)) })
	best := candidates[p.random.IntN(len(candidates))]
	other := candidates[p.random.IntN(len(candidates))]
	if other.cost() < best.cost() {
		return other
	}
	return best
}

// medianLatency returns the median over the executors that were measured.
func (p *Pool) medianLatency() float64 {
	var all []float64
	for _, e := range p.executors {
		if e.listed && e.latency > unknownLatency {
			all = append(all, e.latency)
		}
	}
	if len(all) == 0 {
		return math.Inf(1)
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

func (e *executor) cost() float64 { return e.latency * float64(e.inFlight+1) }

// InUse returns the most requests that run on any executor, and how many of all
// slots of the share are taken.
func (p *Pool) InUse() (most, taken int) {
	for _, e := range p.executors {
		most = max(most, e.inFlight)
		taken += e.inFlight
	}
	return most, taken
}

// Usable reports whether any executor could take a request once it has a slot.
func (p *Pool) Usable(now cottonlanding.Millis) bool {
	for _, e := range p.executors {
		if e.listed && !e.leaving && now >= e.ejectedUntil && p.share > 0 {
			return true
		}
	}
	return false
}

// Slots returns how many requests the pool can run at a time.
func (p *Pool) Slots(now cottonlanding.Millis) int {
	slots := 0
	for _, e := range p.executors {
		if e.listed && !e.leaving && now >= e.ejectedUntil {
			slots += p.share
		}
	}
	return slots
}

// Result is what became of a request at an executor.
type Result struct {
	Latency cottonlanding.Millis
	// Failed counts against the executor.
	Failed bool
	// Leaving says that the executor takes nothing new.
	Leaving bool
}

// Release gives back a slot.
func (p *Pool) Release(id cottonlanding.ExecutorID, result Result, now cottonlanding.Millis) {
	e := p.executors[id]
	if e == nil {
		return
	}
	e.inFlight--
	e.leaving = e.leaving || result.Leaving
	if result.Failed {
		p.fail(e, now)
		return
	}
	e.failures, e.trial, e.ejection = 0, false, 0
	e.latency += (float64(max(result.Latency, 1)) - e.latency) / smoothing
}

func (p *Pool) fail(e *executor, now cottonlanding.Millis) {
	e.failures++
	if e.failures < failuresToEject && !e.trial || !p.mayEject(now) {
		return
	}
	e.ejection = min(max(2*e.ejection, firstEjection), longestEjection)
	e.ejectedUntil = now + e.ejection
	e.trial = true
	e.failures = 0
}

// mayEject reports whether one more executor can be spared.
func (p *Pool) mayEject(now cottonlanding.Millis) bool {
	listed, ejected := 0, 0
	for _, e := range p.executors {
		if !e.listed || e.leaving {
			continue
		}
		listed++
		if now < e.ejectedUntil {
			ejected++
		}
	}
	return (ejected+1)*ejectedShare <= listed
}

// PoolState is a pool's part of the dump.
type PoolState struct {
	Executors int
	Leaving   int
	Ejected   int
	InFlight  int
	Share     int
}

// State returns the dump.
func (p *Pool) State(now cottonlanding.Millis) PoolState {
	out := PoolState{Share: p.share}
	for _, e := range p.executors {
		out.Executors++
		out.InFlight += e.inFlight
		if e.leaving {
			out.Leaving++
		}
		if now < e.ejectedUntil {
			out.Ejected++
		}
	}
	return out
}
