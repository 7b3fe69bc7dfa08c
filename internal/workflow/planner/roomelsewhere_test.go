package planner_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// TestInterruptedTaskFindsRoomThatShortOnesTakeElsewhere guards against a lasting task of a full cell that lost a
// worker and waits although another cell has room: short tasks keep taking that room, since cells report what is
// free at an instant and hold no workers for tasks of other cells.
func TestInterruptedTaskFindsRoomThatShortOnesTakeElsewhere(t *testing.T) {
	n := newMultiCell(t, 2, 2)
	n.turn(100)
	n.cells[0].submit("l", "Urgent", lasting(2, 1, 7000))
	for range 5 {
		n.turn(100)
	}
	require.Equal(t, 2, n.cells[0].runner.Lasting())
	number := 0
	play := func() {
		number++
		step := short(950)
		step.Tasks = 6
		n.cells[1].submit(cottonlanding.WorkflowID(fmt.Sprintf("b%d", number)), "Urgent", step)
		n.turn(100)
	}
	for range 30 {
		play()
	}
	n.cells[0].runner.Crash(n.cells[0].workers[0].ID)
	crashed := n.cells[0].now
	for n.cells[0].runner.Lasting() < 2 || n.cells[0].now-crashed < cottonlanding.Second {
		require.LessOrEqual(t, n.cells[0].now-crashed, otherCellRestartTimeout, "the other cell has twice the room beside its short tasks")
		play()
	}
}
