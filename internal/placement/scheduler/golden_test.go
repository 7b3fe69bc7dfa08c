package scheduler_test

import (
	"testing"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/golden/comparer"
	"github.com/cottonlanding/cottonlanding/internal/placement/scheduler"
)

// TestGoldenRows guards against jobs and tasks that an owner of another version doesn't find, or reads as something else.
func TestGoldenRows(t *testing.T) {
	comparer.JSON(t, scheduler.EncodeRow, map[string]any{"Job": cottonlanding.Job{}, "Task": cottonlanding.Task{}})
	comparer.RequireList(t, "Keys", scheduler.JobKey("j"), scheduler.JobListPrefix("a/1"), scheduler.TaskPrefix("a/1"),
		scheduler.JobTaskPrefix("a/1", "j"), scheduler.TaskKey("a/1", cottonlanding.TaskID{Job: "j", Index: 3}))
	comparer.RequireList(t, "Verbs", scheduler.VerbAcknowledge, scheduler.VerbStop, scheduler.VerbCheckpoint, scheduler.VerbStart)
}
