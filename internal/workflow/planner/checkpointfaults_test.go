package planner_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
)

// TestCheckpointsAmongFaults guards against starts with wrong checkpoints among lost, late and retried orders,
// workers that are back under their ids, rows that are written and loaded by the next owner, and commits without an
// answer. The workflows have several steps and rounds, and their tasks fail once. Each start passes no checkpoint
// or one of its own task or gang, and all starts of a run and of its gang pass the same.
func TestCheckpointsAmongFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorldWithBirths(t)
		w.checkpoints = newCheckpointRecorder()
		w.timing.MaxLease = w.timing.Lease + 4*cottonlanding.Second
		w.runner.CutLeases(w.timing.MaxLease)
		w.takeOver()
		submitted := 0
		worker := func() int { return rapid.IntRange(0, len(w.workers)-1).Draw(t, "Worker") }
		fault := func() string {
			return rapid.SampledFrom([]string{"", "", "", "lost", "late", "unanswered"}).Draw(t, "Fault")
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				submitted++
				id := cottonlanding.WorkflowID(fmt.Sprintf("%s%d", failOncePrefix, submitted))
				rounds := rapid.IntRange(0, 3).Draw(t, "Rounds")
				w.submitRounds(id, rounds, drawSteps(t)...)
			},
			"turn":   func(*rapid.T) { w.turn(turnSpan) },
			"wait":   func(t *rapid.T) { w.now += cottonlanding.Millis(rapid.IntRange(10, 600).Draw(t, "Wait")) },
			"commit": func(*rapid.T) { w.commit() },
			"orders": func(*rapid.T) { w.orders(fault) },
			"looks":  func(*rapid.T) { w.pollAll() },
			"rebirth": func(*rapid.T) {
				w.restartWorker(worker())
				w.dropLateOrders()
			},
			"relist":  func(*rapid.T) { w.relist() },
			"dark":    func(t *rapid.T) { w.runner.Dark(w.workers[worker()].ID, rapid.Bool().Draw(t, "Dark")) },
			"written": func(*rapid.T) { w.touchAll() },
			"next owner": func(*rapid.T) {
				w.takeOver()
			},
			"commit unanswered": func(*rapid.T) {
				if w.makePlan(); w.plan != nil {
					w.apply()
					w.takeOver()
				}
			},
			"late": func(*rapid.T) {
				if len(w.late) > 0 {
					_, _ = w.send(w.late[0])
					w.late = w.late[1:]
				}
			},
			"": func(t *rapid.T) { require.Empty(t, w.checkpoints.faults) },
		})
		w.settle()
		require.Empty(t, w.checkpoints.faults)
	})
}

// drawSteps returns up to four steps, each with or without checkpoints, each a gang or not.
func drawSteps(t *rapid.T) []cottonlanding.Step {
	steps := make([]cottonlanding.Step, rapid.IntRange(1, 4).Draw(t, "Steps"))
	for at := range steps {
		steps[at] = quick(rapid.IntRange(1, 3).Draw(t, "Tasks"))
		steps[at].Checkpoints = rapid.Bool().Draw(t, "Checkpoints")
		if steps[at].Gang = rapid.Bool().Draw(t, "Gang"); steps[at].Gang {
			steps[at].Tasks = 2 // each fails once, and three failures are too many
		}
		if at > 0 && rapid.Bool().Draw(t, "After") {
			steps[at].After = []int{at - 1}
		}
	}
	return steps
}
