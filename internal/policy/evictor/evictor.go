// Package evictor holds the eviction policies.
package evictor

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the eviction policy of jobs when Policies.Eviction of the configuration is empty.
const Fallback = "leastlost"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.EvictionPolicy]{
	"leastlost": func() cottonlanding.EvictionPolicy { return LeastLost{} },
	"youngest":  func() cottonlanding.EvictionPolicy { return Youngest{} },
}
