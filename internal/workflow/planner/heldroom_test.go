package planner_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// heldWithin is by when a worker is kept for a lasting task that waits.
	heldWithin = 6 * cottonlanding.Second
	// startWithin is how soon a lasting task must run where capacity exists twice
	// over. Source: the users' rule on lost tasks: six seconds after its last run, and three of calm.
	startWithin = 9 * cottonlanding.Second
	// turnSpan is the span of a turn.
	turnSpan = 50 * cottonlanding.Millis(1)
	// initialLabel is that of the workers that are there from the beginning.
	initialLabel cottonlanding.Label = "Old"
)

// lasting is a step of lasting tasks, short one of a task that ends.
func lasting(tasks, mostPerWorker int, cpu cottonlanding.Millicores) cottonlanding.Step {
	return cottonlanding.Step{Tasks: tasks, MostPerWorker: mostPerWorker, Lasting: true,
		Resources: cottonlanding.Resources{CPU: cpu, Memory: cottonlanding.Gigabyte}}
}

func short(cpu cottonlanding.Millicores) cottonlanding.Step {
	return cottonlanding.Step{Tasks: 1, Estimate: 500,
		Resources: cottonlanding.Resources{CPU: cpu, Memory: cottonlanding.Gigabyte}}
}

// play lets a span pass.
func (w *world) play(span cottonlanding.Millis) {
	for end := w.now + span; w.now < end; {
		w.turn(turnSpan)
	}
}

// holdWorkerForLarge brings about that the fourth worker, with 6 of its 8 processors free,
// is kept for a lasting task that needs 7, while the others have 2.7 free each.
func (w *world) holdWorkerForLarge() {
	w.labelAll()
	w.submit("lasting", "Urgent", lasting(3, 1, 5300))
	w.play(cottonlanding.Second)
	w.submit("slow", "Urgent", short(2000))
	w.play(cottonlanding.Second)
	require.Equal(w.t, 4, w.runner.Running())
	large := lasting(1, 0, 7000)
	large.Requires = initialLabel
	w.submit("large", "Urgent", large)
	w.play(heldWithin)
	require.Equal(w.t, 3, w.runner.Lasting(), "the large task has no room")
}

// leave makes a worker leave, and lets its runs be stopped.
func (w *world) leave(number int) {
	w.workers[number].State = cottonlanding.Leaving
	w.cell.SetWorkers(slices.Clone(w.workers), w.now)
	w.play(8 * turnSpan)
}

// labelAll gives all workers oldLabel, which those that join later lack.
func (w *world) labelAll() {
	for at := range w.workers {
		w.workers[at].Labels = []cottonlanding.Label{initialLabel}
	}
	w.cell.SetWorkers(slices.Clone(w.workers), w.now)
	w.play(cottonlanding.Second)
}

// join adds a worker.
func (w *world) join() {
	w.addWorker()
	w.cell.SetWorkers(slices.Clone(w.workers), w.now)
	w.play(cottonlanding.Second)
}

// TestInterruptedTaskTakesHeldRoom checks that a lasting task that was interrupted
// runs again in time although the only room for it is kept for a larger one that
// never ran.
func TestInterruptedTaskTakesHeldRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSpreadWorld(t)
		w.holdWorkerForLarge()
		w.join()
		cpu := cottonlanding.Millicores(rapid.IntRange(2750, 3000).Draw(t, "CPU"))
		w.submit("least", "Urgent", lasting(1, 0, cpu))
		w.play(cottonlanding.Second)
		before := w.runner.Lasting()
		w.leave(4)
		left := w.now
		for w.runner.Lasting() < before {
			w.turn(turnSpan)
			require.Less(t, w.now-left, startWithin, "there is room for two of it")
		}
	})
}

// TestInterruptedTaskGoesFirst checks that room that comes goes to
// a lasting task that was interrupted long ago, not to older workflows or short ones.
func TestInterruptedTaskGoesFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSpreadWorld(t)
		w.labelAll()
		w.submit("slow", "Urgent", short(8000))
		w.play(cottonlanding.Second)
		older := lasting(5, 0, 8000)
		older.Requires = initialLabel
		w.submit("larger", "Urgent", older)
		w.play(cottonlanding.Second)
		w.join()
		w.submit("last", "Urgent", lasting(1, 0, 8000))
		w.play(cottonlanding.Second)
		require.Equal(t, 4, w.runner.Lasting(), "three of the older workflow, and the last")
		w.leave(4)
		w.play(heldWithin)
		if rapid.Bool().Draw(t, "Short") {
			w.submit("b", "Urgent", short(8000))
		}
		w.cell.Cancel("slow", w.now, func(error) {})
		w.play(8 * turnSpan)
		require.True(t, w.runner.Runs(cottonlanding.TaskRef{Workflow: "last"}), "the room is for the one that was interrupted")
	})
}

// TestHeldRoomIsReleased checks that a worker is free for others as soon
// as the task for which it was kept waits no more.
func TestHeldRoomIsReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSpreadWorld(t)
		w.holdWorkerForLarge()
		w.cell.Cancel("large", w.now, func(error) {})
		w.submit("b", "Urgent", short(cottonlanding.Millicores(rapid.IntRange(2750, 6000).Draw(t, "CPU"))))
		w.play(4 * turnSpan)
		require.Equal(t, 5, w.runner.Running(), "the short task has room on the worker that was kept")
	})
}

// TestHeldRoomGoesToLongestWaiting checks that a task takes the room that is
// kept for it although another of its step, before it, has come to wait as well.
func TestHeldRoomGoesToLongestWaiting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSpreadWorld(t)
		w.play(cottonlanding.Second)
		w.submit("leaves", "Urgent", lasting(1, 0, 8000))
		w.play(cottonlanding.Second)
		w.submit("lasting", "Urgent", lasting(3, 1, 2900))
		w.play(cottonlanding.Second)
		for number := range 3 {
			w.submit(cottonlanding.WorkflowID(fmt.Sprintf("slow%d", number)), "Urgent", short(2500))
			w.play(cottonlanding.Second)
		}
		w.cell.Cancel("leaves", w.now, func(error) {})
		w.submit("large", "Urgent", lasting(2, 0, 5000))
		w.play(heldWithin)
		require.Equal(t, 4, w.runner.Lasting(), "the first of two is on the first worker")
		w.workers[0].State = cottonlanding.Leaving
		w.cell.SetWorkers(slices.Clone(w.workers), w.now)
		w.play(cottonlanding.Millis(rapid.IntRange(200, 1000).Draw(t, "Later")))
		require.Equal(t, 3, w.runner.Lasting(), "both wait")
		w.cell.Cancel("slow0", w.now, func(error) {})
		w.play(8 * turnSpan)
		require.Equal(t, 4, w.runner.Lasting(), "the second has room on the worker that was kept for it")
	})
}

// TestInterruptedTaskRegainsItsRoom plays workers that are full of lasting tasks, beside
// which short ones wait: the room of a lasting task whose run has failed is not given to
// those, or it would have to wait for as long as they last.
func TestInterruptedTaskRegainsItsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSpreadWorld(t)
		w.submit(failingLasting, "Urgent", lasting(10, 0, 2600)) // two tasks fail, after 0.9 and 1.7 s
		w.play(cottonlanding.Second / 2)
		require.Equal(t, 10, w.runner.Running())
		for number := range 6 {
			w.submit(cottonlanding.WorkflowID(fmt.Sprintf("slow%d", number)), "Urgent", short(2600))
		}
		w.play(4 * cottonlanding.Second)
		require.Equal(t, 10, w.runner.Lasting())
		require.Equal(t, 12, w.runner.Running(), "two short ones had room")
	})
}
