// Package orderer holds the admission policies.
package orderer

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the admission policy of jobs when Policies.Admission of the configuration is empty.
const Fallback = "fifo"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.AdmissionPolicy]{
	"fifo":       func() cottonlanding.AdmissionPolicy { return FIFO{} },
	"leastshare": func() cottonlanding.AdmissionPolicy { return LeastShare{} },
}
