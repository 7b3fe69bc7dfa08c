package planner_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

func shortStep() cottonlanding.Step {
	return cottonlanding.Step{Tasks: 2, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}, Estimate: 500}
}

// cancelCommitted cancels a workflow and commits until that is answered.
func (w *world) cancelCommitted(id cottonlanding.WorkflowID) error {
	answered := false
	var answer error
	w.cell.Cancel(id, w.now, func(err error) { answered, answer = true, err })
	for turn := 0; !answered && turn < 10; turn++ {
		w.commit()
	}
	require.True(w.t, answered)
	return answer
}

// submitCommitted submits a workflow and commits until that is answered.
func (w *world) submitCommitted(id cottonlanding.WorkflowID) error {
	answered := false
	var answer error
	w.cell.Submit(cottonlanding.Workflow{ID: id, Queue: "Urgent", Steps: []cottonlanding.Step{shortStep()}}, w.now,
		func(err error) { answered, answer = true, err })
	for turn := 0; !answered && turn < 10; turn++ {
		w.commit()
	}
	require.True(w.t, answered)
	return answer
}

// TestSubmissionAfterItsCancelIsRefused guards against a task that starts after its client was told that there is no such
// workflow: the submission came later than the cancel, at the same owner or at a successor.
func TestSubmissionAfterItsCancelIsRefused(t *testing.T) {
	for _, owners := range []int{0, 1, 2} {
		t.Run(fmt.Sprintf("%d later owners", owners), func(t *testing.T) {
			w := newWorld(t)
			require.ErrorIs(t, w.cancelCommitted("late"), cottonlanding.ErrNotFound)
			for range owners {
				w.takeOver()
				w.turn(100)
			}
			require.ErrorIs(t, w.submitCommitted("late"), cottonlanding.ErrNotFound)
			require.NoError(t, w.submitCommitted("other"))
			w.settle()
			require.Equal(t, 2, w.runner.Starts(), "only the tasks of the other workflow start")
			_, found := w.cell.State("late")
			require.False(t, found)
		})
	}
}

// TestReferralAfterCancelIsRefused guards against a late workflow that its home refers to another cell although it was
// cancelled at the home.
func TestReferralAfterCancelIsRefused(t *testing.T) {
	w := newWorld(t)
	require.ErrorIs(t, w.cancelCommitted("late"), cottonlanding.ErrNotFound)
	var answer error
	w.cell.Refer("late", 3, w.now, func(err error) { answer = err })
	require.ErrorIs(t, answer, cottonlanding.ErrNotFound)
	_, found := w.cell.Referral("late")
	require.False(t, found)
}

// TestWithdrawalIsAnsweredOnceCommitted guards against a cancel that is acknowledged and then forgotten, as the owner was
// lost before its commit.
func TestWithdrawalIsAnsweredOnceCommitted(t *testing.T) {
	w := newWorld(t)
	var answers []error
	note := func(err error) { answers = append(answers, err) }
	w.cell.Cancel("late", w.now, note)
	w.makePlan()
	w.cell.Cancel("late", w.now, note) // while the first is being committed
	require.Empty(t, answers)
	w.takeOver()
	require.Len(t, answers, 2)
	for _, err := range answers {
		require.ErrorIs(t, err, cottonlanding.ErrAmbiguous)
	}
	require.NoError(t, w.submitCommitted("late"), "nobody was told that it is cancelled")
}

// TestCancelsOfUnknownWorkflowsAreBounded guards against a cell whose rows, memory or commits grow with each cancel of an
// id that never existed, and against one that forgets an acknowledged cancel for want of room.
func TestCancelsOfUnknownWorkflowsAreBounded(t *testing.T) {
	const most, asked = 2000, 5000
	w := newWorld(t)
	acknowledged, refused := 0, 0
	for number := range asked {
		w.cell.Cancel(cottonlanding.WorkflowID(fmt.Sprintf("never%d", number)), w.now, func(err error) {
			if _, retry := cottonlanding.RetryAfter(err); retry {
				require.ErrorIs(t, err, cottonlanding.ErrBusy)
				refused++
				return
			}
			require.ErrorIs(t, err, cottonlanding.ErrNotFound)
			acknowledged++
		})
	}
	require.NoError(t, w.submitCommitted("ordinary"), "it is committed beside the flood")
	require.NoError(t, w.cancelCommitted("ordinary"), "a known workflow is cancelled")
	for range most {
		w.commit()
	}
	require.Equal(t, most, acknowledged)
	require.Equal(t, asked-most, refused)
	require.ErrorIs(t, w.cancelCommitted("never7"), cottonlanding.ErrNotFound, "a repeated cancel needs no room")
	require.ErrorIs(t, w.submitCommitted("never7"), cottonlanding.ErrNotFound)

	w.now += timing.Retention + 1
	for range most {
		w.commit()
	}
	require.ErrorIs(t, w.cancelCommitted("new"), cottonlanding.ErrNotFound, "there is room again")
	require.NoError(t, w.submitCommitted("never7"), "a withdrawal is kept as long as a final workflow")
	require.Less(t, len(w.rows), 20, "the rows are deleted")
}

// TestLateSubmissionsNeverStart plays histories in which submissions come late, repeatedly or at a later owner, beside
// cancels of the same workflows, with owners that end before, during and after their commits. It guards against a task
// that starts after its cancel was acknowledged.
func TestLateSubmissionsNeverStart(t *testing.T) {
	ids := []cottonlanding.WorkflowID{"a", "b", "c", "d", "e"}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		cancelled, submitted := make(map[cottonlanding.WorkflowID]bool), make(map[cottonlanding.WorkflowID]bool)
		fault := func() string { return rapid.SampledFrom([]string{"", "", "lost", "unanswered"}).Draw(t, "Fault") }
		w.onStart = func(order planner.Order) {
			id := order.Start.Task.Workflow
			require.False(t, cancelled[id], "workflow %s starts after its cancel was acknowledged", id)
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				id := rapid.SampledFrom(ids).Draw(t, "ID")
				w.cell.Submit(cottonlanding.Workflow{ID: id, Queue: "Urgent", Steps: []cottonlanding.Step{shortStep()}}, w.now, func(err error) {
					if err == nil {
						submitted[id] = true
					}
				})
			},
			"cancel": func(t *rapid.T) {
				id := rapid.SampledFrom(ids).Draw(t, "ID")
				w.cell.Cancel(id, w.now, func(err error) {
					if err == nil || errors.Is(err, cottonlanding.ErrNotFound) {
						cancelled[id] = true
					}
				})
			},
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
			"wait":     func(t *rapid.T) { w.now += cottonlanding.Millis(rapid.IntRange(10, 2500).Draw(t, "Wait")) },
			"polls":    func(*rapid.T) { w.pollAll() },
			"": func(t *rapid.T) {
				require.Empty(t, w.runner.Violations())
				for id := range submitted {
					_, found := w.cell.State(id)
					require.True(t, found, "workflow %s is lost", id)
				}
			},
		})
	})
}
