// Package delegator holds the policies that decide which cell runs a lasting task for which its own
// cell has no room.
//
// They are made for cells that lasting tasks fill unevenly: one is full while others have hundreds of
// free processors, and the full one loses a worker for good.
package delegator

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the variant that is used when none is configured.
const Fallback = "byroom"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.DelegationPolicy]{
	"byroom": func() cottonlanding.DelegationPolicy { return ByRoom{} },
	"never":  func() cottonlanding.DelegationPolicy { return Never{} },
}

// ByRoom draws a cell with its free capacity as the weight, so that tasks which several full cells
// delegate at the same time don't all go to one cell. The draw is a hash of the task, so that
// decisions are reproducible.
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

// Never leaves each task in its own cell. It is the baseline.
type Never struct{}

// Delegate implements cottonlanding.DelegationPolicy.
func (Never) Delegate(cottonlanding.TaskRef, []cottonlanding.CellView) (cottonlanding.CellNumber, bool) {
	return 0, false
}
