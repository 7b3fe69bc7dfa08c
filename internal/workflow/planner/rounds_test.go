package planner_test

import (
	"fmt"
	"testing"

	"github.com/cottonlanding/cottonlanding"
)

// A workflow's row held the tasks of all its rounds, those that are over too, and only the tasks of
// one round are bounded when it's handed in. So one client's schedule made a row that the table refused,
// and with it the owner lost its cell, as did each one after it. Rounds whose first time lies
// far back are due all at once.
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
