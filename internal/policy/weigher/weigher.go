// Package weigher holds the policies that decide what is assumed of how much a filling
// image disturbs a serving one.
package weigher

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the policy used when none is named.
const Fallback = "trials"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.DisturbancePolicy]{
	"cautious": func() cottonlanding.DisturbancePolicy { return Cautious{} },
	"trials":   func() cottonlanding.DisturbancePolicy { return Trials{} },
}

// cautionFactor is how many standard errors are added to a weight before it is relied on.
// Source: plays on the users' platform; more left workers idle, less pushed serving
// tasks over their target.
const cautionFactor = 0.7

// Cautious takes a pair that isn't known for one that disturbs much, the plain baseline.
type Cautious struct{}

// Weight implements cottonlanding.DisturbancePolicy.
func (Cautious) Weight(pair cottonlanding.PairView) float64 {
	return max(pair.Weight+cautionFactor*pair.StandardError, 0)
}

// Untried implements cottonlanding.DisturbancePolicy.
func (Cautious) Untried(cottonlanding.PairView) bool { return false }
