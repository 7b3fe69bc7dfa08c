// Package mixer holds the policies that pick the workers on which serving tasks of several images are
// mixed.
package mixer

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the variant that is used when none is configured.
const Fallback = "leastlost"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.MixingPolicy]{
	"anywhere":  func() cottonlanding.MixingPolicy { return Anywhere{} },
	"leastlost": func() cottonlanding.MixingPolicy { return LeastLost{} },
}

// Anywhere allows all workers. It is the baseline.
type Anywhere struct{}

// Narrow implements cottonlanding.MixingPolicy.
func (Anywhere) Narrow(workers []cottonlanding.MixView) []int {
	all := make([]int, len(workers))
	for i := range workers {
		all[i] = i
	}
	return all
}

// LeastLost picks the workers on which the fewest filling images cease to be tolerated. A serving image
// tolerates a filling one that hardly disturbs it (cottonlanding.LightWeight), and a worker tolerates
// what all its serving images tolerate. LeastLost is made for serving tasks that fill the workers: one
// with two images tolerates few filling images and is of little use for filling tasks. Where images have
// to be mixed, it picks workers that are mixed already, or images that tolerate the same ones.
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
