package dispatcher

import (
	"github.com/cottonlanding/cottonlanding"
)

// grant is a slot for a waiting request.
type grant struct {
	executor cottonlanding.ExecutorInfo
}

// waiter is a request that waits for a slot.
type waiter struct {
	team  cottonlanding.Team
	tried []cottonlanding.ExecutorID
	// given receives at most one grant.
	given chan grant
	gone  bool
}

// fairQueue holds waiters, first come first served within a team, and shares
// the slots among the teams that wait by their weights.
type fairQueue struct {
	teams  map[cottonlanding.Team]*teamQueue
	length int
	// virtual is the virtual time of the team served last.
	virtual float64
}

type teamQueue struct {
	waiters []*waiter
	weight  float64
	virtual float64
}

func newFairQueue() *fairQueue {
	return &fairQueue{teams: make(map[cottonlanding.Team]*teamQueue)}
}

func (q *fairQueue) setWeight(team cottonlanding.Team, weight float64) {
	q.team(team).weight = weight
}

func (q *fairQueue) team(name cottonlanding.Team) *teamQueue {
	t := q.teams[name]
	if t == nil {
		t = &teamQueue{weight: 1}
		q.teams[name] = t
	}
	return t
}

func (q *fairQueue) push(w *waiter) {
	t := q.team(w.team)
	if len(t.waiters) == 0 {
		t.virtual = max(t.virtual, q.virtual)
	}
	t.waiters = append(t.waiters, w)
	q.length++
}

// leave takes out a waiter that gave up.
func (q *fairQueue) leave(w *waiter) {
	if !w.gone {
		w.gone = true
		q.length--
	}
}

// next returns the waiter to be served next, without taking it out.
func (q *fairQueue) next() *waiter {
	var best *teamQueue
	for _, t := range q.teams {
		for len(t.waiters) > 0 && t.waiters[0].gone {
			t.waiters = t.waiters[1:]
		}
		if len(t.waiters) > 0 && (best == nil || t.virtual < best.virtual) {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	return best.waiters[0]
}

// serve takes out the waiter that next returned.
func (q *fairQueue) serve(w *waiter) {
	t := q.team(w.team)
	t.waiters = t.waiters[1:]
	w.gone = true
	q.length--
	q.virtual = t.virtual
	t.virtual += 1 / t.weight
}
