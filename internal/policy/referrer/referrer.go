// Package referrer holds the policies that decide which cell keeps a workflow.
package referrer

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the policy used when none is named.
const Fallback = "byimage"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.ReferralPolicy]{
	"byimage": func() cottonlanding.ReferralPolicy { return ByImage{} },
	"byroom":  func() cottonlanding.ReferralPolicy { return ByRoom{} },
	"never":   func() cottonlanding.ReferralPolicy { return Never{} },
}

// Never leaves each workflow where it was handed in, the plain baseline.
type Never struct{}

// Refer implements cottonlanding.ReferralPolicy.
func (Never) Refer(cottonlanding.Workflow, cottonlanding.CellView, []cottonlanding.CellView) (cottonlanding.CellNumber, bool) {
	return 0, false
}
