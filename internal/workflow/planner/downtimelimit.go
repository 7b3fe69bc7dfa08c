package planner

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cottonlanding/cottonlanding"
)

// waitChain is a sequence of waits that can keep a lasting task down, with their longest total.
type waitChain struct {
	name string
	down cottonlanding.Millis
}

// CheckDown returns an error that names the sequences of waits by which one fault, or a worker and owners that are lost
// one after the other, may keep a lasting task down for longer than maxDowntime although workers have room. takeOver is
// how long after its end an owner is replaced, call how long it waits for an answer, turn how long a decision, its commit
// and the resulting orders take together. docs/design/lasting-tasks.md lists the sequences.
func CheckDown(timing Timing, takeOver, call, turn cottonlanding.Millis) error {
	var faults []string
	for _, chain := range slices.Concat(waitChains(timing, call, turn), ownerChangeChains(timing, takeOver, call, turn)) {
		if chain.down > maxDowntime {
			faults = append(faults, fmt.Sprintf("%s: %s", chain.name, chain.down))
		}
	}
	if pollFailsAfter := busyPollWait + call; timing.Lease/startLeaseDivisor < pollFailsAfter {
		faults = append(faults, fmt.Sprintf("a poll fails after %s, but starts extend a lease from %s on",
			pollFailsAfter, timing.Lease/startLeaseDivisor))
	}
	if holdAfter > maxDeferral {
		faults = append(faults, fmt.Sprintf("a worker is held after %s, but tasks are not deferred for longer than %s",
			holdAfter, maxDeferral))
	}
	if len(faults) > 0 {
		return fmt.Errorf("lasting tasks may be down for longer than %s (%s)", maxDowntime, strings.Join(faults, "; "))
	}
	return nil
}

func waitChains(timing Timing, call, turn cottonlanding.Millis) []waitChain {
	lost := withDriftMargin(timing.Lease) + turn
	stopped := busyPollWait + turn // a stop was answered, and the next poll shows that the run is ruled out
	secondStart := call + orderRetryInterval
	lastStart := max(lost+urgentStartTimeout, min(lost+startTimeout, maxDeferral))
	delegated := delegateAfter + 3*turn
	return []waitChain{
		{"a silent worker", lost},
		{"a silent worker, then a start without an answer", lastStart + stopped},
		{"a silent worker, then delegated", lost + delegated},
		{"deferred, then room is made by preemption", maxDeferral + preemptionTimeout + turn},
		{"placed on a worker that falls silent before the start", turn + busyPollWait + call + turn},
		{"starts without an answer", turn + startTimeout + stopped},
		{"starts and stops without an answer",
			turn + secondStart + withDriftMargin(timing.Lease) + cottonlanding.Millis(readingTolerance) + stopped},
		{"starts that are late", turn + (maxLateStarts+1)*(orderRetryInterval+turn)},
		{"delegated, returned and delegated again", turn + 2*delegated + returnAfter + turn},
	}
}

// ownerChangeChains are the sequences with a silent worker whose owner is lost as well.
func ownerChangeChains(timing Timing, takeOver, call, turn cottonlanding.Millis) []waitChain {
	unbounded := timing.MaxLeasePastAnswer + timing.maxLeaseSpan()/driftDivisor + leaseMargin
	// The bound of the worker is written, and leases last longer only from the next heartbeat on.
	bounded := withDriftMargin(timing.Lease)
	// The last owner but one is lost just before it could write the bound.
	secondTakeOver := busyPollWait + call + boundDelay + turn + 2*takeOver + firstAnswerTimeout + turn
	return []waitChain{
		{"an owner lost before it has written the bound of a silent worker", max(unbounded, takeOver) + turn},
		{"two owners lost before they have written it", max(unbounded, secondTakeOver) + turn},
		{"an owner lost after it has written it", bounded + takeOver + turn},
	}
}
