package planner_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// TestTaskRowKeepsCrashEvidence guards against a change of owner that loses the losses counted against a task, or the
// evidence that may still refute them. Rows without the newer fields must be read as before.
func TestTaskRowKeepsCrashEvidence(t *testing.T) {
	life := cottonlanding.Life{Worker: "w1", Born: 1750000001000}
	for name, row := range map[string]planner.TaskRow{
		"nothing":             {},
		"placed":              {State: planner.TaskAssigned, Number: 3, Life: life},
		"outlived":            {State: planner.TaskAssigned, Number: 3, Life: life, Outlived: true},
		"outlived, suspected": {State: planner.TaskAssigned, Number: 3, Life: life, Losses: 2, Crashes: 1, Outlived: true},
		"charged":             {State: planner.TaskAssigned, Number: 3, Life: life, Losses: 2, Crashes: 1, Charged: true},
		"open life":           {Number: 3, Losses: 1, OpenLife: life},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := json.Marshal(row)
			require.NoError(t, err)
			var read planner.TaskRow
			require.NoError(t, json.Unmarshal(data, &read))
			require.Equal(t, row, read)
		})
	}
	var older planner.TaskRow
	require.NoError(t, json.Unmarshal([]byte(`["A",3,"w1",0,"",-2,1]`), &older))
	require.Equal(t, planner.TaskRow{State: planner.TaskAssigned, Number: 3, Life: cottonlanding.Life{Worker: "w1"}, Losses: 2, Crashes: 1, Charged: true}, older)
}
