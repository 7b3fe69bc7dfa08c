package planner_test

import (
	"fmt"
	"testing"

	"github.com/cottonlanding/cottonlanding"
)

// TestRowsOfManyRoundsFit guards against a schedule whose state row outgrows the table's limit because it lists the
// tasks of all rounds, finished ones included. Admission bounds only the tasks of one round, and all rounds are due at
// once if the first time is long past. The table refuses such a row, and each owner loses the cell with it.
func TestRowsOfManyRoundsFit(t *testing.T) {
	for _, one := range []struct{ tasks, rounds int }{{1, 30_000}, {1000, 30}} {
		t.Run(fmt.Sprintf("%d rounds of %d", one.rounds, one.tasks), func(t *testing.T) {
			cell := cellOf("Q")
			workflow := cottonlanding.Workflow{
				ID: "many", Queue: "Q",
				Steps:    []cottonlanding.Step{{Tasks: one.tasks, Resources: cottonlanding.Resources{CPU: 1}}},
				Schedule: cottonlanding.Schedule{Interval: 1000, Rounds: one.rounds},
			}
			cell.Submit(workflow, 1000, func(error) {}) // it may be refused
			for now := cottonlanding.Millis(1000); now < 3000; now += 1000 {
				cell.Decide(now, 1_750_000_000_000)
				commitWithinLimit(t, cell, now)
			}
		})
	}
}
