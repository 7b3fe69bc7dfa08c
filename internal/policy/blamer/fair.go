package blamer

import "github.com/cottonlanding/cottonlanding"

const (
	// minUnprovokedWorkers is how many workers that had started nothing must stop answering at the
	// same time for an external cause to be assumed. A single one may have any fault.
	minUnprovokedWorkers = 2
	// minSilentWorkers is how many workers must stop answering at the same time for half of all to be
	// significant: a small cell has few workers.
	minSilentWorkers = 2
)

// Fair is Isolation, except that losses with an external cause count against no task: workers that had
// started nothing stop answering at the same time, three quarters of a rack do, or half of all workers
// do.
type Fair struct{ Isolation }

// Blames implements cottonlanding.BlamePolicy.
func (Fair) Blames(crash cottonlanding.CrashView) bool {
	rackLost := crash.Rack > 0 && 4*crash.RackSilent >= 3*crash.Rack
	majoritySilent := crash.Silent >= minSilentWorkers && 2*crash.Silent >= crash.Workers
	return crash.Unprovoked < minUnprovokedWorkers && !rackLost && !majoritySilent
}
