// Package referrer holds the policies that decide in which cell a workflow runs.
package referrer

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the variant that is used when none is configured.
const Fallback = "byimage"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.ReferralPolicy]{
	"byimage": func() cottonlanding.ReferralPolicy { return ByImage{} },
	"byroom":  func() cottonlanding.ReferralPolicy { return ByRoom{} },
	"never":   func() cottonlanding.ReferralPolicy { return Never{} },
}

// Never leaves each workflow in the cell where it was submitted. It is the baseline.
type Never struct{}

// Refer implements cottonlanding.ReferralPolicy.
func (Never) Refer(cottonlanding.Workflow, cottonlanding.CellView, []cottonlanding.CellView) (cottonlanding.CellNumber, bool) {
	return 0, false
}
