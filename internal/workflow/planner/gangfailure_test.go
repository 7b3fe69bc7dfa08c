package planner_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/stand/runner"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// gangMembers is the size of the gangs below: more than the attempts of their queue, so that a gang whose members' ends count one by
// one has none left after its first failed run.
const gangMembers = 4

// gangOf returns the members of the first step of a workflow.
func gangOf(id cottonlanding.WorkflowID) []cottonlanding.TaskRef {
	var out []cottonlanding.TaskRef
	for index := range gangMembers {
		out = append(out, cottonlanding.TaskRef{Workflow: id, Index: index})
	}
	return out
}

// newGangWorld returns a world whose gangs fail in their first failingRuns runs. Their members end apart after the first, each by the
// given span after the one before.
func newGangWorld(t *testing.T, failingRuns cottonlanding.RunNumber, apart cottonlanding.Millis) *world {
	w := newOwnedWorld(t)
	w.fates = func(key cottonlanding.RunKey) runner.Fate {
		return runner.Fate{Lasts: 300 + apart*cottonlanding.Millis(key.Task.Index), Fails: key.Number <= failingRuns}
	}
	w.play(cottonlanding.Second)
	return w
}

// submitGang submits a gang of which as many members fit on one worker as given.
func (w *world) submitGang(perWorker int) {
	cpu := cottonlanding.Millicores(8000 / perWorker)
	w.submit("gang", "Bulk", cottonlanding.Step{Tasks: gangMembers, Gang: true, Estimate: 300, Resources: cottonlanding.Resources{CPU: cpu, Memory: cottonlanding.Gigabyte}})
}

// playGang plays turns until the gang's workflow is final, and returns its state.
func (w *world) playGang(eachTurn func()) cottonlanding.WorkflowState {
	for range 600 {
		w.turn(turnSpan)
		eachTurn()
		require.Empty(w.t, w.runner.Violations())
		if state, _ := w.cell.State("gang"); state.Final() {
			return state
		}
	}
	require.Fail(w.t, "the gang's workflow does not end")
	return ""
}

// TestGangFailsOnceARun guards against a gang that has no attempt left after one failed run, because each member's end counts as an
// attempt of the gang.
func TestGangFailsOnceARun(t *testing.T) {
	for name, variant := range map[string]struct {
		perWorker int
		apart     cottonlanding.Millis
	}{
		"one answer":                  {gangMembers, 0},
		"several answers":             {gangMembers, 200},
		"several workers":             {1, 0},
		"several workers and answers": {1, 200},
	} {
		t.Run(name, func(t *testing.T) {
			w := newGangWorld(t, 1, variant.apart)
			w.submitGang(variant.perWorker)
			require.Equal(t, cottonlanding.WorkflowSucceeded, w.playGang(func() {}))
			require.Equal(t, 1, w.runner.FailedRuns(gangOf("gang")...))
		})
	}
}

// TestFailingGangUsesUpItsAttempts guards against a gang that fails in all its runs and gets more of them than its queue allows, or
// fewer.
func TestFailingGangUsesUpItsAttempts(t *testing.T) {
	for _, perWorker := range []int{1, gangMembers} {
		w := newGangWorld(t, 100, 200)
		w.submitGang(perWorker)
		require.Equal(t, cottonlanding.WorkflowFailed, w.playGang(func() {}))
		require.Equal(t, 2, w.runner.FailedRuns(gangOf("gang")...))
		require.Equal(t, 2*gangMembers, w.runner.Starts())
	}
}

// TestGangFailsOnceAcrossOwners guards against the same with another owner between the ends of two members: what is stored must say
// whether the run has counted.
func TestGangFailsOnceAcrossOwners(t *testing.T) {
	for after := range gangMembers {
		w := newGangWorld(t, 1, 200)
		w.submitGang(1)
		changed := false
		state := w.playGang(func() {
			if ended := gangMembers - w.runner.Running(); !changed && w.runner.Starts() == gangMembers && ended > after {
				changed = true
				w.commit()
				w.takeOverFrom(w.now)
			}
		})
		require.True(t, changed)
		require.Equal(t, cottonlanding.WorkflowSucceeded, state, "another owner after %d ends", after+1)
	}
}

// TestGangFailsBesideLostMember guards against a failed run that counts twice, or not at all, because another member of it is lost
// with its worker or ends late.
func TestGangFailsBesideLostMember(t *testing.T) {
	for _, failingRuns := range []cottonlanding.RunNumber{1, 100} {
		for _, span := range []cottonlanding.Millis{500, 8 * cottonlanding.Second} {
			w := newGangWorld(t, failingRuns, 200)
			w.submitGang(1)
			silent := false
			state := w.playGang(func() {
				if !silent && w.runner.Starts() == gangMembers {
					silent = true
					w.runner.Dark("w4", true)
				}
				if silent && w.now >= 2*cottonlanding.Second+span {
					w.runner.Dark("w4", false)
				}
			})
			if failingRuns == 1 {
				require.Equal(t, cottonlanding.WorkflowSucceeded, state, "silent for %s", span)
				continue
			}
			require.Equal(t, cottonlanding.WorkflowFailed, state, "silent for %s", span)
			require.Equal(t, 2, w.runner.FailedRuns(gangOf("gang")...), "silent for %s", span)
		}
	}
}

// TestGangRowsOfOlderOwners guards against a gang that has no attempt left because an owner of older code has counted a failure of
// each member, also of those that were still to end.
func TestGangRowsOfOlderOwners(t *testing.T) {
	for name, tasks := range map[string]string{
		"all have ended":    `["",1,"",1],["",1,"",1],["",1,"",1],["",1,"",1]`,
		"one has ended":     `["",1,"",1],["A",1,"w2",1],["A",1,"w3",1],["A",1,"w4",1]`,
		"two have ended":    `["",1,"",2],["",1,"",2],["A",1,"w3",2],["A",1,"w4",2]`,
		"in the second run": `["",2,"",2],["A",2,"w2",2],["A",2,"w3",2],["A",2,"w4",2]`,
	} {
		t.Run(name, func(t *testing.T) {
			w := newGangWorld(t, 2, 0)
			w.submit("gang", "Urgent", cottonlanding.Step{Tasks: gangMembers, Gang: true, Estimate: 300, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}})
			w.commit()
			row := w.rows[planner.StateKey(partition, "gang")]
			row.Value = []byte(`{"State":"Running","Placed":true,"Begun":true,"Rounds":1,"Tasks":[` + tasks + `]}`)
			w.rows[row.Key] = row
			w.takeOver()
			require.Equal(t, cottonlanding.WorkflowSucceeded, w.playGang(func() {}))
		})
	}
}

// TestFailedWorkflowsHadTheirAttempts plays random gangs and tasks that fail in some runs while workers are silent and owners change,
// and checks that a workflow shows as failed exactly if a gang or task of it has failed as often as its queue allows.
func TestFailedWorkflowsHadTheirAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newOwnedWorld(t)
		fails := make(map[cottonlanding.RunKey]bool)
		lasts := make(map[cottonlanding.RunKey]cottonlanding.Millis)
		w.fates = func(key cottonlanding.RunKey) runner.Fate {
			if _, drawn := lasts[key]; !drawn {
				fails[key] = rapid.Bool().Draw(t, "Fails")
				lasts[key] = cottonlanding.Millis(rapid.IntRange(100, 1200).Draw(t, "Lasts"))
			}
			return runner.Fate{Lasts: lasts[key], Fails: fails[key]}
		}
		w.play(cottonlanding.Second)
		history := newAttemptHistory(w, t)
		w.onStart = history.checkStart
		for range rapid.IntRange(1, 12).Draw(t, "Events") {
			history.happen()
			for range rapid.IntRange(1, 30).Draw(t, "Turns") {
				w.turn(100)
			}
			require.Empty(t, w.runner.Violations())
		}
		for _, info := range w.workers {
			w.runner.Dark(info.ID, false)
		}
		w.settle()
		history.checkStates()
	})
}

// attemptHistory plays gangs and tasks that may fail, and knows the attempts of each.
type attemptHistory struct {
	*world
	t         *rapid.T
	submitted map[cottonlanding.WorkflowID]cottonlanding.Step
	attempts  map[cottonlanding.WorkflowID]int
}

func newAttemptHistory(w *world, t *rapid.T) *attemptHistory {
	return &attemptHistory{world: w, t: t, submitted: make(map[cottonlanding.WorkflowID]cottonlanding.Step), attempts: make(map[cottonlanding.WorkflowID]int)}
}

func (h *attemptHistory) happen() {
	id := h.workers[rapid.IntRange(0, len(h.workers)-1).Draw(h.t, "Worker")].ID
	switch rapid.IntRange(0, 5).Draw(h.t, "Event") {
	case 0, 1:
		h.submitRandom()
	case 2:
		h.runner.Dark(id, true)
	case 3:
		h.runner.Dark(id, false)
	case 4:
		h.takeOverFrom(h.now + ownerGoneAfter)
	case 5:
		h.commit()
		h.takeOverFrom(h.now + ownerGoneAfter)
	}
}

func (h *attemptHistory) submitRandom() {
	queue := rapid.SampledFrom([]cottonlanding.QueueName{"Urgent", "Bulk"}).Draw(h.t, "Queue")
	step := cottonlanding.Step{
		Tasks: rapid.IntRange(1, 5).Draw(h.t, "Tasks"), Gang: rapid.Bool().Draw(h.t, "Gang"), Estimate: 500,
		Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte},
	}
	id := cottonlanding.WorkflowID(fmt.Sprintf("b%d", len(h.submitted)))
	h.submitted[id], h.attempts[id] = step, h.queues.Queues[queue].Attempts
	h.submit(id, queue, step)
}

// units returns the tasks of a workflow by what fails together: its gang, or each task.
func (h *attemptHistory) units(id cottonlanding.WorkflowID) [][]cottonlanding.TaskRef {
	var tasks []cottonlanding.TaskRef
	var units [][]cottonlanding.TaskRef
	for index := range h.submitted[id].Tasks {
		task := cottonlanding.TaskRef{Workflow: id, Index: index}
		tasks = append(tasks, task)
		units = append(units, []cottonlanding.TaskRef{task})
	}
	if h.submitted[id].Gang {
		return [][]cottonlanding.TaskRef{tasks}
	}
	return units
}

// mostFailedRuns returns the most failed runs of a unit of the workflow by a count of the runner.
func (h *attemptHistory) mostFailedRuns(id cottonlanding.WorkflowID, count func(...cottonlanding.TaskRef) int) int {
	most := 0
	for _, unit := range h.units(id) {
		most = max(most, count(unit...))
	}
	return most
}

func (h *attemptHistory) checkStart(order planner.Order) {
	id := order.Start.Task.Workflow
	require.Less(h.t, h.mostFailedRuns(id, h.runner.NotedFailedRuns), h.attempts[id], "%s starts again", id)
}

func (h *attemptHistory) checkStates() {
	for id := range h.accepted {
		state, found := h.cell.State(id)
		require.True(h.t, found)
		require.True(h.t, state.Final(), "%s is %s", id, state)
		if state == cottonlanding.WorkflowFailed {
			require.GreaterOrEqual(h.t, h.mostFailedRuns(id, h.runner.FailedRuns), h.attempts[id], "%s shows as failed", id)
		}
	}
}
