package blamer

import "github.com/cottonlanding/cottonlanding"

const (
	// minUnprovokedWorkers is how many workers that had begun nothing must fall silent at the
	// same time for an outer cause to be believed. One may be any fault.
	minUnprovokedWorkers = 2
	// minSilentWorkers is how many workers must fall silent together for half of all to mean
	// anything: a small cell has few.
	minSilentWorkers = 2
)

// Fair is Apart, but for losses with an outer cause, which count against nobody: workers
// without a culprit fall silent at the same time, a whole rack does, or half of all do.
type Fair struct{ Isolation }

// Blames implements cottonlanding.BlamePolicy.
func (Fair) Blames(crash cottonlanding.CrashView) bool {
	rackLost := crash.Rack > 0 && 4*crash.RackSilent >= 3*crash.Rack
	majoritySilent := crash.Silent >= minSilentWorkers && 2*crash.Silent >= crash.Workers
	return crash.Unprovoked < minUnprovokedWorkers && !rackLost && !majoritySilent
}
