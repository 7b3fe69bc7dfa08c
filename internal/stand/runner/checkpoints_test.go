package runner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/stand/runner"
)

// Spans of the tests: a task's work, the work between its checkpoints, and a lease that is longer.
const (
	taskWork = 1000
	saves    = 100
	leased   = 100_000
)

// fixture is a runner with two workers whose clock is moved by hand.
type fixture struct {
	t      *testing.T
	now    cottonlanding.Millis
	runner *runner.Runner
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t}
	clock := cottonlanding.ClockOf(func() cottonlanding.Millis { return f.now })
	f.runner = runner.New(clock, func(key cottonlanding.RunKey) runner.Fate {
		if key.Task.Step > 0 {
			return runner.Fate{Lasts: taskWork}
		}
		return runner.Fate{Lasts: taskWork, Saves: saves, Fails: key.Task.Index > 0}
	})
	f.runner.Add("a", 0)
	f.runner.Add("b", 0)
	return f
}

func (f *fixture) worker(id cottonlanding.WorkerID) cottonlanding.WorkerRef {
	return cottonlanding.WorkerRef{Life: cottonlanding.Life{Worker: id}, Address: cottonlanding.Address(id)}
}

func (f *fixture) start(id cottonlanding.WorkerID, key cottonlanding.RunKey, text cottonlanding.Checkpoint) {
	start := cottonlanding.RunStart{RunKey: key, LeaseUntil: leased, Epoch: 1, Checkpoint: text}
	_, err := f.runner.Start(f.t.Context(), f.worker(id), start)
	require.NoError(f.t, err)
}

func (f *fixture) look(id cottonlanding.WorkerID) cottonlanding.RunReport {
	report, err := f.runner.Poll(f.t.Context(), f.worker(id), cottonlanding.Poll{Epoch: 1})
	require.NoError(f.t, err)
	return report
}

func (f *fixture) stop(id cottonlanding.WorkerID, key cottonlanding.RunKey) {
	require.NoError(f.t, f.runner.Stop(f.t.Context(), f.worker(id), key, 1))
}

func run(step, index int, number cottonlanding.RunNumber) cottonlanding.RunKey {
	return cottonlanding.RunKey{Task: cottonlanding.TaskRef{Workflow: "w", Step: step, Index: index}, Number: number}
}

// TestWorkGoesOnFromTheCheckpoint checks what is told of a run that goes on, is stopped, and goes on
// on another worker.
func TestWorkGoesOnFromTheCheckpoint(t *testing.T) {
	f := newFixture(t)
	first, second := run(0, 0, 1), run(0, 0, 2)
	f.start("a", first, "")
	f.now = 99
	require.Empty(t, f.look("a").Running[0].Checkpoint)
	f.now = 350
	require.Equal(t, runner.CheckpointOf(first.Task, 300), f.look("a").Running[0].Checkpoint)
	f.now = 370
	f.stop("a", first)
	stopped := f.look("a").Ended[0].Checkpoint
	require.Equal(t, runner.CheckpointOf(first.Task, 370), stopped)

	f.now = 1000
	f.start("b", second, stopped)
	require.Equal(t, stopped, f.look("b").Running[0].Checkpoint)
	f.now = 1000 + taskWork - 370 - 1
	require.Len(t, f.look("b").Running, 1)
	f.now++
	require.Equal(t, cottonlanding.EndDone, f.look("b").Ended[0].Kind)
	require.Empty(t, f.runner.Violations())
	require.Equal(t, map[string]int{"end Stopped": 1}, f.runner.Brought())
}

// TestFailedRunTellsItsLastCheckpoint checks that only a stop makes a checkpoint anew.
func TestFailedRunTellsItsLastCheckpoint(t *testing.T) {
	f := newFixture(t)
	f.start("a", run(0, 1, 1), "")
	f.now = 230
	f.look("a")
	f.now = taskWork
	failed := f.look("a").Ended[0]
	require.Equal(t, cottonlanding.EndFailed, failed.Kind)
	require.Equal(t, runner.CheckpointOf(failed.Task, taskWork), failed.Checkpoint)
	f.start("a", run(0, 1, 2), failed.Checkpoint)
	require.Empty(t, f.runner.Violations())
	require.Equal(t, map[string]int{"end Failed": 1}, f.runner.Brought())
}

// TestCheckpointOutlivesItsLife checks that a start may bring what a life told that has ended since.
func TestCheckpointOutlivesItsLife(t *testing.T) {
	f := newFixture(t)
	f.start("a", run(0, 0, 1), "")
	f.now = 250
	text := f.look("a").Running[0].Checkpoint
	f.runner.Crash("a")
	f.start("b", run(0, 0, 2), text)
	require.Empty(t, f.runner.Violations())
	require.Equal(t, map[string]int{"list of a run that went on, of a life that has ended": 1}, f.runner.Brought())
}

// TestStartWithACheckpointOfAnother checks each way in which a start's checkpoint isn't the task's.
func TestStartWithACheckpointOfAnother(t *testing.T) {
	task := run(0, 0, 1).Task
	told := runner.CheckpointOf(task, 300)
	for _, c := range []struct {
		name  string
		does  func(*fixture)
		notes string
	}{
		{"another task's", func(f *fixture) { f.start("b", run(0, 1, 1), told) }, "it isn't this task's; that was told of another task by a, run 1 of w.0.0.0"},
		{"altered", func(f *fixture) { f.start("b", run(0, 0, 2), told[1:]) }, "it isn't this task's; that was never told"},
		{"its own that nobody told", func(f *fixture) { f.start("b", run(0, 0, 2), runner.CheckpointOf(task, 30)) }, "no worker has told it; that was never told"},
		{"too much work", func(f *fixture) { f.start("b", run(0, 0, 2), runner.CheckpointOf(task, 400)) }, "never worked for more than 350ms; that was never told"},
		{"a step that makes none", func(f *fixture) { f.start("b", run(1, 0, 1), told) }, "its step makes none; that was told of another task by a"},
		{"another than before", func(f *fixture) {
			f.start("b", run(0, 1, 1), "")
			f.start("b", run(0, 1, 1), told)
		}, "an earlier start of this run brought \"\""},
		{"of a life that has ended", func(f *fixture) {
			f.runner.Crash("a")
			f.start("b", run(0, 1, 1), told)
		}, "it isn't this task's; that was told of another task by a, run 1 of w.0.0.0"},
		{"another one of the task's after a crash", func(f *fixture) {
			f.runner.Crash("a")
			f.start("b", run(0, 0, 2), told)
			f.start("b", run(0, 0, 2), runner.CheckpointOf(task, 0))
		}, "an earlier start of this run brought \"" + string(told) + "\"; that was never told"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.start("a", run(0, 0, 1), "")
			f.now = 350
			require.Equal(t, told, f.look("a").Running[0].Checkpoint)
			f.stop("a", run(0, 0, 1))
			c.does(f)
			require.NotEmpty(t, f.runner.Violations())
			require.Contains(t, f.runner.Violations()[0], c.notes)
		})
	}
}
