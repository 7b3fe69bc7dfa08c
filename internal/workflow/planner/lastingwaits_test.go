package planner_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// lossesBeforeFailure is how many losses a task has that is given up at the next one.
const lossesBeforeFailure = 4

// shortRun is how long the runs of suspects go on here before the next event: shorter than promptWindow.
const shortRun = 150 * cottonlanding.Millis(1)

// turnsPerSilence is after how many turns another worker falls silent, so that there is always one that just has.
const turnsPerSilence = 15

// setLosses makes the first task of a workflow a suspect, for another owner.
func (w *world) setLosses(id cottonlanding.WorkflowID, losses int) {
	key := planner.StateKey(partition, id)
	row := w.rows[key]
	var state map[string]json.RawMessage
	require.NoError(w.t, json.Unmarshal(row.Value, &state))
	var tasks []planner.TaskRow
	require.NoError(w.t, json.Unmarshal(state["Tasks"], &tasks))
	tasks[0].Losses = losses
	data, err := json.Marshal(tasks)
	require.NoError(w.t, err)
	state["Tasks"] = data
	row.Value, err = json.Marshal(state)
	require.NoError(w.t, err)
	w.rows[key] = row
	w.takeOver()
}

// suspectWorld is a world of many workers, one of which has just begun a lasting task that is given up at the next
// loss.
func suspectWorld(t require.TestingT) (w *world, at int) {
	w = newSpreadWorld(t)
	for range 20 {
		w.addWorker()
	}
	w.relist()
	w.play(cottonlanding.Second)
	w.submit("lasting", "Urgent", lasting(1, 0, 6000))
	w.commit()
	w.setLosses("lasting", lossesBeforeFailure)
	w.pollAll()
	w.playUntilStarted()
	w.play(shortRun)
	at = slices.IndexFunc(w.workers, func(info cottonlanding.WorkerInfo) bool { return w.runner.RunsOn(info.ID) > 0 })
	require.GreaterOrEqual(t, at, 0)
	return w, at
}

// downFor lets turns pass, with a call of meanwhile after each, until all tasks of a workflow run, or for much
// longer than they may be down. It returns how long that took.
func (w *world) downFor(id cottonlanding.WorkflowID, tasks int, meanwhile func()) cottonlanding.Millis {
	since := w.now
	for w.now-since < 3*startWithin {
		w.turn(turnSpan)
		meanwhile()
		if w.runsAll(id, tasks) {
			break
		}
	}
	return w.now - since
}

// TestTaskWithOneLossLeftRestartsInTime guards against a lasting task that is given up at the next loss and waits
// for an answer of its last worker, for 15 s from the end of its lease, beside workers with room: it was down for
// three times as long as it may be.
func TestTaskWithOneLossLeftRestartsInTime(t *testing.T) {
	w, at := suspectWorld(t)
	w.runner.Dark(w.workers[at].ID, true)
	for w.runner.Lasting() > 0 {
		w.turn(turnSpan) // its lease runs out
	}
	down := w.downFor("lasting", 1, func() {})
	require.Less(t, down, startWithin-timing.Lease, "the lease has run out before")
	require.Empty(t, w.runner.Violations())
}

// TestSuspectRestartsAmongSilentWorkers guards against the same task waiting 15 s for an instant at which no worker
// has just fallen silent.
func TestSuspectRestartsAmongSilentWorkers(t *testing.T) {
	w, at := suspectWorld(t)
	next := 0
	silence := func() {
		if next == at {
			next++
		}
		w.runner.Dark(w.workers[next].ID, true)
		next++
	}
	silence()
	w.workers[at].State = cottonlanding.Leaving
	w.relist()
	turns := 0
	down := w.downFor("lasting", 1, func() {
		if turns++; turns%turnsPerSilence == 0 && next < len(w.workers)-1 {
			silence()
		}
	})
	require.Less(t, down, startWithin)
	require.Empty(t, w.runner.Violations())
}

// TestInterruptedTaskTakesUselessHold guards against a worker that is held time and again for a lasting task that
// never has room there, while another one that was interrupted later and has room there waits for as long.
func TestInterruptedTaskTakesUselessHold(t *testing.T) {
	w := newSpreadWorld(t)
	w.submit("lasting", "Urgent", lasting(3, 1, 5300))
	w.play(cottonlanding.Second)
	w.submit("slow", "Urgent", short(2000))
	w.play(cottonlanding.Second)
	require.Equal(t, 4, w.runner.Running())
	w.join()
	w.submit("large", "Urgent", lasting(1, 0, 7000))
	w.play(cottonlanding.Second)
	w.join()
	w.submit("least", "Urgent", lasting(1, 0, 3000))
	w.play(cottonlanding.Second)
	require.Equal(t, 5, w.runner.Lasting())
	w.leave(4)
	w.play(heldWithin)
	w.workers[5].State = cottonlanding.Leaving
	w.relist()
	require.Less(t, w.downFor("least", 1, func() {}), startWithin, "the worker is held for a task that doesn't fit there")
}

// shortTaskStream returns a function that submits a workflow of nine short tasks, which take up to 1.6 s, every so
// many turns.
func (w *world) shortTaskStream(turns int) func() {
	step := short(2000)
	step.Tasks = 9
	turn := 0
	return func() {
		if turn++; turn%turns == 0 {
			w.submit(cottonlanding.WorkflowID(fmt.Sprintf("b%d", turn)), "Urgent", step)
		}
	}
}

// playWith lets turns pass, with a call of meanwhile after each.
func (w *world) playWith(span cottonlanding.Millis, meanwhile func()) {
	for end := w.now + span; w.now < end; {
		w.turn(turnSpan)
		meanwhile()
	}
}

// TestLostTaskHoldsWorkerInTime guards against a wait for a held worker that counts from the end of a silent
// worker's lease: its task is then down for too long among short tasks that leave room for two of it.
func TestLostTaskHoldsWorkerInTime(t *testing.T) {
	w := newSpreadWorld(t)
	for range 5 {
		w.addWorker()
	}
	w.relist()
	w.play(cottonlanding.Second)
	w.submit("lasting", "Urgent", lasting(1, 0, 7000))
	w.play(cottonlanding.Second)
	at := slices.IndexFunc(w.workers, func(info cottonlanding.WorkerInfo) bool { return w.runner.RunsOn(info.ID) > 0 })
	stream := w.shortTaskStream(7)
	w.playWith(3*cottonlanding.Second, stream)
	w.runner.Crash(w.workers[at].ID)
	require.Less(t, w.downFor("lasting", 1, stream), startWithin)
	require.Empty(t, w.runner.Violations())
}

// TestManyInterruptedTasksRestartInTime guards against a cell that holds one worker at a time for all its lasting
// tasks: of many that were interrupted at once among short tasks, the last ones were down for too long.
func TestManyInterruptedTasksRestartInTime(t *testing.T) {
	const interrupted = 12
	w := newSpreadWorld(t)
	for range 43 {
		w.addWorker()
	}
	w.relist()
	w.play(cottonlanding.Second)
	w.submit("lasting", "Urgent", lasting(interrupted, 1, 7000))
	w.play(cottonlanding.Second)
	require.Equal(t, interrupted, w.runner.Lasting())
	var leaving []int
	for at, info := range w.workers {
		if w.runner.RunsOn(info.ID) > 0 {
			leaving = append(leaving, at)
		}
	}
	stream := w.shortTaskStream(2)
	w.playWith(3*cottonlanding.Second, stream)
	for _, at := range leaving {
		w.workers[at].State = cottonlanding.Leaving
	}
	w.relist()
	down := w.downFor("lasting", interrupted, stream)
	require.Less(t, down, startWithin)
	require.Empty(t, w.runner.Violations())
}

// TestDelegatedTaskIsDownFromItsLastRun guards against a task that runs in another cell and counts as down in its
// delegator's cell since before it was delegated: when it came back, it went before others and took held room at
// once.
func TestDelegatedTaskIsDownFromItsLastRun(t *testing.T) {
	n, question := newDelegatedTasks(t)
	for range 120 {
		question.Last = n.exchange(question).Stamp
		n.cells[1].turn(100)
		n.syncClocks()
	}
	require.Equal(t, 4, n.runsIn(1))
	for _, task := range question.Workflows[0].Tasks {
		require.LessOrEqual(t, n.cells[0].cell.DownFor(task.Ref, n.cells[0].now), cottonlanding.Second)
	}
}

// TestSilentWorkerIsLostDespiteStarts guards against starts that extend the lease of a silent worker until a poll
// of it fails, two seconds after its last answer: the loss of a lasting task on a worker that gets starts all the
// time was known as much later.
func TestSilentWorkerIsLostDespiteStarts(t *testing.T) {
	const pollFailsAfter = 1800 * cottonlanding.Millis(1)
	w := lastingWorld(t)
	at := slices.IndexFunc(w.workers, func(info cottonlanding.WorkerInfo) bool { return w.runner.RunsOn(info.ID) == 2 })
	silent := w.workers[at].ID
	w.labelAll()
	w.workers[at].Labels = []cottonlanding.Label{"Silent"}
	w.relist()
	w.turn(turnSpan)
	w.runner.Crash(silent)
	crashed := w.now
	unanswered, _ := w.cell.NextPoll(silent, w.now)
	require.Positive(t, unanswered.Poll.LeaseUntil)
	for number := 0; w.now-crashed < pollFailsAfter; number++ {
		step := short(100)
		step.Requires = "Silent"
		w.submit(cottonlanding.WorkflowID(fmt.Sprintf("b%d", number)), "Urgent", step)
		w.decide(turnSpan)
		for _, worker := range w.workers {
			if worker.ID != silent {
				w.poll(worker.ID, true)
			}
		}
	}
	w.cell.PollFailed(unanswered, cottonlanding.ErrAmbiguous, w.now)
	for w.now-crashed < startWithin && !w.runs("lasting", 0) {
		w.turn(turnSpan)
	}
	require.Less(t, w.now-crashed, timing.Lease+cottonlanding.Second)
	require.Empty(t, w.runner.Violations())
}

// TestFewWorkersAreHeldInFullCell guards against too many held workers in a cell full of lasting tasks: a quarter
// of them was held for interrupted tasks, and smaller ones here and in other cells lacked their room.
func TestFewWorkersAreHeldInFullCell(t *testing.T) {
	const filled, interrupted = 44, 8
	var leaving []int
	w := newSpreadWorld(t)
	for range filled {
		w.addWorker()
	}
	w.relist()
	w.play(cottonlanding.Second)
	w.submit("lsmall", "Urgent", lasting(interrupted, 1, 2500))
	w.play(cottonlanding.Second)
	for at, info := range w.workers {
		if w.runner.RunsOn(info.ID) > 0 {
			leaving = append(leaving, at)
		}
	}
	w.submit("lfills", "Urgent", lasting(filled+4, 1, 5000))
	w.play(cottonlanding.Second)
	require.Equal(t, filled+4+interrupted, w.runner.Lasting())
	number := 0
	stream := func() { // more than there is room for, so that holes stay small
		number++
		step := short(950)
		step.Tasks = 9
		w.submit(cottonlanding.WorkflowID(fmt.Sprintf("b%d", number)), "Urgent", step)
	}
	w.playWith(3*cottonlanding.Second, stream)
	log := w.captureLog()
	w.playWith(cottonlanding.Second, stream)
	for _, at := range leaving {
		w.workers[at].State = cottonlanding.Leaving
	}
	w.relist()
	w.playWith(6*cottonlanding.Second, stream)
	atOnce := 0
	for _, line := range logLines(t, log, "capacity reserved") {
		if line["Waited"].(float64) < 5200 {
			atOnce++
		}
	}
	require.LessOrEqual(t, atOnce, 2, "one of 48 at a time")
}
