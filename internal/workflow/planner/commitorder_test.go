package planner_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// newWaitingWorld returns a world without workers whose owners commit callers' rows first.
func newWaitingWorld(t *testing.T) *world {
	set, err := selector.New(selector.Names{"CommitOrder": "waiting", "ShortPlacement": "spread"})
	require.NoError(t, err)
	w := newWorldOf(t, set.Planner)
	w.workers = nil
	w.takeOver()
	return w
}

// submitMany submits workflows of one task and returns their ids.
func (w *world) submitMany(prefix string, queue cottonlanding.QueueName, count int) []cottonlanding.WorkflowID {
	var ids []cottonlanding.WorkflowID
	for number := range count {
		id := cottonlanding.WorkflowID(fmt.Sprintf("%s%03d", prefix, number))
		w.submit(id, queue, cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 1000}})
		ids = append(ids, id)
	}
	return ids
}

// commitAll commits until all submissions are accepted.
func (w *world) commitAll() {
	for range 20 {
		w.decide(100)
	}
}

// plannedStates returns the workflows whose state rows the next plan writes, in their order, and commits it.
func (w *world) plannedStates() []cottonlanding.WorkflowID {
	w.now += 100
	w.makePlan()
	var ids []cottonlanding.WorkflowID
	for _, write := range w.plan.Writes {
		if id, found := strings.CutPrefix(string(write.Key), string(planner.StateKey(partition, ""))); found {
			ids = append(ids, cottonlanding.WorkflowID(id))
		}
	}
	w.commit()
	return ids
}

func count(ids []cottonlanding.WorkflowID, prefix string) int {
	return len(slices.DeleteFunc(slices.Clone(ids), func(id cottonlanding.WorkflowID) bool { return !strings.HasPrefix(string(id), prefix) }))
}

// startWorkers adds workers with room for every task.
func (w *world) startWorkers() {
	for range 60 {
		w.addWorker()
	}
	w.cell.SetWorkers(slices.Clone(w.workers), w.now)
	w.pollAll()
}

// TestCommitOrder guards against rows that only acknowledge ends and are committed before those for which a caller or a
// start waits.
func TestCommitOrder(t *testing.T) {
	w := newWaitingWorld(t)
	w.submitMany("waits", "Urgent", 1)
	w.submitMany("bulkwaits", "Bulk", 1)
	w.commitAll()
	w.submitMany("idle", "Urgent", 1)
	w.commitAll()
	w.startWorkers()
	w.cell.Cancel("idle000", w.now, func(error) {})
	w.cell.MarkDirty("waits000")
	w.submitMany("caller", "Bulk", 2)
	got := w.plannedStates()
	require.Equal(t, []cottonlanding.WorkflowID{"idle000", "caller000", "caller001", "waits000", "bulkwaits000"}, got,
		"callers in the order of their calls, then starts by priority")

	w.cell.MarkDirty("waits000")
	w.cell.Cancel("bulkwaits000", w.now, func(error) {})
	require.Equal(t, []cottonlanding.WorkflowID{"bulkwaits000", "waits000"}, w.plannedStates())
}

// TestCallersLeaveRoom guards against submissions that take all rows of each plan, so that running workflows get no
// further.
func TestCallersLeaveRoom(t *testing.T) {
	w := newWaitingWorld(t)
	running := w.submitMany("running", "Urgent", 80)
	w.commitAll()
	for _, id := range running {
		w.cell.MarkDirty(id)
	}
	w.startWorkers()
	w.submitMany("caller", "Urgent", 100)
	require.Equal(t, 200, w.cell.CallerWrites())
	for plan := range 2 {
		got := w.plannedStates()
		require.Equal(t, 30, count(got, "caller"), "plan %d", plan)
		require.GreaterOrEqual(t, count(got, "running"), 29, "plan %d", plan)
	}
	require.Equal(t, 80, w.cell.CallerWrites())
	require.Greater(t, count(w.plannedStates(), "caller"), 30, "callers take the rows that nothing else needs")
}

// TestOverdueRowsLeaveRoom guards against plans without any start of priority 0: rows that became dirty together are
// overdue together.
func TestOverdueRowsLeaveRoom(t *testing.T) {
	w := newWaitingWorld(t)
	urgent := w.submitMany("urgent", "Urgent", 30)
	bulk := w.submitMany("bulk", "Bulk", 400)
	w.commitAll()
	for _, id := range bulk {
		w.cell.MarkDirty(id)
	}
	for plan := range 5 {
		w.submitMany(fmt.Sprintf("caller%d", plan), "Urgent", 30)
		require.Equal(t, 29, count(w.plannedStates(), "bulk"), "plan %d", plan) // a plan is full if it has no room for two rows
	}
	w.startWorkers()
	for _, id := range urgent {
		w.cell.MarkDirty(id)
	}
	w.submitMany("caller5", "Urgent", 30)
	got := w.plannedStates()
	require.Equal(t, 15, count(got, "bulk"), "half of the rows that the callers leave are for overdue ones")
	require.Equal(t, 14, count(got, "urgent"))
}
