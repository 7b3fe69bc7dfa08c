package planner_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// TestOverfullRowKeepsGangCheckpoint guards against a gang whose members start with different checkpoints. A state
// row that is too long drops its longest checkpoints; when the gang's was among them, the next owner repeated a
// member's start without the checkpoint that the running member had been started with.
func TestOverfullRowKeepsGangCheckpoint(t *testing.T) {
	const others = 70
	w := checkpointWorld(t)
	long := strings.Repeat("x", cottonlanding.MaxCheckpoint)
	row := `["",1,"",0,"` + long + `"]`
	after := checkpointingStep(others)
	after.After = []int{0}
	w.checkpoints.addListed(firstTask("slow"), cottonlanding.Checkpoint(long))
	w.checkpoints.lists[cottonlanding.RunKey{Task: firstTask("slow"), Number: 2}] = -1000 // none newer for 1000 polls
	w.loadRow("slow", `{"State":"Running","Begun":true,"Rounds":1,"Tasks":[`+row+`,["",1]`+strings.Repeat(","+row, others)+`]}`, checkpointingGang(2), after)
	for range 20 {
		w.turnWithoutStart(cottonlanding.TaskRef{Workflow: "slow", Index: 1})
	}
	require.Equal(t, 1, w.runner.Starts())
	w.touchAll()
	requireRetried(t, w, 2)
}

// TestGangRowWithStartCheckpointOnly guards against losing the checkpoint that a gang was started with when a row
// holds it without the newest one: loading the rows of the other members overwrote it.
func TestGangRowWithStartCheckpointOnly(t *testing.T) {
	w := checkpointWorld(t)
	w.checkpoints.addListed(firstTask("gang"), "one")
	w.loadRow("gang", `{"State":"Running","Begun":true,"Rounds":1,"Tasks":[["A",1,"w1",0,"",0,0,"one"],["A",1,"w2"]]}`, checkpointingGang(2))
	w.play(2 * cottonlanding.Second)
	require.EqualValues(t, "one", w.checkpoints.startedWith[cottonlanding.RunKey{Task: firstTask("gang"), Number: 1}])
	require.Empty(t, w.checkpoints.faults)
}

// TestInvalidStoredCheckpointIsDropped guards against starts with checkpoints that earlier versions stored and that
// are too long, or contain U+FFFD in place of what the worker wrote.
func TestInvalidStoredCheckpointIsDropped(t *testing.T) {
	for name, checkpoint := range map[string]string{
		"altered":  "a\ufffd",
		"too long": strings.Repeat("x", cottonlanding.MaxCheckpoint+1),
	} {
		t.Run(name, func(t *testing.T) {
			w := checkpointWorld(t)
			w.loadRow("w", `{"State":"Running","Begun":true,"Rounds":1,"Tasks":[["",1,"",0,"`+checkpoint+`"]]}`, checkpointingStep(1))
			w.play(2 * cottonlanding.Second)
			require.Equal(t, 1, w.runner.Starts())
			require.Empty(t, w.checkpoints.faults)
		})
	}
}
