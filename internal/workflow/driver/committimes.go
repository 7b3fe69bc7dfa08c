package driver

import (
	"slices"
	"sync"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// recentCommits is how many commits a forecast is made from, and maxCommitAge how long ago they ended at most. An
	// owner that refuses everything may commit nothing, and must not rely on old durations.
	recentCommits = 3
	maxCommitAge  = 2 * cottonlanding.Second
)

// commitTimes holds the durations of recent commits, from which it forecasts when the next ones end.
type commitTimes struct {
	mu sync.Mutex
	// recent holds the last commits, the latest one last.
	recent []commitTime
	// inFlightSince is when the commit in flight began; zero while there is none.
	inFlightSince cottonlanding.Millis
	// deciding is the duration of the last decision, which precedes each commit.
	deciding cottonlanding.Millis
}

type commitTime struct {
	took, endedAt cottonlanding.Millis
}

func (c *commitTimes) recordDecided(took cottonlanding.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deciding = took
}

func (c *commitTimes) recordBegan(now cottonlanding.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlightSince = now
}

func (c *commitTimes) recordEnded(now cottonlanding.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent = append(c.recent, commitTime{took: now - c.inFlightSince, endedAt: now})
	c.recent = slices.Delete(c.recent, 0, max(0, len(c.recent)-recentCommits))
	c.inFlightSince = 0
}

// forecast returns how long the commit in flight still takes, and how long each further decision with its commit takes.
// It assumes that all commits take as long as the longest recent one, and returns false unless that was slow.
func (c *commitTimes) forecast(now cottonlanding.Millis) (inFlight, each cottonlanding.Millis, slow bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := cottonlanding.Millis(0)
	for _, commit := range c.recent {
		if now-commit.endedAt <= maxCommitAge {
			longest = max(longest, commit.took)
		}
	}
	if c.inFlightSince > 0 {
		longest = max(longest, now-c.inFlightSince)
		inFlight = longest - (now - c.inFlightSince)
	}
	return inFlight, longest + c.deciding, longest >= slowCommitThreshold
}
