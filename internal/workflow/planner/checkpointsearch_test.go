package planner_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// The search of texts plays the steps of the search of lives, and some more, with workers that
// list texts for all runs, a task and a gang that checkpoint, and a task that doesn't.
//
//	go test ./internal/workflow/planner -run TestSearchOfTexts -texts.depth 6 -search.within 10m

var checkpointsDepth = flag.Int("texts.depth", 3, "how many steps TestSearchOfTexts plays at most")

// checkpointSearchSteps are searchSteps and those that tell the members of a gang apart.
var checkpointSearchSteps = append([]searchStep{
	{name: "orders to w1 lost", do: func(s *searchWorld) {
		s.ordersExcept(func(order planner.Order) bool { return order.Worker.Life.Worker == "w1" })
	}},
	{name: "row written", do: func(s *searchWorld) { s.touchAll() }},
}, searchSteps...)

// newFirstRunWorld is newSearchWorld with texts, and with tasks of which each fails once.
func newFirstRunWorld(t require.TestingT) *searchWorld {
	s := newSearchWorld(t)
	s.checkpoints = newCheckpointRecorder()
	s.submitCheckpointing("again", checkpointingStep(1), checkpointingGang(2), quick(1))
	return s
}

// newSecondRunWorld is newFirstRuns once all tasks have failed and wait, with their texts known.
func newSecondRunWorld(t require.TestingT) *searchWorld {
	s := newFirstRunWorld(t)
	s.turn(turnSpan)
	s.turn(turnSpan)
	s.now += 2 * failOnceDuration
	s.pollAll()
	return s
}

// TestSearchCheckpoints: in all interleavings a start brings no text or one that a run of its own
// task has listed, or of its gang; none if its step doesn't checkpoint; and the same as all
// starts of its run, and of the other members of its gang.
func TestSearchCheckpoints(t *testing.T) {
	for name, world := range map[string]func(require.TestingT) *searchWorld{"first": newFirstRunWorld, "second": newSecondRunWorld} {
		t.Run(name, func(t *testing.T) {
			s := &search{t: t, world: world, steps: checkpointSearchSteps}
			s.run(*checkpointsDepth)
		})
	}
}
