package planner_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
)

var (
	downMessages  = []string{"lasting task down", "lasting tasks down"}
	againMessages = []string{"lasting task runs again", "lasting tasks run again"}
)

// countLogged returns how often lines with one of the messages name a task.
func countLogged(t require.TestingT, log *bytes.Buffer, messages []string, ref cottonlanding.TaskRef) int {
	count := 0
	for _, line := range logLines(t, log, messages...) {
		if line["Task"] == ref.String() {
			count++
		}
		tasks, _ := line["Tasks"].([]any)
		for _, entry := range tasks {
			if strings.HasPrefix(entry.(string), ref.String()+"#") {
				count++
			}
		}
	}
	return count
}

// awaitRun lets turns pass until a task runs, and returns how long that took.
func (w *world) awaitRun(ref cottonlanding.TaskRef, within cottonlanding.Millis) cottonlanding.Millis {
	began := w.now
	for !w.runner.Runs(ref) {
		w.turn(turnSpan)
		require.Less(w.t, w.now-began, within)
	}
	return w.now - began
}

// firstIdle returns the first task of a workflow's first step that does not run, other than the known ones.
func (w *world) firstIdle(id cottonlanding.WorkflowID, known ...int) int {
	index := 0
	for slices.Contains(known, index) || w.runs(id, index) {
		index++
	}
	return index
}

// awaitAll lets turns pass until the first tasks of a workflow's first step run, and one second more.
func (w *world) awaitAll(id cottonlanding.WorkflowID, tasks int) {
	w.play(cottonlanding.Second)
	for began := w.now; !w.runsAll(id, tasks); {
		w.turn(turnSpan)
		require.Less(w.t, w.now-began, 3*restartTimeout)
	}
	w.play(cottonlanding.Second)
}

// countDowntimes counts the logged downtimes of the first tasks of a workflow's first step.
func (w *world) countDowntimes(log *bytes.Buffer, id cottonlanding.WorkflowID, tasks int) int {
	count := 0
	for index := range tasks {
		count += countLogged(w.t, log, downMessages, cottonlanding.TaskRef{Workflow: id, Index: index})
	}
	return count
}

// TestStoppedTaskLogsDowntime guards against logs that do not show how long a lasting task was down, why, and how
// that time was spent.
func TestStoppedTaskLogsDowntime(t *testing.T) {
	w := newSpreadWorld(t)
	log := w.captureLog()
	w.play(cottonlanding.Second)
	w.submit("lasting", "Urgent", lasting(4, 1, 6000))
	w.play(cottonlanding.Second)
	require.Empty(t, logLines(t, log, slices.Concat(downMessages, againMessages)...), "a task that begins for the first time was not down")
	w.leave(0)
	ref := cottonlanding.TaskRef{Workflow: "lasting", Index: w.firstIdle("lasting")}
	w.play(2 * cottonlanding.Second)
	w.join()
	w.awaitRun(ref, cottonlanding.Second)
	w.play(turnSpan)
	downs := logLines(t, log, downMessages...)
	require.Len(t, downs, 1)
	require.Equal(t, ref.String(), downs[0]["Task"])
	require.EqualValues(t, 1, downs[0]["Run"])
	require.EqualValues(t, w.workers[0].ID, downs[0]["Worker"])
	require.Equal(t, "Stopped", downs[0]["Cause"])
	require.Equal(t, "its worker is leaving", downs[0]["Reason"])
	require.Less(t, downs[0]["Since"], float64(cottonlanding.Second))
	starts := logLines(t, log, againMessages...)
	require.Len(t, starts, 1)
	require.Equal(t, ref.String(), starts[0]["Task"])
	require.EqualValues(t, 2, starts[0]["Run"])
	require.EqualValues(t, 1, starts[0]["Placements"])
	require.EqualValues(t, w.epoch, starts[0]["Epoch"])
	waited, starting, known := starts[0]["WaitedForPlace"].(float64), starts[0]["PlacedToStarted"].(float64), starts[0]["KnownFor"].(float64)
	require.InDelta(t, 2400, waited, 600, "a worker joined after as long")
	require.Less(t, starting, float64(cottonlanding.Second))
	require.Equal(t, known, waited+starting)
	require.InDelta(t, known+downs[0]["Since"].(float64), starts[0]["DownFor"], 2*float64(turnSpan))
}

// TestDownTasksAreLoggedTogether guards against a log line for each task of a lost worker.
func TestDownTasksAreLoggedTogether(t *testing.T) {
	w := newSpreadWorld(t)
	log := w.captureLog()
	w.play(cottonlanding.Second)
	w.submit("lasting", "Urgent", lasting(240, 60, 100))
	w.play(cottonlanding.Second)
	require.Equal(t, 240, w.runner.Lasting())
	w.crash(2)
	w.join()
	w.play(restartTimeout)
	require.Equal(t, 240, w.runner.Lasting())
	downs := logLines(t, log, downMessages...)
	require.Len(t, downs, 2, "50 of the 60 tasks in the first")
	require.Equal(t, "w3", downs[0]["Worker"])
	require.Contains(t, downs[0]["Tasks"].([]any)[0], "Cause=its lease surely ran out")
	for index := range 240 {
		ref := cottonlanding.TaskRef{Workflow: "lasting", Index: index}
		require.Equal(t, countLogged(t, log, downMessages, ref), countLogged(t, log, againMessages, ref))
	}
	require.LessOrEqual(t, len(logLines(t, log, againMessages...)), 16)
}

// TestNewOwnerLogsDownTasks guards against a downtime that is not logged because the owner has changed meanwhile.
func TestNewOwnerLogsDownTasks(t *testing.T) {
	w := newSpreadWorld(t)
	w.play(cottonlanding.Second)
	w.submit("lasting", "Urgent", lasting(4, 1, 6000))
	w.play(cottonlanding.Second)
	w.leave(0)
	waits := w.firstIdle("lasting")
	w.runner.Crash(w.workers[1].ID)
	log := w.captureLog() // loads a task that waits, one whose worker is gone, and two that run
	inDoubt := w.firstIdle("lasting", waits)
	w.play(cottonlanding.Second)
	require.Len(t, logLines(t, log, downMessages...), 1)
	down := logLines(t, log, downMessages...)[0]
	require.Equal(t, cottonlanding.TaskRef{Workflow: "lasting", Index: waits}.String(), down["Task"])
	require.Equal(t, "Loaded", down["Cause"])
	require.EqualValues(t, -1, down["Since"])
	w.play(restartTimeout)
	require.Len(t, logLines(t, log, downMessages...), 2)
	down = logLines(t, log, downMessages...)[1]
	require.Equal(t, cottonlanding.TaskRef{Workflow: "lasting", Index: inDoubt}.String(), down["Task"])
	require.Equal(t, "its lease surely ran out", down["Cause"])
	require.EqualValues(t, -1, down["Since"])
	require.Empty(t, logLines(t, log, againMessages...), "there is no room, and the others ran on")
}

// TestDowntimeLogsAlternate guards against downtimes that are not logged, or logged twice: under each owner, the
// logged beginnings and ends of a task alternate, and the last one agrees with what runs in the end.
func TestDowntimeLogsAlternate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSpreadWorld(t)
		log := w.captureLog()
		w.play(cottonlanding.Second)
		w.submit("lasting", "Urgent", lasting(6, 0, 1500))
		w.play(cottonlanding.Second)
		owners := []*bytes.Buffer{log}
		fault := func() string {
			return rapid.SampledFrom([]string{"", "", "", "lost", "refused", "unanswered"}).Draw(t, "Fault")
		}
		for range rapid.IntRange(5, 40).Draw(t, "Steps") {
			at := rapid.IntRange(0, len(w.workers)-1).Draw(t, "Worker")
			switch rapid.SampledFrom([]string{"turn", "turn", "wait", "crash", "dark", "leave", "owner", "orders"}).Draw(t, "Step") {
			case "wait":
				w.play(cottonlanding.Millis(rapid.IntRange(1, 4000).Draw(t, "Wait")))
			case "crash":
				w.runner.Crash(w.workers[at].ID)
				w.workers = slices.Delete(slices.Clone(w.workers), at, at+1)
				w.join()
			case "dark":
				w.runner.Dark(w.workers[at].ID, rapid.Bool().Draw(t, "Dark"))
			case "leave":
				w.leave(at)
				w.join()
			case "owner":
				owners = append(owners, w.captureLog())
			case "orders":
				w.now += turnSpan
				w.commit()
				w.orders(fault)
			default:
				w.turn(turnSpan)
			}
		}
		for _, info := range w.workers {
			w.runner.Dark(info.ID, false)
		}
		w.awaitAll("lasting", 6)
		last := owners[len(owners)-1]
		before := w.countDowntimes(last, "lasting", 6)
		at := slices.IndexFunc(w.workers, func(info cottonlanding.WorkerInfo) bool { return w.runner.RunsOn(info.ID) > 0 })
		lost := w.runner.RunsOn(w.workers[at].ID)
		w.crash(at)
		w.join()
		w.awaitAll("lasting", 6)
		require.Equal(t, before+lost, w.countDowntimes(last, "lasting", 6))
		for index := range 6 {
			ref := cottonlanding.TaskRef{Workflow: "lasting", Index: index}
			for number, owner := range owners {
				down, again := countLogged(t, owner, downMessages, ref), countLogged(t, owner, againMessages, ref)
				require.Contains(t, []int{0, 1}, down-again, fmt.Sprintf("owner %d, %s", number, ref))
				if number == len(owners)-1 {
					require.Equal(t, down, again, ref.String())
				}
			}
		}
	})
}

// TestDelegatedTaskLogsDowntime guards against a downtime whose end is not logged because the task was delegated:
// both the delegator and the delegate cell log it.
func TestDelegatedTaskLogsDowntime(t *testing.T) {
	n := newMultiCell(t, 2, 2)
	logs := []*bytes.Buffer{n.cells[0].captureLog(), n.cells[1].captureLog()}
	n.turn(100)
	n.cells[0].submit("l", "Bulk", lastingCores(16)) // all of its cell
	for range 5 {
		n.turn(100)
	}
	n.cells[0].runner.Crash(n.cells[0].workers[0].ID)
	var lost []cottonlanding.TaskRef
	for index := range 16 {
		if !n.cells[0].runs("l", index) {
			lost = append(lost, cottonlanding.TaskRef{Workflow: "l", Index: index})
		}
	}
	require.Len(t, lost, 8)
	for turns := 0; n.cells[0].runner.Lasting() < 16; turns++ {
		require.Less(t, cottonlanding.Millis(100*turns), timing.Lease+otherCellRestartTimeout)
		n.turn(100)
	}
	n.turn(100)
	n.turn(100)
	for _, ref := range lost {
		for cell, log := range logs {
			require.Equal(t, 1, countLogged(t, log, downMessages, ref), "cell %d", cell)
			require.Equal(t, 1, countLogged(t, log, againMessages, ref), "cell %d", cell)
		}
	}
	taken := logLines(t, logs[1], downMessages...)
	require.Len(t, taken, 1, "all eight at once")
	require.Equal(t, "0", taken[0]["Keeper"])
	for _, line := range logLines(t, logs[0], againMessages...) {
		require.Equal(t, "1", line["GuestCell"])
	}
}
