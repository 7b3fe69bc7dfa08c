package planner_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// TestOversizedWorkflowIsRefused: a client may put any text into a label, and all of a
// workflow but its state stands in one row. A row that the table refuses takes the cell from its
// owner, and the next one gets the same workflow as soon as its client asks again: one client
// would stop a cell. So it is told at once that such a workflow can't run.
func TestOversizedWorkflowIsRefused(t *testing.T) {
	cell := cellOf("Urgent")
	submit := func(id cottonlanding.WorkflowID, label string) error {
		step := cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 100}, Requires: cottonlanding.Label(label)}
		outcome := cottonlanding.ErrAmbiguous
		cell.Submit(cottonlanding.Workflow{ID: id, Queue: "Urgent", Steps: []cottonlanding.Step{step}}, 1000, func(err error) { outcome = err })
		commitWithinLimit(t, cell, 1000)
		return outcome
	}
	require.ErrorIs(t, submit("long", strings.Repeat("x", maxValueBytes)), cottonlanding.ErrCannotRun)
	require.ErrorIs(t, submit("escaped", strings.Repeat("<", maxValueBytes/5)), cottonlanding.ErrCannotRun)
	require.NoError(t, submit("usual", "r1-3"))
	require.False(t, cell.Knows("long"))
}
