// Package returner holds the policies that tell refused callers when to come back.
package returner

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the policy used when none is named.
const Fallback = "growing"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.ReturnPolicy]{
	"constant": func() cottonlanding.ReturnPolicy { return Constant{} },
	"growing":  func() cottonlanding.ReturnPolicy { return Growing{} },
}

// shortestWait is what a change of owner takes at least.
const shortestWait = cottonlanding.Second

// Constant always names the same wait, the plain baseline.
type Constant struct{}

// RetryAfter implements cottonlanding.ReturnPolicy.
func (Constant) RetryAfter(cottonlanding.Millis) cottonlanding.Millis { return shortestWait }
