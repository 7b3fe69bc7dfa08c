// Package placer holds the placement policies.
package placer

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the variant that is used when operators name none.
const Fallback = "spread"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.PlacementPolicy]{
	"pack":     func() cottonlanding.PlacementPolicy { return Pack{} },
	"firstfit": func() cottonlanding.PlacementPolicy { return FirstFit{} },
	"spread":   func() cottonlanding.PlacementPolicy { return Spread{} },
}
