package cottonlanding_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/golden/comparer"
)

// TestGoldenTypes guards against types in rows, bodies and messages that a client, or a process of
// another version, reads differently.
func TestGoldenTypes(t *testing.T) {
	encode := func(value any) []byte {
		data, err := json.Marshal(value)
		require.NoError(t, err)
		return data
	}
	comparer.JSON(t, encode, map[string]any{
		"Check":        cottonlanding.Check{},
		"Checkpoint":   cottonlanding.Checkpoint(""),
		"Command":      cottonlanding.Command{},
		"CrashRecord":  cottonlanding.CrashRecord{},
		"ExecutorInfo": cottonlanding.ExecutorInfo{},
		"Fence":        cottonlanding.Fence{},
		"Hosts":        cottonlanding.Hosts{},
		"Inventory":    cottonlanding.Inventory{},
		"Job":          cottonlanding.Job{},
		"JobSpec":      cottonlanding.JobSpec{},
		"JobStatus":    cottonlanding.JobStatus{},
		"Life":         cottonlanding.Life{},
		"Queue":        cottonlanding.Queue{},
		"Receipt":      cottonlanding.Receipt{},
		"Resources":    cottonlanding.Resources{},
		"Row":          cottonlanding.Row{},
		"RunKey":       cottonlanding.RunKey{},
		"Schedule":     cottonlanding.Schedule{},
		"Start":        cottonlanding.Start{},
		"Step":         cottonlanding.Step{},
		"Task":         cottonlanding.Task{},
		"TaskID":       cottonlanding.TaskID{},
		"TaskRef":      cottonlanding.TaskRef{},
		"TaskRun":      cottonlanding.TaskRun{},
		"Transaction":  cottonlanding.Transaction{},
		"WorkerInfo":   cottonlanding.WorkerInfo{},
		"Workflow":     cottonlanding.Workflow{},
		"Write":        cottonlanding.Write{},
	})
}

// TestGoldenNames guards against changes to values, texts and row names that other processes know.
func TestGoldenNames(t *testing.T) {
	life, ref := cottonlanding.Life{Worker: "w", Born: 1_700_000_000_000}, cottonlanding.TaskRef{Workflow: "w", Round: 1, Step: 2, Index: 3}
	parsed, err := cottonlanding.ParseTaskRef("w.1.2.3")
	require.NoError(t, err)
	for name, lines := range map[string][]any{
		"EndKinds": {cottonlanding.EndDone, cottonlanding.EndFailed, cottonlanding.EndStopped, cottonlanding.EndLapsed,
			cottonlanding.EndBroken, cottonlanding.EndAlone},
		"RunStates": {cottonlanding.Running, cottonlanding.Finished, cottonlanding.Failed, cottonlanding.Saved},
		"TaskStates": {cottonlanding.TaskQueued, cottonlanding.TaskAssigned, cottonlanding.TaskDone, cottonlanding.TaskFailed,
			cottonlanding.TaskCancelled},
		"WorkflowStates": {cottonlanding.WorkflowPending, cottonlanding.WorkflowRunning, cottonlanding.WorkflowSucceeded,
			cottonlanding.WorkflowFailed, cottonlanding.WorkflowCancelled},
		"JobStates":  {cottonlanding.JobAccepted, cottonlanding.JobDone, cottonlanding.JobFailed, cottonlanding.JobCancelled},
		"JobKinds":   {cottonlanding.Batch, cottonlanding.Watch},
		"HostStates": {cottonlanding.Live, cottonlanding.Leaving},
		"Outcomes":   {cottonlanding.Ran, cottonlanding.NotRun, cottonlanding.Unknown},
		"Findings":   {cottonlanding.NoProof, cottonlanding.PossibleCrash, cottonlanding.LikelyCrash},
		"Keys": {cottonlanding.Partition("P").Key("n"), cottonlanding.WatchedPrefix, life, cottonlanding.Life{Worker: "w"}, ref, parsed,
			cottonlanding.TaskID{Job: "j", Index: 3}, cottonlanding.CellNumber(7)},
		"Units": {cottonlanding.Millis(1500), 2 * cottonlanding.Gigabyte, 3 * cottonlanding.Megabyte, cottonlanding.Bytes(4000), cottonlanding.Bytes(5)},
		"Errors": {cottonlanding.ErrBadName, cottonlanding.ErrConflict, cottonlanding.ErrUnavailable, cottonlanding.ErrAmbiguous,
			cottonlanding.ErrNotFound, cottonlanding.ErrStaleEpoch, cottonlanding.ErrRefused, cottonlanding.ErrCannotRun,
			cottonlanding.ErrBusy, cottonlanding.ErrLate, cottonlanding.ErrOtherLife, cottonlanding.ErrNotOwner, cottonlanding.ErrHistoryGone},
	} {
		t.Run(name, func(t *testing.T) { comparer.RequireList(t, name, lines...) })
	}
}
