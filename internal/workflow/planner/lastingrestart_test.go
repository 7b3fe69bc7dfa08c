package planner_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/cottonlanding/cottonlanding"
)

var (
	seedCount    = flag.Int("again.seeds", 8, "how many random histories each test of lasting tasks that run again plays")
	logHistories = flag.Bool("again.logs", false, "whether the owners' logs are written to standard error, with the instants of the history")
	firstSeed    = flag.Int64("again.first", 1, "the seed of the first")
)

// TestLastingTasksRunAgainInTime plays lasting tasks beside others in little room, or much, of one cell, while workers
// leave, crash, fall silent and refuse orders and owners follow each other. A task that waits, tied to a worker that
// won't run it or to the bound of a lease, longer than the users' rule allows, was the incident.
//
//	go test ./internal/workflow/planner -run TestLastingTasksRunAgainInTime -args -again.seeds 1000
func TestLastingTasksRunAgainInTime(t *testing.T) {
	t.Parallel()
	playHistories(t, func(t *testing.T, seed int64) *rerunHistory { return newRerunHistory(t, seed, 1) })
}

// playHistories plays histories, one for each seed.
func playHistories(t *testing.T, newHistory func(*testing.T, int64) *rerunHistory) {
	longest, crashViolations := cottonlanding.Millis(0), 0
	for at := range *seedCount {
		seed := *firstSeed + int64(at)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			h := newHistory(t, seed)
			h.run()
			longest, crashViolations = max(longest, h.rule.longest), crashViolations+len(h.crashViolations)
			for _, fault := range h.faults {
				t.Error(fault)
			}
		})
	}
	t.Logf("the longest time from the end of a run to the next was %d; %d culprits were started too often", longest, crashViolations)
}
