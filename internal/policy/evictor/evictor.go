// Package evictor holds the eviction policies.
package evictor

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the variant that is used when operators name none.
const Fallback = "leastlost"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.EvictionPolicy]{
	"leastlost": func() cottonlanding.EvictionPolicy { return LeastLost{} },
	"youngest":  func() cottonlanding.EvictionPolicy { return Youngest{} },
}
