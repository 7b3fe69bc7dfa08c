package planner_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// TestOversizedWorkflowIsRefused guards against a workflow whose immutable row outgrows the table's limit, for instance
// by a long label. The table refuses such a row, and the owner loses the cell; so does each next owner when the client
// submits the workflow again. Submit must refuse it with ErrCannotRun instead.
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
