// Package predictor holds the policies that predict how long tasks run.
package predictor

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the policy used when none is named.
const Fallback = "learnt"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.RunTimePredictor]{
	"declared": func() cottonlanding.RunTimePredictor { return Declared{} },
	"learnt":   func() cottonlanding.RunTimePredictor { return NewLearnt() },
}

// Declared believes the clients' estimates, the plain baseline.
type Declared struct{}

// Learn implements cottonlanding.RunTimePredictor.
func (Declared) Learn(cottonlanding.QueueName, cottonlanding.Millis, cottonlanding.Millis) {}

// Predict implements cottonlanding.RunTimePredictor.
func (Declared) Predict(_ cottonlanding.QueueName, estimate cottonlanding.Millis) cottonlanding.Millis {
	return estimate
}
