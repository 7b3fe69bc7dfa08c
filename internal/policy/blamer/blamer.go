// Package blamer holds the policies that decide which tasks crash their workers.
package blamer

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the policy used when none is named.
const Fallback = "fair"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.BlamePolicy]{
	"count": func() cottonlanding.BlamePolicy { return Count{} },
	"apart": func() cottonlanding.BlamePolicy { return Isolation{} },
	"fair":  func() cottonlanding.BlamePolicy { return Fair{} },
}

// maxLosses is how many crashes the plain count allows: none is started once more after
// three, where two more starts would be allowed.
const maxLosses = 3

// Count gives up each task under which three workers have crashed, the plain baseline.
type Count struct{}

// Blames implements cottonlanding.BlamePolicy.
func (Count) Blames(cottonlanding.CrashView) bool { return true }

// GivesUp implements cottonlanding.BlamePolicy.
func (Count) GivesUp(suspect cottonlanding.SuspectView) bool {
	return suspect.Record.Losses >= maxLosses
}

// Isolates implements cottonlanding.BlamePolicy.
func (Count) Isolates(cottonlanding.CrashRecord) bool { return false }
