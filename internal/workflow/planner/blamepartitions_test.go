package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// A workflow was shown as failed although none of its tasks had failed as often as its queue allows, and
// a lasting task of it ran no more. The tests bring that about without a task that harms anybody: a lease
// that ran out counted as a crash of the worker, and a worker that ends by itself as one by the task.

const (
	// partitionSpan is longer than a lease: the owner gives the runs up.
	partitionSpan = 7 * cottonlanding.Second
	// partitionsPlayed is more losses than a task may have that crashes its workers.
	partitionsPlayed = 8
)

// stepsByKind returns a step of each kind of work, whose tasks last for long.
func stepsByKind() map[string]cottonlanding.Step {
	base := cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}, Estimate: 500}
	short, lasting, filling, gang := base, base, base, base
	lasting.Lasting = true
	filling.Fills, filling.Image = true, "fills"
	gang.Gang, gang.Tasks = true, 2
	return map[string]cottonlanding.Step{"short": short, "lasting": lasting, "filling": filling, "gang": gang}
}

// longRunningID is the id of a workflow whose tasks run for longer than a cut.
func longRunningID(step cottonlanding.Step) cottonlanding.WorkflowID {
	if step.Lasting {
		return "lasting"
	}
	return "slow"
}

// cut keeps the workers that run something out of reach for a span, at the end of which something happens.
func (w *world) cut(span cottonlanding.Millis, meanwhile func()) {
	var cut []cottonlanding.WorkerID
	for _, info := range w.workers {
		if w.runner.RunsOn(info.ID) > 0 {
			cut = append(cut, info.ID)
			w.runner.Dark(info.ID, true)
		}
	}
	require.NotEmpty(w.t, cut, "nothing runs")
	w.play(span)
	meanwhile()
	for _, id := range cut {
		w.runner.Dark(id, false)
	}
	w.play(cottonlanding.Second)
}

// TestWorkflowSurvivesPartitions: a lease that ran out was charged to the task as the crash of its worker, and was taken
// back only by the owner that had charged it. After five such cuts beside changes of owner the
// workflow was shown as failed, with all workers alive.
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

// TestWorkflowSurvivesLostWorkers is TestCutsFailNoWorkflow with workers that stay out of reach, while new
// ones come.
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
	require.Positive(w.t, w.runner.Running(), "nothing of %s runs", id)
}

// TestWorkflowSurvivesUnstableWorker: a worker went down and up by itself, with a lasting task on it that
// had run there for a while each time. The third such life convicted the task, though the worker
// ended without it as well.
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

// playUntilStarted lets turns pass until a task is started.
func (w *world) playUntilStarted() {
	before := w.runner.Starts()
	for range 400 {
		if w.runner.Starts() > before {
			return
		}
		w.turn(turnSpan)
	}
	require.Fail(w.t, "nothing is started any more")
}

// TestNextAnswerResolvesOpenLife: what a lease that ran out proves is known when the worker answers again, to the
// same owner or the next one: the same life proves nothing, another one that the task may have ended it.
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
			require.Contains(t, w.cell.Fingerprint(w.now), c.counts+"  true", "nothing is open any more")
		})
	}
}
