package planner_test

import (
	"context"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// playWithHangingPolls lets a while pass in which the looks at a worker hang.
func (w *world) playWithHangingPolls(id cottonlanding.WorkerID, span cottonlanding.Millis) {
	for end := w.now + span; w.now < end; {
		w.decide(turnSpan)
		for _, worker := range w.workers {
			if worker.ID != id {
				w.poll(worker.ID, true)
			}
		}
	}
}

// playStaleEntry plays a worker that crashes, whose entry stays and whose looks hang, and another one that comes at its
// address, serves on and leaves the list first. Owners change before that if told so.
func playStaleEntry(t *testing.T, ownerChanges bool) *world {
	t.Helper()
	w := newSpreadWorld(t)
	w.play(cottonlanding.Second)
	w.crashForGood("w1")
	w.addLife(w.workers[0])
	came := len(w.workers) - 1
	w.cell.SetWorkers(slices.Clone(w.workers), w.now)
	w.playWithHangingPolls("w1", 200)
	w.submit("lasts", "Urgent", cottonlanding.Step{Tasks: 8, Lasting: true, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}})
	w.playWithHangingPolls("w1", 400)
	require.Equal(t, 8, w.runner.Lasting())
	if ownerChanges {
		w.takeOverFrom(w.now + ownerGoneAfter)
		w.playWithHangingPolls("w1", 100)
	}
	w.unlist(came)
	return w
}

// TestStaleEntryOfEndedLife: the entry of a life that had crashed stood longer than that of the worker which came at its address.
// The latter served on and was taken for ended, and its tasks ran twice.
func TestStaleEntryOfEndedLife(t *testing.T) {
	for _, ownerChanges := range []bool{false, true} {
		w := playStaleEntry(t, ownerChanges)
		w.playWithHangingPolls("w1", cottonlanding.Second)
		require.Empty(t, w.runner.Violations(), "owner changes: %t", ownerChanges)
		require.Equal(t, 8, w.runner.Lasting())
	}
}

// TestStaleEntryOfCrashedLife: a worker crashes, another one comes at its address, leaves and takes its entry
// off the list while that of the crashed one, which nobody has asked yet, still stands. The crashed one was taken
// for the successor of the one that served on, whose tasks ran twice.
func TestStaleEntryOfCrashedLife(t *testing.T) {
	w := newWorldWithBirths(t)
	crashed := w.workers[0]
	w.runner.Crash(crashed.ID)
	w.addLife(crashed)
	next := len(w.workers) - 1
	w.workers[next].Labels = []cottonlanding.Label{"next"}
	w.restartWorker(next)
	w.relist()
	turns := func(count int) {
		for range count {
			w.decide(turnSpan)
			for _, info := range w.workers {
				if info.ID != crashed.ID {
					w.poll(info.ID, true)
				}
			}
		}
	}
	turns(3)
	w.submit("slow", "Urgent", quickOn("next", 1))
	turns(3)
	require.Equal(t, 1, w.runner.RunsOn(w.workers[next].ID))
	w.workers[1].Labels = append(w.workers[1].Labels, "next")
	w.unlist(next)
	turns(10)
	require.Empty(t, w.runner.Violations())
	require.Equal(t, 1, w.runner.Starts())
}

// TestLateAnswerOfEarlierLife: an answer that a worker had made before it ended came after those of the one at its address, which had left the
// list first and was taken for ended.
func TestLateAnswerOfEarlierLife(t *testing.T) {
	w := newWorldWithBirths(t)
	old := w.workers[0]
	next, found := w.cell.NextPoll(old.ID, w.now)
	require.True(t, found)
	require.Zero(t, next.After)
	asked := w.now
	report, err := w.runner.Look(context.Background(), next.Worker, next.Look) // made, and under way for long
	require.NoError(t, err)
	w.runner.Crash(old.ID)
	w.addLife(old)
	came := len(w.workers) - 1
	w.workers[came].Labels = []cottonlanding.Label{"next"}
	w.restartWorker(came)
	w.relist()
	turns := func(count int) {
		for range count {
			w.decide(turnSpan)
			for _, info := range w.workers[1:] {
				w.poll(info.ID, true)
			}
		}
	}
	turns(3)
	w.submit("slow", "Urgent", quickOn("next", 1))
	turns(3)
	require.Equal(t, 1, w.runner.RunsOn(w.workers[came].ID))
	w.workers[1].Labels = append(w.workers[1].Labels, "next")
	w.unlist(came)
	w.now += 50
	w.cell.PollAnswered(next, report, asked, w.now) // within the time of a look
	for range 10 {
		w.decide(turnSpan)
	}
	require.Empty(t, w.runner.Violations())
}
