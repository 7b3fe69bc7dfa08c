package planner

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// runSet holds the runs of one worker, ordered by key, which keeps decisions deterministic. It is optimized for
// reading: polls and decisions read it far more often than it changes.
type runSet struct {
	byKey   map[cottonlanding.RunKey]*run
	ordered []*run
}

func newRunSet() runSet {
	return runSet{byKey: make(map[cottonlanding.RunKey]*run)}
}

func (s *runSet) size() int { return len(s.ordered) }

func (s *runSet) get(key cottonlanding.RunKey) *run { return s.byKey[key] }

// all returns the runs in order. The caller must not modify the slice, nor change the set while iterating over it.
func (s *runSet) all() []*run { return s.ordered }

// snapshot returns a copy of the runs in order, for callers that change the set while iterating.
func (s *runSet) snapshot() []*run { return slices.Clone(s.ordered) }

func (s *runSet) find(key cottonlanding.RunKey) (int, bool) {
	return slices.BinarySearchFunc(s.ordered, key, func(r *run, key cottonlanding.RunKey) int { return compareKeys(r.RunKey, key) })
}

func (s *runSet) add(r *run) {
	at, found := s.find(r.RunKey)
	s.byKey[r.RunKey] = r
	if found {
		s.ordered[at] = r
		return
	}
	s.ordered = slices.Insert(s.ordered, at, r)
}

func (s *runSet) remove(key cottonlanding.RunKey) {
	if at, found := s.find(key); found {
		delete(s.byKey, key)
		s.ordered = slices.Delete(s.ordered, at, at+1)
	}
}

func compareKeys(a, b cottonlanding.RunKey) int {
	return cmp.Or(
		cmp.Compare(a.Task.Workflow, b.Task.Workflow),
		cmp.Compare(a.Task.Round, b.Task.Round),
		cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Number, b.Number),
	)
}
