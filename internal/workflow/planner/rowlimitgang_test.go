package planner_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// A state row that is too long for the table leaves out the longest texts. Where that of a gang
// was among them, the next owner repeated the start of a member without the text that the
// member which had begun was started with, while all must bring the same.
func TestOverfullRowKeepsGangCheckpoint(t *testing.T) {
	const others = 70
	w := checkpointWorld(t)
	long := strings.Repeat("x", cottonlanding.MaxCheckpoint)
	row := `["",1,"",0,"` + long + `"]`
	after := checkpointingStep(others)
	after.After = []int{0}
	w.checkpoints.addListed(firstTask("slow"), cottonlanding.Checkpoint(long))
	w.checkpoints.lists[cottonlanding.RunKey{Task: firstTask("slow"), Number: 2}] = -1000 // it has no newer text for so many lists
	w.loadRow("slow", `{"State":"Running","Begun":true,"Rounds":1,"Tasks":[`+row+`,["",1]`+strings.Repeat(","+row, others)+`]}`, checkpointingGang(2), after)
	for range 20 {
		w.turnWithoutStart(cottonlanding.TaskRef{Workflow: "slow", Index: 1})
	}
	require.Equal(t, 1, w.runner.Starts())
	w.touchAll()
	requireRetried(t, w, 2)
}

// The same where only the newest text was left out, and the row still tells with which one the
// run was started: the rows of the other members wiped that out when they were read.
func TestGangRowWithStartCheckpointOnly(t *testing.T) {
	w := checkpointWorld(t)
	w.checkpoints.addListed(firstTask("gang"), "one")
	w.loadRow("gang", `{"State":"Running","Begun":true,"Rounds":1,"Tasks":[["A",1,"w1",0,"",0,0,"one"],["A",1,"w2"]]}`, checkpointingGang(2))
	w.play(2 * cottonlanding.Second)
	require.EqualValues(t, "one", w.checkpoints.startedWith[cottonlanding.RunKey{Task: firstTask("gang"), Number: 1}])
	require.Empty(t, w.checkpoints.faults)
}

// Owners of older code have kept texts that are too long, or in which U+FFFD stands for what the
// worker wrote. The next owner brought them, as any text of a row.
func TestInvalidStoredCheckpointIsDropped(t *testing.T) {
	for name, text := range map[string]string{
		"altered":  "a\ufffd",
		"too long": strings.Repeat("x", cottonlanding.MaxCheckpoint+1),
	} {
		t.Run(name, func(t *testing.T) {
			w := checkpointWorld(t)
			w.loadRow("w", `{"State":"Running","Begun":true,"Rounds":1,"Tasks":[["",1,"",0,"`+text+`"]]}`, checkpointingStep(1))
			w.play(2 * cottonlanding.Second)
			require.Equal(t, 1, w.runner.Starts())
			require.Empty(t, w.checkpoints.faults)
		})
	}
}
