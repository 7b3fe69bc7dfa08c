// Package delegator holds the policies that decide which cell runs a lasting task for which its own
// cell has no room.
//
// Their load is cells that lasting tasks fill unevenly: one is full, others have hundreds of free
// processors, and a worker of the full one is lost for good.
package delegator

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the policy used when none is named.
const Fallback = "byroom"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.DelegationPolicy]{
	"byroom": func() cottonlanding.DelegationPolicy { return ByRoom{} },
	"never":  func() cottonlanding.DelegationPolicy { return Never{} },
}

// ByRoom draws a cell by how much room it has, so that what several full cells delegate at the same
// time doesn't all go to one. The draw follows from the task, so that decisions repeat.
type ByRoom struct{}

// Delegate implements cottonlanding.DelegationPolicy.
func (ByRoom) Delegate(task cottonlanding.TaskRef, candidates []cottonlanding.CellView) (cottonlanding.CellNumber, bool) {
	sum := 0.0
	for _, candidate := range candidates {
		sum += max(candidate.Free, 0)
	}
	if sum == 0 {
		return 0, false
	}
	draw := sum * float64(xxhash.Sum64String("delegate "+task.String())) / math.MaxUint64
	for _, candidate := range candidates {
		if draw -= max(candidate.Free, 0); candidate.Free > 0 && draw < 0 {
			return candidate.Cell, true
		}
	}
	return 0, false
}

// Never leaves each task in its own cell, the plain baseline.
type Never struct{}

// Delegate implements cottonlanding.DelegationPolicy.
func (Never) Delegate(cottonlanding.TaskRef, []cottonlanding.CellView) (cottonlanding.CellNumber, bool) {
	return 0, false
}
