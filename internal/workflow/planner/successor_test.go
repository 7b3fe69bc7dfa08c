package planner_test

import (
	"context"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// playWithHangingPolls runs the world for a span in which polls of a worker hang.
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

// playStaleEntry runs a worker that crashes while its entry stays and its polls hang, and another one that starts at
// its address, keeps running and leaves the list first. If ownerChanges is set, the owner changes before that.
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

// TestStaleEntryKeepsReplacement guards against taking a running worker for ended because the entry of the crashed one
// whose address it has stays listed for longer; its tasks would run twice.
func TestStaleEntryKeepsReplacement(t *testing.T) {
	for _, ownerChanges := range []bool{false, true} {
		w := playStaleEntry(t, ownerChanges)
		w.playWithHangingPolls("w1", cottonlanding.Second)
		require.Empty(t, w.runner.Violations(), "owner changes: %t", ownerChanges)
		require.Equal(t, 8, w.runner.Lasting())
	}
}

// TestUnpolledEntryKeepsReplacement guards against taking a crashed worker for the replacement of the one that started
// at its address later. The crashed one was never polled, and its entry is still listed when the other one's is
// removed; that one's tasks would run twice.
func TestUnpolledEntryKeepsReplacement(t *testing.T) {
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

// TestLateAnswerKeepsReplacement guards against taking a worker for ended because an answer of the previous one at its
// address, made before that one ended, arrives after its own answers and after it was removed from the list.
func TestLateAnswerKeepsReplacement(t *testing.T) {
	w := newWorldWithBirths(t)
	old := w.workers[0]
	next, found := w.cell.NextPoll(old.ID, w.now)
	require.True(t, found)
	require.Zero(t, next.After)
	asked := w.now
	report, err := w.runner.Poll(context.Background(), next.Worker, next.Poll) // answered, and in flight until below
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
	w.cell.PollAnswered(next, report, asked, w.now) // within the time that a poll may take
	for range 10 {
		w.decide(turnSpan)
	}
	require.Empty(t, w.runner.Violations())
}
