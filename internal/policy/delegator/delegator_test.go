package delegator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/delegator"
)

// TestDelegatesByFreeCapacity guards against delegating all tasks of a lost rack to one cell, or some
// to a full one. A full cell delegates to cells with much room, with little and with none.
func TestDelegatesByFreeCapacity(t *testing.T) {
	const tasks = 400
	cells := []cottonlanding.CellView{{Cell: 1, Usable: true, Free: 0.6}, {Cell: 2, Usable: true, Free: 0.2}, {Cell: 3, Usable: true, Free: -0.1}}
	got := make(map[cottonlanding.CellNumber]int)
	for index := range tasks {
		task := cottonlanding.TaskRef{Workflow: "w", Index: index}
		to, found := delegator.ByRoom{}.Delegate(task, cells)
		require.True(t, found)
		again, _ := delegator.ByRoom{}.Delegate(task, cells)
		require.Equal(t, to, again, "decisions are reproducible")
		got[to]++
	}
	require.Zero(t, got[3])
	require.InDelta(t, 0.75, float64(got[1])/tasks, 0.1)
	_, found := delegator.ByRoom{}.Delegate(cottonlanding.TaskRef{Workflow: "w"}, cells[2:])
	require.False(t, found, "there is no room")
	_, found = delegator.Never{}.Delegate(cottonlanding.TaskRef{Workflow: "w"}, cells)
	require.False(t, found)
}
