// Package admitter holds the policies that decide which workflows are rejected under overload.
//
// They are made for bursts in which the requested best-effort work is 2.5 times what a cell completes, and for days on
// which it is 1.3 times as much: without rejections half of the accepted workflows end too late to be of use, and their
// callers learn it last.
package admitter

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the variant that is used when none is configured.
const Fallback = "accept"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.OverloadPolicy]{
	"accept": func() cottonlanding.OverloadPolicy { return Accept{} },
	"reject": func() cottonlanding.OverloadPolicy { return Reject{} },
}

// Accept accepts all workflows. It is the baseline.
type Accept struct{}

// Decide implements cottonlanding.OverloadPolicy.
func (Accept) Decide(_ cottonlanding.OverloadView, state cottonlanding.OverloadState) cottonlanding.OverloadDecision {
	return cottonlanding.OverloadDecision{State: state}
}
