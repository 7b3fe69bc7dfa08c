package planner

import (
	"fmt"
	"strings"

	"github.com/cottonlanding/cottonlanding"
)

// waitChain is what can keep a lasting task down one after the other, with the longest time of all.
type waitChain struct {
	name string
	down cottonlanding.Millis
}

// CheckDown returns an error that names the chains of waits by which one fault may keep a lasting task down
// for longer than it may be, though workers have room. call is how long its owner waits for an answer, turn how long a
// decision, its commit and what is sent by it take together. docs/design/lasting-tasks.md lists the chains.
func CheckDown(timing Timing, call, turn cottonlanding.Millis) error {
	var faults []string
	for _, chain := range waitChains(timing, call, turn) {
		if chain.down > maxDowntime {
			faults = append(faults, fmt.Sprintf("%s: %s", chain.name, chain.down))
		}
	}
	if pollFailsAfter := busyPollWait + call; timing.Lease/startLeaseDivisor < pollFailsAfter {
		faults = append(faults, fmt.Sprintf("a look fails after %s, and starts extend a lease from %s on", pollFailsAfter, timing.Lease/startLeaseDivisor))
	}
	if holdAfter > maxDeferral {
		faults = append(faults, fmt.Sprintf("a worker is kept after %s, and nothing holds a task back after %s", holdAfter, maxDeferral))
	}
	if len(faults) > 0 {
		return fmt.Errorf("lasting tasks may be down for longer than %s (%s)", maxDowntime, strings.Join(faults, "; "))
	}
	return nil
}

func waitChains(timing Timing, call, turn cottonlanding.Millis) []waitChain {
	lost := withDriftMargin(timing.Lease) + turn
	stopped := busyPollWait + turn // a stop was answered, and the next look shows that the run is ruled out
	secondStart := call + orderRetryInterval
	lastStart := max(lost+urgentStartTimeout, min(lost+startTimeout, maxDeferral))
	delegated := delegateAfter + 3*turn
	return []waitChain{
		{"a silent worker", lost},
		{"a silent worker, then a start without an answer", lastStart + stopped},
		{"a silent worker, then delegated", lost + delegated},
		{"held back, then room is made", maxDeferral + preemptionTimeout + turn},
		{"placed on a worker that falls silent before the start", turn + busyPollWait + call + turn},
		{"starts without an answer", turn + startTimeout + stopped},
		{"starts and stops without an answer", turn + secondStart + withDriftMargin(timing.Lease) + cottonlanding.Millis(readingTolerance) + stopped},
		{"starts that are late", turn + (maxLateStarts+1)*(orderRetryInterval+turn)},
		{"delegated, returned and delegated again", turn + 2*delegated + returnAfter + turn},
	}
}
