// Package weigher holds the policies that decide how much a filling image is assumed to disturb a
// serving one.
package weigher

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the variant that is used when none is configured.
const Fallback = "trials"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.DisturbancePolicy]{
	"cautious": func() cottonlanding.DisturbancePolicy { return Cautious{} },
	"trials":   func() cottonlanding.DisturbancePolicy { return Trials{} },
}

// cautionFactor is the number of standard errors that are added to a weight before it is relied on. A
// larger one leaves workers idle, a smaller one lets serving tasks exceed their latency targets.
const cautionFactor = 0.7

// Cautious assumes that an unknown pair disturbs much. It is the baseline.
type Cautious struct{}

// Weight implements cottonlanding.DisturbancePolicy.
func (Cautious) Weight(pair cottonlanding.PairView) float64 {
	return max(pair.Weight+cautionFactor*pair.StandardError, 0)
}

// Untried implements cottonlanding.DisturbancePolicy.
func (Cautious) Untried(cottonlanding.PairView) bool { return false }
