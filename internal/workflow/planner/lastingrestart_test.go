package planner_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/cottonlanding/cottonlanding"
)

var (
	seedCount    = flag.Int("again.seeds", 8, "number of random histories for each test of lasting tasks that run again")
	logHistories = flag.Bool("again.logs", false, "write the owners' logs to standard error, with the times of the history")
	firstSeed    = flag.Int64("again.first", 1, "seed of the first history")
)

// TestLastingTasksRunAgainInTime plays random histories of one cell with lasting and other tasks, while workers leave,
// crash, fall silent and refuse orders and owners change. It guards against a lasting task that stays down for longer
// than the limit, tied to a worker that won't run it or to the bound of a lease.
//
//	go test ./internal/workflow/planner -run TestLastingTasksRunAgainInTime -args -again.seeds 1000
func TestLastingTasksRunAgainInTime(t *testing.T) {
	t.Parallel()
	playHistories(t, func(t *testing.T, seed int64) *rerunHistory { return newRerunHistory(t, seed, 1) })
}

// playHistories plays one history for each seed.
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
	t.Logf("longest time from the end of a run to the next: %d; faulty tasks that were started too often: %d", longest, crashViolations)
}
