package planner_test

import (
	"encoding/base64"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// maxTransactionBytes is the longest transaction that the table takes, with values in base64.
	maxTransactionBytes = 1_000_000
	// maxValueBytes is the longest value that the table takes.
	maxValueBytes = 65_536
	// entryOverheadBytes is an upper bound of what an entry takes besides its value.
	entryOverheadBytes = 300
)

// cellOf returns a cell that knows one queue and no workers.
func cellOf(queue cottonlanding.QueueName) *planner.Cell {
	cell := planner.New(planner.Setup{Partition: partition, Epoch: 1}, timing, selector.Default().Planner, discardLog())
	cell.SetQueues(cottonlanding.Queues{Version: 1, Queues: map[cottonlanding.QueueName]cottonlanding.Queue{queue: {Name: queue, Service: "S"}}})
	return cell
}

// commitWithinLimit commits the cell's next plan and checks that the table accepts each row.
func commitWithinLimit(t *testing.T, cell *planner.Cell, now cottonlanding.Millis) {
	plan := cell.Plan(now)
	if plan == nil {
		return
	}
	for _, write := range plan.Writes {
		require.LessOrEqual(t, len(write.Value), maxValueBytes, "the table refuses %s", write.Key)
	}
	cell.Committed(plan, 1)
}

// TestLargeRowsSpanTransactions guards against a plan that is longer than the table takes in one transaction, when
// many large workflows change at once, here by being cancelled. An owner whose commit is refused loses its cell,
// and the next owner has to write the same rows once the clients cancel again.
func TestLargeRowsSpanTransactions(t *testing.T) {
	const workflows, tasks = 40, 1000
	cell := planner.New(planner.Setup{Partition: partition, Epoch: 2}, timing, selector.Default().Planner, discardLog())
	var specs, states []cottonlanding.Row
	for at := range workflows {
		id := cottonlanding.WorkflowID(fmt.Sprintf("w%d", at))
		spec := fmt.Sprintf(`{"Workflow":{"ID":"%s","Queue":"Urgent","Steps":[{"Tasks":%d,"Resources":{"CPU":100},"Checkpoints":true}]},"Queue":{"Name":"Urgent"}}`, id, tasks)
		task := `["",3,"",0,"000003e8482de2d0"],`
		state := `{"State":"Running","Begun":true,"Rounds":1,"Tasks":[` + strings.TrimSuffix(strings.Repeat(task, tasks), ",") + `]}`
		specs = append(specs, cottonlanding.Row{Key: planner.SpecKey(partition, id), Version: 1, Value: []byte(spec)})
		states = append(states, cottonlanding.Row{Key: planner.StateKey(partition, id), Version: 1, Value: []byte(state)})
	}
	require.NoError(t, cell.Load(specs, states, 1000))
	cancelled := 0
	for at := range workflows {
		cell.Cancel(cottonlanding.WorkflowID(fmt.Sprintf("w%d", at)), 1000, func(err error) {
			require.NoError(t, err)
			cancelled++
		})
	}
	for plan := cell.Plan(1000); plan != nil; plan = cell.Plan(1000) {
		size := 0
		for _, write := range plan.Writes {
			size += base64.StdEncoding.EncodedLen(len(write.Value)) + entryOverheadBytes
		}
		require.LessOrEqual(t, size, maxTransactionBytes)
		cell.Committed(plan, 2)
	}
	require.Equal(t, workflows, cancelled)
}
