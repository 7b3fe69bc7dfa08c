// Package mixer holds the policies that pick the workers on which serving tasks of
// several images come together.
package mixer

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the policy used when none is named.
const Fallback = "leastlost"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.MixingPolicy]{
	"anywhere":  func() cottonlanding.MixingPolicy { return Anywhere{} },
	"leastlost": func() cottonlanding.MixingPolicy { return LeastLost{} },
}

// Anywhere leaves the choice among all workers, the plain baseline.
type Anywhere struct{}

// Narrow implements cottonlanding.MixingPolicy.
func (Anywhere) Narrow(workers []cottonlanding.MixView) []int {
	all := make([]int, len(workers))
	for i := range workers {
		all[i] = i
	}
	return all
}

// LeastLost keeps the workers that fewest filling images lose. Its load is serving
// tasks that fill the workers: each image bears some filling images, two together only
// what both bear, so that a worker with two images is of little use for filling tasks.
// Where mixing can't be avoided, it falls on workers that are mixed already, or on
// images that bear the same.
type LeastLost struct{}

// Narrow implements cottonlanding.MixingPolicy.
func (LeastLost) Narrow(workers []cottonlanding.MixView) []int {
	var out []int
	least := 0
	for i, w := range workers {
		switch lost := w.Tolerated - w.ToleratedAfter; {
		case len(out) == 0 || lost < least:
			out, least = []int{i}, lost
		case lost == least:
			out = append(out, i)
		}
	}
	return out
}
