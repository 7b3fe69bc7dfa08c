package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// Operators remove a queue of which a workflow waits. It is kept with the queue as that was, and
// done. Another cell, which has to be told of it as of a new one, refuses a workflow of a queue that
// it doesn't know: handed over, it was told again and again, and waited for good.
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
		other.Submit(workflow, 3000, func(err error) { require.NoError(t, err, "the other cell takes what is handed over") })
	}
}
