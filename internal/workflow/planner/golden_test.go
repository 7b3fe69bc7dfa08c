package planner_test

import (
	"testing"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/golden/comparer"
	"github.com/cottonlanding/cottonlanding/internal/workflow/estimator"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// TestGoldenRows guards against a row that the next owner, or one of another version, reads as something else.
func TestGoldenRows(t *testing.T) {
	comparer.JSON(t, planner.EncodeRow, map[string]any{
		"SpecRow":     planner.SpecRow{},
		"StateRow":    planner.StateRow{},
		"TaskRow":     planner.TaskRow{},
		"RoundCount":  planner.RoundCount{},
		"BoundsRow":   planner.BoundsRow{},
		"LearntRow":   planner.LearntRow{},
		"ReferralRow": planner.ReferralRow{},
		"RunTimesRow": estimator.Row{},
	})
}

// TestGoldenMessages guards against a message between cells that a process of another version reads as something else.
func TestGoldenMessages(t *testing.T) {
	comparer.JSON(t, planner.EncodeRow, map[string]any{
		"DelegationQuestion": planner.DelegationRequest{},
		"DelegationAnswer":   planner.DelegationResponse{},
		"DelegatedWorkflow":  planner.DelegatedWorkflow{},
		"DelegatedTask":      planner.DelegatedTask{},
		"GuestReport":        planner.DelegatedWorkflowReport{},
		"Report":             planner.Report{},
	})
}

// TestGoldenNames guards against rows that aren't found any more, and against values that nobody else knows.
func TestGoldenNames(t *testing.T) {
	guestSpec, guestState := planner.DelegatedRowKeys("P", "w")
	for name, lines := range map[string][]any{
		"Keys": {planner.SpecKey("P", "w"), planner.StateKey("P", "w"), planner.ReferralKey("P", "w"), planner.DelegatedRowsKey("P"),
			guestSpec, guestState, planner.LearntKey("P"), planner.RunTimesKey("P"), planner.LeaseBoundsKey("P")},
		"TaskStates": planner.TaskStates(cottonlanding.CellNumber(7)),
		"Verbs":      {planner.VerbStart, planner.VerbStop, planner.VerbPace},
	} {
		t.Run(name, func(t *testing.T) { comparer.RequireList(t, name, lines...) })
	}
}
