package planner_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// TestDownTasksLogTheirOwnRejections guards against logging only the first task of a step, which may wait for
// another reason, or for less time, than a task that is down.
func TestDownTasksLogTheirOwnRejections(t *testing.T) {
	w := newSpreadWorld(t)
	log := w.captureLog()
	w.play(cottonlanding.Second)
	w.submit("lasting", "Urgent", lasting(5, 1, 6000)) // the fifth never runs
	w.play(cottonlanding.Second)
	w.leave(0)
	one := w.firstIdle("lasting")
	w.leave(1)
	two := w.firstIdle("lasting", one)
	w.play(9 * cottonlanding.Second)
	for _, index := range []int{one, two} {
		lines := waitLines(t, log, cottonlanding.TaskRef{Workflow: "lasting", Index: index}.String())
		require.Len(t, lines, 3, "logged after 1, 5 and 9 s")
		require.Equal(t, map[string]int{"Unusable": 2, "Full": 2}, rejectionsIn(lines[0]))
		require.EqualValues(t, 1, lines[0]["Run"])
	}
}

// TestIsolatedTaskLogsIsolation guards against a lasting task that waits long without a log line because isolation
// rejects all workers.
func TestIsolatedTaskLogsIsolation(t *testing.T) {
	w := newSpreadWorld(t)
	w.play(cottonlanding.Second)
	w.submit("lasting", "Urgent", lasting(1, 0, 1000))
	w.play(cottonlanding.Second)
	w.join()
	w.runner.Dark(w.workers[4].ID, true)
	w.storeSuspect("lasting", w.workers[4].ID)
	log := w.captureLog()
	w.play(6 * cottonlanding.Second) // the isolation lasts for seven seconds
	require.False(t, w.runs("lasting", 0))
	lines := waitLines(t, log, firstTask("lasting").String())
	require.Len(t, lines, 2, "logged after 1 and 5 s")
	require.Equal(t, map[string]int{"KeptApart": 4, "Unusable": 1}, rejectionsIn(lines[1]))
}

// storeSuspect changes the row of a workflow with one task: the task is given up with its next loss, and the fate
// of its last worker is not known yet.
func (w *world) storeSuspect(id cottonlanding.WorkflowID, last cottonlanding.WorkerID) {
	key := planner.StateKey(partition, id)
	row := w.rows[key]
	var state map[string]any
	require.NoError(w.t, json.Unmarshal(row.Value, &state))
	state["Tasks"] = []planner.TaskRow{{Number: 4, Losses: 4, OpenLife: cottonlanding.Life{Worker: last}}}
	value, err := json.Marshal(state)
	require.NoError(w.t, err)
	row.Value = value
	w.rows[key] = row
}

// TestStalledStartIsLogged guards against a lasting task that has a worker but doesn't run there, without a log
// line.
func TestStalledStartIsLogged(t *testing.T) {
	w := newSpreadWorld(t)
	log := w.captureLog()
	w.play(cottonlanding.Second)
	w.submit("lasting", "Urgent", lasting(4, 1, 3000))
	w.play(cottonlanding.Second)
	w.join()
	w.cell.HoldStarts(true)
	w.leave(0)
	ref := cottonlanding.TaskRef{Workflow: "lasting", Index: w.firstIdle("lasting")}
	w.play(6 * cottonlanding.Second)
	lines := logLines(t, log, "placed task doesn't run")
	require.Len(t, lines, 2, "logged after 1 and 5 s")
	require.Equal(t, ref.String(), lines[0]["Task"])
	require.EqualValues(t, 2, lines[0]["Run"])
	require.Equal(t, w.workers[4].ID, cottonlanding.WorkerID(lines[0]["Worker"].(string)))
	require.Equal(t, "Cleared", lines[0]["Phase"])
	require.Equal(t, true, lines[0]["StartsHeld"])
	require.Empty(t, waitLines(t, log, ref.String()), "the task has a worker")
}

// TestStalledStartIsLoggedAfterWait guards against a stalled start that isn't logged for seconds because the
// preceding wait for a worker was logged just before.
func TestStalledStartIsLoggedAfterWait(t *testing.T) {
	w := newSpreadWorld(t)
	log := w.captureLog()
	w.play(cottonlanding.Second)
	w.submit("lasting", "Urgent", lasting(4, 1, 6000))
	w.play(cottonlanding.Second)
	w.leave(0)
	ref := cottonlanding.TaskRef{Workflow: "lasting", Index: w.firstIdle("lasting")}
	w.play(cottonlanding.Second)
	require.Len(t, waitLines(t, log, ref.String()), 1)
	w.cell.HoldStarts(true)
	w.join()
	w.play(500)
	lines := logLines(t, log, "placed task doesn't run")
	require.Len(t, lines, 1)
	require.InDelta(t, float64(cottonlanding.Second), lines[0]["PlacedBefore"], float64(turnSpan))
}

// TestBlockedTaskLogIsRateLimited guards against a log that grows with the number of waiting tasks, or that repeats
// the same ones.
func TestBlockedTaskLogIsRateLimited(t *testing.T) {
	const lines, tasks, span = 25, 180, 10 * cottonlanding.Second
	w := newSpreadWorld(t)
	w.play(cottonlanding.Second)
	w.submit("lasting", "Urgent", lasting(4*tasks/3, 0, 100))
	w.play(cottonlanding.Second)
	require.Equal(t, 4*tasks/3, w.runner.Lasting())
	w.submit("full", "Urgent", lasting(4, 1, 8000))
	for number := range 3 {
		w.leave(number)
	}
	log := w.captureLog()
	w.play(span)
	all := logLines(t, log, "step waits")
	require.LessOrEqual(t, len(all), lines*int(span/cottonlanding.Second)+5, "a few more lines are of steps")
	waiting := make(map[any]bool)
	for _, line := range all {
		waiting[line["Task"]] = true
	}
	for index := range 4 * tasks / 3 {
		if !w.runs("lasting", index) {
			ref := cottonlanding.TaskRef{Workflow: "lasting", Index: index}
			require.True(t, waiting[ref.String()], "%s waits without a log line", ref)
		}
	}
	require.Less(t, w.runner.Lasting(), 4*tasks/3-100, "too few tasks wait to reach the limit")
}
