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
	// heldWithin is how soon a worker is held for a lasting task that waits.
	heldWithin = 6 * cottonlanding.Second
	// startWithin is how soon a lasting task must run where there is room for two of it: six seconds after its last
	// run and three undisturbed ones.
	startWithin = 9 * cottonlanding.Second
	// turnSpan is the duration of a turn.
	turnSpan = 50 * cottonlanding.Millis(1)
	// initialLabel is the label of the workers that exist from the beginning.
	initialLabel cottonlanding.Label = "Old"
)

// lasting returns a step of lasting tasks, short one of a single task that ends.
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

// holdWorkerForLarge has the fourth worker, with 6 of its 8 processors free, held for a lasting task that needs 7,
// while the others have 2.7 free each.
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

// leave makes a worker leave and lets its runs be stopped.
func (w *world) leave(number int) {
	w.workers[number].State = cottonlanding.Leaving
	w.cell.SetWorkers(slices.Clone(w.workers), w.now)
	w.play(8 * turnSpan)
}

// labelAll gives all current workers initialLabel, which those that join later lack.
func (w *world) labelAll() {
	for at := range w.workers {
		w.workers[at].Labels = []cottonlanding.Label{initialLabel}
	}
	w.cell.SetWorkers(slices.Clone(w.workers), w.now)
	w.play(cottonlanding.Second)
}

func (w *world) join() {
	w.addWorker()
	w.cell.SetWorkers(slices.Clone(w.workers), w.now)
	w.play(cottonlanding.Second)
}

// TestInterruptedTaskTakesHeldRoom checks that an interrupted lasting task runs again in time although the only room
// for it is held for a larger task that never ran.
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
			require.Less(t, w.now-left, startWithin, "there is room for two such tasks")
		}
	})
}

// TestInterruptedTaskGoesFirst checks that new room goes to a lasting task that was interrupted long ago, before
// older workflows and short tasks.
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
		require.Equal(t, 4, w.runner.Lasting(), "three tasks of the older workflow and the last one must run")
		w.leave(4)
		w.play(heldWithin)
		if rapid.Bool().Draw(t, "Short") {
			w.submit("b", "Urgent", short(8000))
		}
		w.cell.Cancel("slow", w.now, func(error) {})
		w.play(8 * turnSpan)
		require.True(t, w.runner.Runs(cottonlanding.TaskRef{Workflow: "last"}), "the room must go to the interrupted task")
	})
}

// TestHeldRoomIsReleased checks that a held worker is free for others as soon as the task for which it is held no
// longer waits.
func TestHeldRoomIsReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSpreadWorld(t)
		w.holdWorkerForLarge()
		w.cell.Cancel("large", w.now, func(error) {})
		w.submit("b", "Urgent", short(cottonlanding.Millicores(rapid.IntRange(2750, 6000).Draw(t, "CPU"))))
		w.play(4 * turnSpan)
		require.Equal(t, 5, w.runner.Running(), "the short task must get the room that was held")
	})
}

// TestHeldRoomGoesToLongestWaiting checks that a task takes the room that is held for it although an earlier task of
// its step has begun to wait as well.
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
		require.Equal(t, 4, w.runner.Lasting(), "the first of two tasks must run on the first worker")
		w.workers[0].State = cottonlanding.Leaving
		w.cell.SetWorkers(slices.Clone(w.workers), w.now)
		w.play(cottonlanding.Millis(rapid.IntRange(200, 1000).Draw(t, "Later")))
		require.Equal(t, 3, w.runner.Lasting(), "both tasks must wait")
		w.cell.Cancel("slow0", w.now, func(error) {})
		w.play(8 * turnSpan)
		require.Equal(t, 4, w.runner.Lasting(), "the second task must get the worker that is held for it")
	})
}

// TestInterruptedTaskRegainsItsRoom guards against long interruptions on workers full of lasting tasks: the room of a
// lasting task whose run failed must not go to short tasks that wait, or the lasting task would wait for as long as
// they last.
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
		require.Equal(t, 12, w.runner.Running(), "two short tasks must have room")
	})
}
