package planner_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// absentLabel is a label that no worker has.
const absentLabel cottonlanding.Label = "Absent"

// notBegun counts the committed, unfinished workflows of a queue of which no worker has begun a task.
func (w *world) notBegun(queue cottonlanding.QueueName, queueOf map[cottonlanding.WorkflowID]cottonlanding.QueueName) int {
	count := 0
	for id, at := range queueOf {
		state, known := w.cell.State(id)
		if known && !state.Final() && at == queue && !w.runner.HasBegun(id) {
			count++
		}
	}
	return count
}

// TestPlacedWorkflowWaitsUntilBegun guards against a count of waiting workflows that falls when tasks are placed,
// although their workers accept no start.
func TestPlacedWorkflowWaitsUntilBegun(t *testing.T) {
	const workflows = 30 // of the 32 for which there is room
	for _, fault := range []string{"lost", "late", "refused"} {
		for _, ownerChanges := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, owner changes: %t", fault, ownerChanges), func(t *testing.T) {
				w := newSpreadWorld(t)
				queueOf := make(map[cottonlanding.WorkflowID]cottonlanding.QueueName)
				w.turn(100)
				for number := range workflows {
					id := cottonlanding.WorkflowID(fmt.Sprintf("slow%d", number))
					queueOf[id] = "Bulk"
					w.submit(id, "Bulk", cottonlanding.Step{Tasks: 1, Resources: lastingCore.Resources, Estimate: slowDuration})
				}
				for turn := range 30 {
					w.now += 100
					w.commit()
					w.orders(func() string { return fault })
					w.pollAll()
					if ownerChanges && turn == 10 {
						w.takeOver()
					}
					require.Zero(t, w.runner.Starts())
					require.Equal(t, workflows, w.cell.Waiting("Bulk"), "turn %d", turn)
				}
				for _, order := range w.late[:len(w.late)/2] {
					_, _ = w.send(order)
				}
				w.pollAll()
				require.Equal(t, w.notBegun("Bulk", queueOf), w.cell.Waiting("Bulk"), "after a poll")
				for range 20 {
					w.turn(100)
				}
				require.Equal(t, workflows, w.runner.Starts())
				require.Zero(t, w.cell.Waiting("Bulk"), "all workflows have begun")
			})
		}
	}
}

// TestAnyWorkerReportEndsWaiting guards against a workflow that counts as waiting after a worker has answered its
// start, listed its run or listed the end of that, also if the run was given up before. The next owner must know of an
// end from the row.
func TestAnyWorkerReportEndsWaiting(t *testing.T) {
	unanswered := func() string { return "unanswered" }
	for name, tell := range map[string]func(*world){
		"start answered": func(w *world) { w.orders(func() string { return "" }) },
		"run listed": func(w *world) {
			w.orders(unanswered)
			require.Equal(t, 1, w.cell.Waiting("Bulk"))
			w.pollAll()
		},
		"end listed": func(w *world) {
			w.orders(unanswered)
			w.now += w.timing.Lease
			w.pollAll()
			w.commit()
			w.takeOver()
		},
		"end listed late": func(w *world) {
			w.orders(unanswered)
			w.silenceAll(true)
			w.now += 4 * w.timing.Lease
			w.commit()
			require.Equal(t, 1, w.cell.Waiting("Bulk"))
			w.silenceAll(false)
			w.now += cottonlanding.Second
			w.pollAll()
			w.commit()
			w.takeOver()
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSpreadWorld(t)
			w.turn(100)
			w.submit("l", "Bulk", lastingCore)
			w.commit()
			require.Equal(t, 1, w.cell.Waiting("Bulk"))
			tell(w)
			require.Equal(t, 1, w.runner.Starts())
			require.Zero(t, w.cell.Waiting("Bulk"))
		})
	}
}

// TestGangWaitsForAllMembers guards against a workflow that counts as begun while its gang waits for members whose
// starts are lost. The tasks of a gang begin together.
func TestGangWaitsForAllMembers(t *testing.T) {
	const members = 3
	for answered := range members {
		for _, how := range []string{"", "unanswered"} {
			t.Run(fmt.Sprintf("%d of %d, %q", answered, members, how), func(t *testing.T) {
				w := newSpreadWorld(t)
				w.turn(100)
				w.submit("slow", "Bulk", cottonlanding.Step{Tasks: members, Resources: lastingCore.Resources, Estimate: slowDuration, Gang: true})
				w.commit()
				sent := 0
				w.orders(func() string {
					sent++
					if sent > answered {
						return "lost"
					}
					return how
				})
				require.Equal(t, members, sent)
				for range 3 {
					w.now += 50
					w.commit()
					w.pollAll()
					require.Equal(t, answered, w.runner.Running())
					require.Equal(t, 1, w.cell.Waiting("Bulk"))
				}
				for range 20 {
					w.turn(100)
				}
				require.Equal(t, members, w.runner.Running())
				require.Zero(t, w.cell.Waiting("Bulk"))
			})
		}
	}
}

// silenceAll makes all workers unreachable while their runs continue, or reachable again.
func (w *world) silenceAll(silent bool) {
	for _, worker := range w.workers {
		w.runner.Dark(worker.ID, silent)
	}
}

// TestWaitingCountUnderFaults plays random sequences of lost, late and refused orders, crashing and silent workers, and
// changes of owner. The count of waiting workflows must never be lower than the number of those that no worker has
// begun, and equal to it once the faults are over.
func TestWaitingCountUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		queues := []cottonlanding.QueueName{"Urgent", "Bulk"}
		queueOf := make(map[cottonlanding.WorkflowID]cottonlanding.QueueName)
		cancelled := make(map[cottonlanding.WorkflowID]bool)
		lasting := 0
		fault := func() string {
			return rapid.SampledFrom([]string{"", "", "lost", "late", "unanswered", "refused"}).Draw(t, "Fault")
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				step := cottonlanding.Step{
					Tasks:     rapid.IntRange(1, 3).Draw(t, "Tasks"),
					Resources: cottonlanding.Resources{CPU: 1000, Memory: cottonlanding.Gigabyte},
					Estimate:  500,
				}
				id := cottonlanding.WorkflowID(fmt.Sprintf("b%d", len(queueOf)))
				switch rapid.SampledFrom([]string{"short", "lasting", "gang", "unfit"}).Draw(t, "Kind") {
				case "lasting":
					if lasting += step.Tasks; lasting > 8 { // the others must find room beside them
						return
					}
					step.Lasting = true
					id = cottonlanding.WorkflowID(fmt.Sprintf("l%d", len(queueOf)))
				case "gang":
					step.Gang = true
				case "unfit":
					step.Requires = absentLabel
				}
				queueOf[id] = rapid.SampledFrom(queues).Draw(t, "Queue")
				w.submit(id, queueOf[id], step)
			},
			"cancel": func(t *rapid.T) {
				id := cottonlanding.WorkflowID(fmt.Sprintf("b%d", rapid.IntRange(0, 20).Draw(t, "Which")))
				if queueOf[id] != "" {
					cancelled[id] = true
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
				known := make(map[cottonlanding.WorkflowID]cottonlanding.QueueName)
				for id, queue := range queueOf {
					if !cancelled[id] { // it may be unknown yet whether a cancellation is committed
						known[id] = queue
					}
				}
				for _, queue := range queues {
					require.GreaterOrEqual(t, w.cell.Waiting(queue), w.notBegun(queue, known), "queue %s", queue)
				}
			},
		})
		for _, worker := range w.workers {
			w.runner.Dark(worker.ID, false)
		}
		w.settle()
		for _, queue := range queues {
			require.Equal(t, w.notBegun(queue, queueOf), w.cell.Waiting(queue), "queue %s", queue)
		}
	})
}

// TestOlderRowsPinPlacedWorkflows guards against handing over a workflow that an owner of an older version has placed.
// Owners of both versions read each other's rows. Whether the workflow has begun is known once a worker reports it, or
// from its tasks in the row.
func TestOlderRowsPinPlacedWorkflows(t *testing.T) {
	const older = `{"State":"Running","Begun":true,"Rounds":1,"Tasks":[%s]}`
	for name, one := range map[string]struct {
		tasks   string
		waiting int
	}{
		"placed":          {`["A",1,"w1"],["",0]`, 1},
		"placed once":     {`["",1],["",0]`, 1},
		"done":            {`["D"],["",0]`, 0},
		"has failed":      {`["",1,"",1],["",0]`, 0},
		"has outlived":    {`["A",1,"w1",0,"",0,-1],["",0]`, 0},
		"has checkpoints": {`["",1,"",0,"text"],["",0]`, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			step := lastingCores(2)
			step.Checkpoints = true
			w.submit("slow", "Bulk", step)
			w.commit()
			key := planner.StateKey(partition, "slow")
			w.rows[key] = cottonlanding.Row{Key: key, Version: w.rows[key].Version, Value: fmt.Appendf(nil, older, one.tasks)}
			w.takeOver()
			w.now += cottonlanding.Minute
			require.Equal(t, one.waiting, w.cell.Waiting("Bulk"))
			require.Empty(t, w.cell.HandOverCandidates(1, w.now))
		})
	}
}

// olderRow is the part of a state row that older versions read.
type olderRow struct{ Begun bool }

// TestRowPinsPlacedWorkflow guards against an owner of an older version that hands over a workflow whose start is in
// flight.
func TestRowPinsPlacedWorkflow(t *testing.T) {
	w := newWorld(t)
	w.turn(100)
	w.submit("l", "Bulk", lastingCore)
	w.commit()
	require.True(t, w.rowOf("l").Begun)
	require.Equal(t, 1, w.cell.Waiting("Bulk"))
	w.takeOver()
	w.now += cottonlanding.Minute
	require.Empty(t, w.cell.HandOverCandidates(1, w.now))
	require.Equal(t, 1, w.cell.Waiting("Bulk"))
	w.pollAll()
	w.turn(100)
	require.Equal(t, 1, w.runner.Running())
	require.Zero(t, w.cell.Waiting("Bulk"))
}

// rowOf returns a workflow's row as an older version reads it.
func (w *world) rowOf(id cottonlanding.WorkflowID) olderRow {
	var row olderRow
	require.NoError(w.t, json.Unmarshal(w.rows[planner.StateKey(partition, id)].Value, &row))
	return row
}

// TestDelegatedWorkflowWaitsAtDelegator guards against a workflow that is counted as waiting by no cell, or by two,
// while its tasks are delegated and none has begun.
func TestDelegatedWorkflowWaitsAtDelegator(t *testing.T) {
	n := newMultiCell(t, 2, 2)
	n.turn(100)
	n.cells[0].submit("lfull", "Bulk", lastingCores(16)) // all of its cell
	n.cells[0].turn(100)
	n.cells[0].turn(100)
	n.cells[0].submit("l", "Bulk", lastingCores(4))
	for range 10 {
		n.cells[0].turn(100)
		n.syncClocks()
	}
	begun := func() bool { return n.cells[0].runner.HasBegun("l") }
	require.False(t, begun())
	require.Equal(t, 1, n.cells[0].cell.Waiting("Bulk"))
	for turns := 0; n.cells[0].cell.Waiting("Bulk") > 0; turns++ {
		require.Less(t, turns, 20)
		n.turn(100)
		require.Zero(t, n.cells[1].cell.Waiting("Bulk"))
		require.True(t, begun() || n.cells[0].cell.Waiting("Bulk") == 1)
	}
	require.True(t, begun())
}
