package planner_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// TestDelegatedTasksRunExactlyOnce plays random histories of three cells: tasks are delegated to any cell, with room or
// without; requests and responses get lost or arrive late; workers crash and fall silent; owners change with a commit
// in flight; workflows are cancelled. It guards against tasks that run twice, start long after their workflow was
// cancelled or stay down once all faults have ended, and against remains of cancelled workflows in any cell.
func TestDelegatedTasksRunExactlyOnce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const maxTasks = 30 // of the 48 that fit while all workers are up
		n := newMultiCell(t, 3, 2)
		homes := make(map[cottonlanding.WorkflowID]int)
		tasks := make(map[cottonlanding.WorkflowID]int)
		const first, wide = cottonlanding.WorkflowID("l0"), 20 // of which 16 fit into the first cell
		sum := wide
		homes[first], tasks[first] = 0, wide
		n.turn(100)
		n.cells[0].submit(first, "Bulk", lastingCores(wide))
		for range 8 {
			n.cells[0].turn(100)
			n.syncClocks()
		}
		cellOf := func(t *rapid.T) int { return rapid.IntRange(0, len(n.cells)-1).Draw(t, "Cell") }
		fault := func() string {
			return rapid.SampledFrom([]string{"", "", "", "", "lost", "late", "unanswered", "overdue"}).Draw(t, "Fault")
		}
		orderFault := func() string {
			return rapid.SampledFrom([]string{"", "", "", "", "lost", "late", "unanswered"}).Draw(t, "OrderFault")
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				step := lastingCores(rapid.IntRange(1, 12).Draw(t, "Tasks"))
				if sum += step.Tasks; sum > maxTasks {
					sum -= step.Tasks
					return
				}
				id := cottonlanding.WorkflowID(fmt.Sprintf("l%d", len(homes)))
				homes[id], tasks[id] = cellOf(t), step.Tasks
				n.cells[homes[id]].submit(id, "Bulk", step)
			},
			"cancel": func(t *rapid.T) {
				id := cottonlanding.WorkflowID(fmt.Sprintf("l%d", rapid.IntRange(0, 5).Draw(t, "Which")))
				if home, known := homes[id]; known && rapid.IntRange(0, 3).Draw(t, "Really") == 0 {
					n.cancel(home, id)
				}
			},
			"wait": func(t *rapid.T) { n.wait(cottonlanding.Millis(rapid.IntRange(10, 2500).Draw(t, "Wait"))) },
			"turn": func(*rapid.T) { n.turn(100) },
			"turnOne": func(t *rapid.T) {
				n.cells[cellOf(t)].turn(100)
				n.syncClocks()
			},
			"delegate": func(t *rapid.T) {
				cell := cellOf(t)
				n.delegate(cell, func(planner.DelegableTask) (int, bool) {
					to := cellOf(t)
					return to, to != cell
				})
			},
			"ask":    func(t *rapid.T) { n.ask(cellOf(t), fault) },
			"askAll": func(*rapid.T) { n.ask(0, fault); n.ask(1, fault); n.ask(2, fault) },
			"lateQuestion": func(t *rapid.T) {
				if len(n.late) > 0 {
					at := rapid.IntRange(0, len(n.late)-1).Draw(t, "Which")
					sent := n.late[at]
					n.cells[sent.to].cell.HandleDelegationRequest(sent.request, n.cells[sent.to].now)
					if rapid.Bool().Draw(t, "Once") {
						n.late = slices.Delete(n.late, at, at+1)
					}
				}
			},
			"lateAnswer": func(*rapid.T) {
				if len(n.overdue) > 0 {
					sent := n.overdue[0]
					n.overdue = n.overdue[1:]
					n.cells[sent.delegator].cell.RecordDelegationResponse(cottonlanding.CellNumber(sent.from), sent.response, n.cells[sent.delegator].now)
				}
			},
			"begin":  func(t *rapid.T) { n.cells[cellOf(t)].makePlan() },
			"commit": func(t *rapid.T) { n.cells[cellOf(t)].commit() },
			"commitUnanswered": func(t *rapid.T) {
				cell := cellOf(t)
				if w := n.cells[cell]; w.plan != nil {
					w.apply()
					n.takeOver(cell)
				}
			},
			"takeOver": func(t *rapid.T) { n.takeOver(cellOf(t)) },
			"orders":   func(t *rapid.T) { n.cells[cellOf(t)].orders(orderFault) },
			"looks":    func(t *rapid.T) { n.cells[cellOf(t)].pollAll() },
			"crash": func(t *rapid.T) {
				w := n.cells[cellOf(t)]
				at := rapid.IntRange(0, len(w.workers)-1).Draw(t, "Worker")
				w.runner.Crash(w.workers[at].ID)
				w.workers = slices.Delete(slices.Clone(w.workers), at, at+1)
				w.addWorker()
				w.cell.SetWorkers(slices.Clone(w.workers), w.now)
			},
			"dark": func(t *rapid.T) {
				w := n.cells[cellOf(t)]
				at := rapid.IntRange(0, len(w.workers)-1).Draw(t, "Worker")
				w.runner.Dark(w.workers[at].ID, rapid.Bool().Draw(t, "Dark"))
			},
			"": func(t *rapid.T) { n.check(t) },
		})
		n.deliverLate()
		for _, w := range n.cells {
			for _, worker := range w.workers {
				w.runner.Dark(worker.ID, false)
			}
			for _, order := range w.late {
				_, _ = w.send(order)
			}
			w.late = nil
		}
		for range 4 * otherCellRestartTimeout / 100 { // leases may have to expire first
			n.turn(100)
			n.check(t)
		}
		expected := 0
		for id, home := range homes {
			state, known := n.cells[home].cell.State(id)
			if known && !state.Final() {
				expected += tasks[id]
			}
		}
		require.Equal(t, expected, n.cells[0].runner.Lasting(), "each task must run once")
		for cell, w := range n.cells {
			require.Zero(t, w.cell.Waiting("Bulk"), "what waits in cell %d", cell)
		}
		for id, home := range homes {
			n.cancel(home, id)
		}
		for range 100 {
			n.turn(100)
			n.check(t)
		}
		require.Zero(t, n.cells[0].runner.Running(), "cancelled workflows must leave no runs")
		for _, w := range n.cells {
			require.False(t, w.cell.HasDelegations())
		}
	})
}

// TestInterruptedTaskLeavesFullCell guards against a lasting task that has lost its worker and waits in its full cell
// beside cells with room. It must run there in time, also if owners on either side change meanwhile.
func TestInterruptedTaskLeavesFullCell(t *testing.T) {
	for at := 60; at < 90; at++ { // from just before the lease of the lost worker expires
		change := at % 3
		n := newMultiCell(t, 2, 2)
		n.turn(100)
		n.cells[0].submit("l", "Bulk", lastingCores(16)) // fills its cell
		for range 5 {
			n.turn(100)
		}
		require.Equal(t, 16, n.cells[0].runner.Lasting())
		n.cells[0].runner.Crash(n.cells[0].workers[0].ID)
		turns := 0
		for ; n.cells[0].runner.Lasting() < 16; turns++ {
			require.Less(t, cottonlanding.Millis(100*turns), timing.Lease+otherCellRestartTimeout, "owner changed: %d", change)
			n.turn(100)
			if turns == at && change < len(n.cells) {
				n.takeOver(change)
			}
		}
		n.check(t)
	}
}

// TestTaskReturnsFromFullDelegateCell guards against a delegated task that stays in a delegate cell which has filled up
// meanwhile. The task must return at once and run in a third cell.
func TestTaskReturnsFromFullDelegateCell(t *testing.T) {
	n := newMultiCell(t, 3, 2)
	n.turn(100)
	n.cells[0].submit("l", "Bulk", lastingCores(16))
	n.cells[1].submit("lfull", "Bulk", lastingCores(16))
	for range 5 {
		n.turn(100)
	}
	require.Equal(t, 32, n.cells[0].runner.Lasting())
	n.cells[0].runner.Crash(n.cells[0].workers[0].ID)
	chosen := n.choose
	sent := 0
	n.choose = func(cell int) func(planner.DelegableTask) (int, bool) {
		return func(task planner.DelegableTask) (int, bool) {
			if sent == 8 {
				return chosen(cell)(task)
			}
			sent++
			return 1, true
		}
	}
	for turns := 0; n.cells[0].runner.Lasting() < 32; turns++ {
		require.Less(t, cottonlanding.Millis(100*turns), timing.Lease+otherCellRestartTimeout)
		n.turn(100)
	}
	require.Equal(t, 8, sent)
	n.check(t)
}

// newDelegatedTasks returns two cells of which the second is to run four tasks of the first, and the request for that.
func newDelegatedTasks(t *testing.T) (*multiCell, planner.DelegationRequest) {
	n := newMultiCell(t, 2, 2)
	n.turn(100)
	n.cells[0].submit("l", "Bulk", lastingCores(20)) // of which 16 fit
	for range 12 {
		n.cells[0].turn(100)
		n.syncClocks()
	}
	n.delegate(0, func(planner.DelegableTask) (int, bool) { return 1, true })
	n.cells[0].commit()
	asked := n.cells[0].cell.Delegations()[1]
	require.Len(t, asked, 1)
	require.Len(t, asked[0].Tasks, 4)
	return n, planner.DelegationRequest{Delegator: 0, Workflows: asked}
}

// runsIn counts the runs on a cell's workers.
func (n *multiCell) runsIn(cell int) int {
	sum := 0
	for _, worker := range n.cells[cell].workers {
		sum += n.cells[cell].runner.RunsOn(worker.ID)
	}
	return sum
}

// exchange sends a request to the second cell and its response to the first.
func (n *multiCell) exchange(request planner.DelegationRequest) planner.DelegationResponse {
	response := n.cells[1].cell.HandleDelegationRequest(request, n.cells[1].now)
	n.cells[0].cell.RecordDelegationResponse(1, response, n.cells[0].now)
	return response
}

// TestLateRequestIsIgnored guards against a cell that accepts a task again after it has returned it, on a request sent
// before: the delegator may have started the task by then.
func TestLateRequestIsIgnored(t *testing.T) {
	n, request := newDelegatedTasks(t)
	n.cells[1].submit("lfull", "Bulk", lastingCores(16))
	n.cells[1].turn(100)
	n.cells[1].turn(100)
	request.Last = n.exchange(request).Stamp
	n.exchange(request) // confirms that the workflow is open
	n.cells[1].turn(cottonlanding.Second)
	request.Last = n.exchange(request).Stamp
	n.cells[1].turn(cottonlanding.Second) // they wait without room until they are returned
	n.cells[1].turn(100)
	returned := n.exchange(request)
	require.Len(t, returned.Reports[0].Tasks, 4)
	require.True(t, returned.Reports[0].Tasks[0].Returned)
	n.cells[1].cell.Cancel("lfull", n.cells[1].now, func(error) {})
	n.syncClocks()
	for range 10 {
		n.cells[1].turn(100)
		request.Last = n.cells[1].cell.HandleDelegationRequest(request, n.cells[1].now).Stamp
	}
	require.Equal(t, 16, n.cells[0].runner.Lasting(), "only those of the first cell must run")
}

// TestReturnIsReportedAfterCommit guards against an owner that reports the return of a task and is lost before it has
// committed it, so that the next owner runs the task as well.
func TestReturnIsReportedAfterCommit(t *testing.T) {
	n, request := newDelegatedTasks(t)
	n.cells[1].submit("lfull", "Bulk", lastingCores(16))
	n.cells[1].turn(100)
	n.cells[1].turn(100)
	request.Last = n.exchange(request).Stamp
	n.exchange(request)
	n.cells[1].commit()
	n.cells[1].now += cottonlanding.Second
	request.Last = n.exchange(request).Stamp
	n.exchange(request)
	n.cells[1].makePlan() // the plan contains the return
	for _, report := range n.exchange(request).Reports {
		require.Empty(t, report.Tasks)
	}
	n.cells[1].apply()
	n.takeOver(1)
	require.True(t, n.exchange(request).Reports[0].Tasks[0].Returned)
}

// TestStartsNeedDelegatorConfirmation guards against a delegate cell that starts tasks of a workflow which a silent
// delegator may have cancelled. Running tasks continue, interrupted ones wait.
func TestStartsNeedDelegatorConfirmation(t *testing.T) {
	n, request := newDelegatedTasks(t)
	for range 3 {
		request.Last = n.exchange(request).Stamp
		n.cells[1].turn(100)
	}
	require.Equal(t, 4, n.runsIn(1))
	n.cells[1].now += 2 * cottonlanding.Second
	id := n.cells[1].workers[0].ID
	n.cells[0].runner.Crash(id)
	n.cells[1].workers = n.cells[1].workers[1:]
	n.cells[1].addWorker()
	n.cells[1].cell.SetWorkers(slices.Clone(n.cells[1].workers), n.cells[1].now)
	left := n.runsIn(1)
	require.Less(t, left, 4)
	for range 20 + timing.Lease/100 {
		n.cells[1].turn(100)
	}
	require.Equal(t, left, n.runsIn(1))
	n.syncClocks()
	for range 3 {
		request.Last = n.exchange(request).Stamp
		n.cells[1].turn(100)
	}
	require.Equal(t, 4, n.runsIn(1), "must run once the delegator has confirmed")
}

// TestWaitingTasksTakeTurnsToLeave guards against waiting tasks that are never considered for other cells because the
// same ones before them, which fit nowhere, are considered each time.
func TestWaitingTasksTakeTurnsToLeave(t *testing.T) {
	const tasks, room, most = 40, 16, 10
	n := newMultiCell(t, 1, 2)
	n.turn(100)
	n.cells[0].submit("l0", "Bulk", lastingCores(tasks))
	for range 20 {
		n.turn(100)
	}
	weighed := make(map[cottonlanding.TaskRef]bool)
	for range 3 {
		for _, task := range n.cells[0].cell.DelegableTasks(most, func(cottonlanding.WorkflowID) bool { return true }, n.cells[0].now) {
			weighed[task.Ref] = true
		}
	}
	require.Len(t, weighed, tasks-room)
}

// TestInterruptedTasksLeaveFirst guards against tasks that never ran taking the little room of other cells from those
// that have lost their worker.
func TestInterruptedTasksLeaveFirst(t *testing.T) {
	const tasks, perWorker = 40, 8
	n := newMultiCell(t, 1, 2)
	n.turn(100)
	n.cells[0].submit("l0", "Bulk", lastingCores(tasks))
	for range 20 {
		n.turn(100)
	}
	n.cells[0].runner.Crash(n.cells[0].workers[0].ID)
	for range 100 {
		n.turn(100)
	}
	for range 2 {
		first := n.cells[0].cell.DelegableTasks(perWorker, func(cottonlanding.WorkflowID) bool { return true }, n.cells[0].now)
		require.Len(t, first, perWorker)
		for _, task := range first {
			require.Less(t, task.Ref.Index, 2*perWorker, "must have run before")
		}
	}
}
