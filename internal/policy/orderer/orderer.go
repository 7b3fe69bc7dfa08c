// Package orderer holds the admission orders and their registry.
package orderer

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the order used when operators name none.
const Fallback = "fifo"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.AdmissionPolicy]{
	"fifo":       func() cottonlanding.AdmissionPolicy { return FIFO{} },
	"leastshare": func() cottonlanding.AdmissionPolicy { return LeastShare{} },
}
