package planner_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
)

// TestWorkflowsEndDespiteFaults lets orders, answers, workers and owners fail in random order and checks that no task
// runs twice and that every accepted workflow becomes final.
func TestWorkflowsEndDespiteFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		submitted := 0
		fault := func() string {
			return rapid.SampledFrom([]string{"", "", "", "lost", "late", "unanswered"}).Draw(t, "Fault")
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				submitted++
				step := cottonlanding.Step{
					Tasks:     rapid.IntRange(1, 5).Draw(t, "Tasks"),
					Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte},
					Estimate:  500,
				}
				second := step
				second.After = []int{0}
				queue := rapid.SampledFrom([]cottonlanding.QueueName{"Urgent", "Bulk"}).Draw(t, "Queue")
				if rapid.IntRange(0, 4).Draw(t, "Lasting") == 0 {
					step.Lasting = true
					w.submit(cottonlanding.WorkflowID(fmt.Sprintf("l%d", submitted)), queue, step)
					return
				}
				w.submit(cottonlanding.WorkflowID(fmt.Sprintf("b%d", submitted)), queue, step, second)
			},
			"cancel": func(t *rapid.T) {
				if submitted > 0 {
					id := cottonlanding.WorkflowID(fmt.Sprintf("b%d", rapid.IntRange(1, submitted).Draw(t, "Which")))
					w.cell.Cancel(id, w.now, func(error) {})
				}
			},
			"wait":   func(t *rapid.T) { w.now += cottonlanding.Millis(rapid.IntRange(10, 2500).Draw(t, "Wait")) },
			"begin":  func(*rapid.T) { w.makePlan() },
			"commit": func(*rapid.T) { w.commit() },
			"commitUnanswered": func(*rapid.T) {
				if w.makePlan(); w.plan != nil {
					w.apply()
					w.takeOver()
				}
			},
			"takeOver": func(*rapid.T) { w.takeOver() },
			"orders":   func(*rapid.T) { w.orders(fault) },
			"late": func(t *rapid.T) {
				if len(w.late) > 0 {
					at := rapid.IntRange(0, len(w.late)-1).Draw(t, "Which")
					_, _ = w.send(w.late[at])
					w.late = slices.Delete(w.late, at, at+1)
				}
			},
			"look": func(t *rapid.T) {
				at := rapid.IntRange(0, len(w.workers)-1).Draw(t, "Worker")
				w.poll(w.workers[at].ID, rapid.IntRange(0, 3).Draw(t, "Answered") > 0)
			},
			"crash": func(t *rapid.T) {
				at := rapid.IntRange(0, len(w.workers)-1).Draw(t, "Worker")
				w.runner.Crash(w.workers[at].ID)
				w.workers = slices.Delete(slices.Clone(w.workers), at, at+1)
				w.addWorker()
				w.cell.SetWorkers(slices.Clone(w.workers), w.now)
			},
			"dark": func(t *rapid.T) {
				at := rapid.IntRange(0, len(w.workers)-1).Draw(t, "Worker")
				w.runner.Dark(w.workers[at].ID, rapid.Bool().Draw(t, "Dark"))
			},
			"": func(t *rapid.T) {
				require.Empty(t, w.runner.Violations())
			},
		})
		for _, worker := range w.workers {
			w.runner.Dark(worker.ID, false)
		}
		for range 4 {
			w.commit()
		}
		for number := range submitted { // otherwise lasting tasks may hold all the room
			w.cell.Cancel(cottonlanding.WorkflowID(fmt.Sprintf("l%d", number+1)), w.now, func(error) {})
		}
		w.settle()
		require.Empty(t, w.runner.Violations())
		require.Zero(t, w.runner.Running())
		for id := range w.accepted {
			state, found := w.cell.State(id)
			require.True(t, found, "workflow %s is lost", id)
			if id[0] == 'b' {
				require.True(t, state.Final(), "workflow %s is still %s", id, state)
			}
		}
	})
}

// TestLateOwnerPollsBeforeLapse guards against an owner that takes over late and starts tasks again that succeeded in
// the meantime. It must learn of these ends from the workers before it treats their leases as expired.
func TestLateOwnerPollsBeforeLapse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 4 {
			w.turn(50)
		}
		tasks := rapid.IntRange(1, 4).Draw(t, "Tasks")
		w.submit("b", "Urgent", cottonlanding.Step{Tasks: tasks, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}, Estimate: 500})
		w.decide(50)
		w.decide(50)
		require.Equal(t, tasks, w.runner.Starts())
		ended := w.now
		w.now += cottonlanding.Millis(rapid.IntRange(5000, 30_000).Draw(t, "Away"))
		w.takeOverFrom(ended)
		for range rapid.IntRange(1, 5).Draw(t, "Turns") {
			w.decide(50)
		}
		w.pollAll()
		w.settle()
		require.Equal(t, tasks, w.runner.Starts(), "a finished task was started again")
	})
}

// TestLateEndCounts guards against a task that runs again although the run that was given up succeeded and its worker
// has reported that.
func TestLateEndCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		dark := func(dark bool) {
			for _, worker := range w.workers {
				w.runner.Dark(worker.ID, dark)
			}
		}
		for range 4 {
			w.turn(50)
		}
		tasks := rapid.IntRange(1, 4).Draw(t, "Tasks")
		w.submit("b", "Urgent", cottonlanding.Step{Tasks: tasks, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}, Estimate: 500})
		w.turn(50)
		w.turn(50)
		require.Equal(t, tasks, w.runner.Starts())
		dark(true)
		for range rapid.IntRange(130, 200).Draw(t, "Turns") { // a lease takes 125 turns at most
			w.turn(50)
		}
		dark(false)
		w.settle()
		require.Equal(t, tasks, w.runner.Starts(), "a finished task was started again")
		state, _ := w.cell.State("b")
		require.Equal(t, cottonlanding.WorkflowSucceeded, state)
	})
}

// TestStartToLeavingWorkerIsDropped guards against starting a run on a worker that has announced its leaving while the
// commit of the placement was in flight.
func TestStartToLeavingWorkerIsDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 4 {
			w.turn(50)
		}
		w.submit("b", "Bulk", cottonlanding.Step{Tasks: 8, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}, Estimate: 500})
		w.makePlan() // placed, with its commit in flight
		for at := range w.workers {
			w.workers[at].State = cottonlanding.Leaving
		}
		w.cell.SetWorkers(slices.Clone(w.workers), w.now)
		if rapid.Bool().Draw(t, "Early") {
			w.commit()
			w.cell.Decide(w.now, int64(w.now))
		} else {
			w.cell.Decide(w.now, int64(w.now))
			w.commit()
		}
		w.now += 2000
		w.cell.Decide(w.now, int64(w.now))
		w.orders(func() string { return "" })
		require.Zero(t, w.runner.Starts())
	})
}

// TestBulkChangeCommitsAmongUrgentOnes guards against the change of a less urgent job that is never committed because
// more urgent changes always fill the transaction.
func TestBulkChangeCommitsAmongUrgentOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		step := cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}, Estimate: 500}
		w.submit("bulk", "Bulk", step)
		plans := 0
		for ; !w.accepted["bulk"]; plans++ {
			require.Less(t, plans, 8, "the less urgent workflow is never accepted")
			for number := range rapid.IntRange(60, 100).Draw(t, "Urgent") {
				w.submit(cottonlanding.WorkflowID(fmt.Sprintf("u%d-%d", plans, number)), "Urgent", step)
			}
			w.now += 20
			w.commit()
		}
	})
}

// TestRepeatedStopRulesOutRun guards against a run that its worker has ruled out but that is never given up, because
// its stop is repeated more often than the worker is polled.
func TestRepeatedStopRulesOutRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.timing.StopTimeout = cottonlanding.Millis(rapid.IntRange(100, 900).Draw(t, "StopTimeout"))
		w.takeOver()
		turn := func(fault string) {
			w.now += 50
			w.commit()
			w.orders(func() string { return fault })
		}
		const pollTime = 800 // milliseconds for which a worker holds back its answer
		pollWorkers := func() {
			for _, worker := range w.workers {
				next, _ := w.cell.NextPoll(worker.ID, w.now-pollTime)
				report, err := w.runner.Poll(context.Background(), next.Worker, next.Poll)
				require.NoError(t, err)
				w.cell.PollAnswered(next, report, w.now-pollTime, w.now)
			}
		}
		w.now += pollTime
		pollWorkers()
		w.submit("b", "Urgent", cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}, Estimate: 500})
		turn("lost") // it may have been started
		for range 8 {
			turn("refused") // it must be ruled out
		}
		for number := range 120 {
			turn("")
			if number%(pollTime/50) == 0 {
				pollWorkers()
			}
		}
		require.Equal(t, 1, w.runner.Starts(), "the task never ran")
	})
}
