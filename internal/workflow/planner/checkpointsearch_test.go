package planner_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// The search of checkpoints takes the steps of TestSearchLives, and some more, with workers that list checkpoints
// for all runs, a task and a gang with checkpoints, and a task without.
//
//	go test ./internal/workflow/planner -run TestSearchCheckpoints -texts.depth 6 -search.within 10m

var checkpointsDepth = flag.Int("texts.depth", 3, "how many steps TestSearchCheckpoints takes at most")

// checkpointSearchSteps are searchSteps and those that tell the members of a gang apart.
var checkpointSearchSteps = append([]searchStep{
	{name: "orders to w1 lost", do: func(s *searchWorld) {
		s.ordersExcept(func(order planner.Order) bool { return order.Worker.Life.Worker == "w1" })
	}},
	{name: "row written", do: func(s *searchWorld) { s.touchAll() }},
}, searchSteps...)

// newFirstRunWorld is newSearchWorld with checkpoints, and with tasks of which each fails once.
func newFirstRunWorld(t require.TestingT) *searchWorld {
	s := newSearchWorld(t)
	s.checkpoints = newCheckpointRecorder()
	s.submitCheckpointing("again", checkpointingStep(1), checkpointingGang(2), quick(1))
	return s
}

// newSecondRunWorld is newFirstRunWorld once all tasks have failed and wait, with their checkpoints known.
func newSecondRunWorld(t require.TestingT) *searchWorld {
	s := newFirstRunWorld(t)
	s.turn(turnSpan)
	s.turn(turnSpan)
	s.now += 2 * failOnceDuration
	s.pollAll()
	return s
}

// TestSearchCheckpoints guards against starts with wrong checkpoints in all interleavings of the steps: a start
// passes no checkpoint or one that a run of its own task or gang has listed; none if its step has no checkpoints;
// and the same as all starts of its run and of the other members of its gang.
func TestSearchCheckpoints(t *testing.T) {
	for name, world := range map[string]func(require.TestingT) *searchWorld{"first": newFirstRunWorld, "second": newSecondRunWorld} {
		t.Run(name, func(t *testing.T) {
			s := &search{t: t, world: world, steps: checkpointSearchSteps}
			s.run(*checkpointsDepth)
		})
	}
}
