package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// These tests guard against failing a workflow, and stopping its lasting tasks for good, although none of its tasks has
// failed as often as its queue allows. An expired lease must not count as a crash of the worker, nor the crash of a
// worker that ends on its own as one caused by the task. No task here harms its worker.

const (
	// partitionSpan is longer than a lease, so that the owner gives the runs up.
	partitionSpan = 7 * cottonlanding.Second
	// partitionsPlayed is more losses than a task that crashes its workers may have.
	partitionsPlayed = 8
)

// stepsByKind returns a step of each kind of work with long-running tasks.
func stepsByKind() map[string]cottonlanding.Step {
	base := cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}, Estimate: 500}
	short, lasting, filling, gang := base, base, base, base
	lasting.Lasting = true
	filling.Fills, filling.Image = true, "fills"
	gang.Gang, gang.Tasks = true, 2
	return map[string]cottonlanding.Step{"short": short, "lasting": lasting, "filling": filling, "gang": gang}
}

// longRunningID returns the id of a workflow whose tasks run for longer than partitionSpan.
func longRunningID(step cottonlanding.Step) cottonlanding.WorkflowID {
	if step.Lasting {
		return "lasting"
	}
	return "slow"
}

// cut makes the workers with runs unreachable for a span and calls meanwhile at its end.
func (w *world) cut(span cottonlanding.Millis, meanwhile func()) {
	var cut []cottonlanding.WorkerID
	for _, info := range w.workers {
		if w.runner.RunsOn(info.ID) > 0 {
			cut = append(cut, info.ID)
			w.runner.Dark(info.ID, true)
		}
	}
	require.NotEmpty(w.t, cut, "no worker has a run")
	w.play(span)
	meanwhile()
	for _, id := range cut {
		w.runner.Dark(id, false)
	}
	w.play(cottonlanding.Second)
}

// TestWorkflowSurvivesPartitions guards against counting expired leases as crashes: only the owner that had counted
// such a loss took it back, so that after five cuts with changes of owner the workflow failed although all workers
// were alive.
func TestWorkflowSurvivesPartitions(t *testing.T) {
	for kind, step := range stepsByKind() {
		for name, meanwhile := range map[string]func(*world){
			"one owner":     func(*world) {},
			"owners change": func(w *world) { w.takeOver() },
		} {
			t.Run(kind+", "+name, func(t *testing.T) {
				w := newSpreadWorld(t)
				w.play(cottonlanding.Second)
				id := longRunningID(step)
				w.submit(id, "Urgent", step)
				w.play(cottonlanding.Second)
				for range partitionsPlayed {
					w.cut(partitionSpan, func() { meanwhile(w) })
					w.requireStillRunning(id)
				}
				require.Empty(t, w.runner.Violations())
			})
		}
	}
}

// TestWorkflowSurvivesLostWorkers is TestWorkflowSurvivesPartitions with workers that stay unreachable while new ones
// join.
func TestWorkflowSurvivesLostWorkers(t *testing.T) {
	w := newSpreadWorld(t)
	w.play(cottonlanding.Second)
	w.submit("lasting", "Urgent", stepsByKind()["lasting"])
	w.play(cottonlanding.Second)
	for range partitionsPlayed {
		for _, info := range w.workers {
			if w.runner.RunsOn(info.ID) > 0 {
				w.runner.Dark(info.ID, true)
			}
		}
		w.addWorker()
		w.relist()
		w.play(9 * cottonlanding.Second)
		w.requireStillRunning("lasting")
	}
}

// requireStillRunning checks that a workflow is neither given up nor left waiting.
func (w *world) requireStillRunning(id cottonlanding.WorkflowID) {
	w.requireState(id, cottonlanding.WorkflowRunning)
	require.Positive(w.t, w.runner.Running(), "no task of %s runs", id)
}

// TestWorkflowSurvivesUnstableWorker guards against blaming a task for a worker that restarts on its own: a lasting
// task had run there for a while each time, and was given up at the third end although the worker also ended without
// it.
func TestWorkflowSurvivesUnstableWorker(t *testing.T) {
	for name, after := range map[string]cottonlanding.Millis{"soon": 1200, "later": 9500} {
		for owners, then := range map[string]func(*world){
			"one owner":     func(*world) {},
			"owners change": func(w *world) { w.takeOver() },
		} {
			t.Run(name+", "+owners, func(t *testing.T) {
				w := newWorldWithBirths(t)
				step := quickOn("w1", 1)
				step.Lasting = true
				w.submit("lasting", "Urgent", step)
				for range partitionsPlayed {
					w.playUntilStarted()
					w.play(after)
					w.restartWorker(0)
					w.relist()
					then(w)
				}
				w.playUntilStarted()
				w.requireStillRunning("lasting")
				require.Empty(t, w.runner.Violations())
			})
		}
	}
}

// playUntilStarted plays turns until a task is started.
func (w *world) playUntilStarted() {
	before := w.runner.Starts()
	for range 400 {
		if w.runner.Starts() > before {
			return
		}
		w.turn(turnSpan)
	}
	require.Fail(w.t, "no further task is started")
}

// TestNextAnswerResolvesOpenLife: the next answer of a worker resolves what its expired lease left open, for the same
// owner or the next one. The same life proves nothing against the task, another life proves that the task may have
// ended the previous one.
func TestNextAnswerResolvesOpenLife(t *testing.T) {
	for name, c := range map[string]struct {
		takesOver, reborn bool
		counts            string
	}{
		"same life":              {false, false, "{0 0}"},
		"other life":             {false, true, "{1 0}"},
		"same life, next owner":  {true, false, "{0 0}"},
		"other life, next owner": {true, true, "{1 0}"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorldWithBirths(t)
			w.submit("slow", "Urgent", quick(1))
			w.decide(turnSpan)
			silent := w.placedOn()
			w.runner.Dark(w.workers[silent].ID, true)
			w.play(8 * cottonlanding.Second)
			require.NotEqual(t, silent, w.placedOn())
			require.Contains(t, w.cell.Fingerprint(w.now), "{0 0} "+string(w.workers[silent].ID)+"@")
			if c.takesOver {
				w.takeOver()
			}
			w.runner.Dark(w.workers[silent].ID, false)
			if c.reborn {
				w.restartWorker(silent)
				w.relist()
			}
			w.play(cottonlanding.Second)
			require.Contains(t, w.cell.Fingerprint(w.now), c.counts+"  true", "no open life must remain")
		})
	}
}
