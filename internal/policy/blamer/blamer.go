// Package blamer holds the policies that attribute crashes of workers to tasks.
package blamer

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the variant that is used when none is configured.
const Fallback = "fair"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.BlamePolicy]{
	"count": func() cottonlanding.BlamePolicy { return Count{} },
	"apart": func() cottonlanding.BlamePolicy { return Isolation{} },
	"fair":  func() cottonlanding.BlamePolicy { return Fair{} },
}

// countLimit is the number of losses for which Count gives a task up. Under every policy, the planner
// gives a task up after its own, larger limit (planner.maxLosses) as well.
const countLimit = 3

// Count gives up each task under which three workers have crashed. It is the baseline.
type Count struct{}

// Blames implements cottonlanding.BlamePolicy.
func (Count) Blames(cottonlanding.CrashView) bool { return true }

// GivesUp implements cottonlanding.BlamePolicy.
func (Count) GivesUp(suspect cottonlanding.SuspectView) bool {
	return suspect.Record.Losses >= countLimit
}

// Isolates implements cottonlanding.BlamePolicy.
func (Count) Isolates(cottonlanding.CrashRecord) bool { return false }
