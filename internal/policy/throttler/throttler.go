// Package throttler holds the policies that decide how far filling tasks may raise the utilization of the serving tasks
// beside them.
package throttler

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the variant that is used when none is configured. It is the baseline, so that a deployment gets another
// one only by its settings.
const Fallback = "fraction"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.HeadroomPolicy]{
	"fraction": func() cottonlanding.HeadroomPolicy { return Fraction{} },
	"spread":   func() cottonlanding.HeadroomPolicy { return Spread{} },
}

// maxUtilization bounds the utilization derived from a long tail, which shows only that it is too high.
const maxUtilization = 0.99

// UtilizationAt returns the utilization that a tail latency implies, from 0 to 0.99, given the tail of an idle task.
func UtilizationAt(tail, idleTail cottonlanding.Millis) float64 {
	if tail <= idleTail {
		return 0
	}
	return min(1-float64(idleTail)/float64(tail), maxUtilization)
}
