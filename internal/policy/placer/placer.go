// Package placer holds the placement policies.
package placer

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the placement policy of jobs when Policies.Placement of the configuration is empty. Package
// selector has its own defaults for workflows.
const Fallback = "spread"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.PlacementPolicy]{
	"pack":     func() cottonlanding.PlacementPolicy { return Pack{} },
	"firstfit": func() cottonlanding.PlacementPolicy { return FirstFit{} },
	"spread":   func() cottonlanding.PlacementPolicy { return Spread{} },
}
