package planner_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// TestRowsWithStartCheckpointsFit guards against a row that is too long because it also holds the checkpoints that
// current runs were started with, once newer ones are listed. These were never dropped, so that the table refused
// the row and each owner in turn lost the cell.
func TestRowsWithStartCheckpointsFit(t *testing.T) {
	long := strings.Repeat("\x01", cottonlanding.MaxCheckpoint) // each byte takes six in the row
	escaped := strings.Repeat(`\u0001`, cottonlanding.MaxCheckpoint)
	for name, step := range map[string]cottonlanding.Step{"tasks": checkpointingStep(1), "gangs": checkpointingGang(2)} {
		t.Run(name, func(t *testing.T) {
			const count = 12
			w := checkpointWorld(t)
			w.timing.MaxLease = w.timing.Lease + 4*cottonlanding.Second
			var steps []cottonlanding.Step
			var rows []string
			for at := range count {
				steps = append(steps, step)
				for index := range step.Tasks {
					w.checkpoints.addListed(cottonlanding.TaskRef{Workflow: "slow", Step: at, Index: index}, cottonlanding.Checkpoint(long))
					rows = append(rows, `["",1,"",0,"`+escaped+`"]`)
				}
			}
			w.loadRow("slow", `{"State":"Running","Begun":true,"Rounds":1,"Tasks":[`+strings.Join(rows, ",")+`]}`, steps...)
			for range 20 {
				w.turn(turnSpan)
				w.touchAll()
				require.LessOrEqual(t, len(w.rows[planner.StateKey(partition, "slow")].Value), maxValueBytes)
			}
			require.NotZero(t, w.runner.Starts())
			require.Empty(t, w.checkpoints.faults)
		})
	}
}
