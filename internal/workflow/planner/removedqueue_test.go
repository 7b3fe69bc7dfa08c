package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// TestWorkflowOfRemovedQueueStays guards against handing over a workflow whose queue the operators have removed. This
// cell keeps the workflow with its last known queue. Another cell refuses a workflow of an unknown queue, so that it
// would be offered again and again and never run.
func TestWorkflowOfRemovedQueueStays(t *testing.T) {
	owner := func() *planner.Cell {
		return planner.New(planner.Setup{Partition: partition, Epoch: 1}, timing, selector.Default().Planner, discardLog())
	}
	home, other := owner(), owner()
	home.SetQueues(cottonlanding.Queues{Version: 1, Queues: map[cottonlanding.QueueName]cottonlanding.Queue{"Q": {Name: "Q", Service: "S"}}})
	step := cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 1}}
	home.Submit(cottonlanding.Workflow{ID: "waits", Queue: "Q", Steps: []cottonlanding.Step{step}}, 1000, func(err error) { require.NoError(t, err) })
	home.Committed(home.Plan(1000), 1)
	require.Len(t, home.HandOverCandidates(1, 3000), 1, "it may leave while the queue is known")
	for _, cell := range []*planner.Cell{home, other} {
		cell.SetQueues(cottonlanding.Queues{Version: 2})
	}
	for _, workflow := range home.HandOverCandidates(1, 3000) {
		other.Submit(workflow, 3000, func(err error) { require.NoError(t, err, "the other cell accepts the workflow") })
	}
}
