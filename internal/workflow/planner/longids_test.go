package planner_test

import (
	"strings"
	"testing"

	"github.com/cottonlanding/cottonlanding"
)

// A row holds the id of the worker of each task that is placed. Ids are keys of the platform's, of up to 200 bytes;
// with such of 60 the row of a large workflow, all of whose tasks run, was longer than the table takes. It was
// accepted when it was short, and the owner lost its cell with the commit of its placements.
func TestRowsWithLongWorkerIDsFit(t *testing.T) {
	const tasks, idLength = 1000, 60
	worker := cottonlanding.WorkerInfo{
		ID: cottonlanding.WorkerID(strings.Repeat("i", idLength)), Born: 1_750_000_000_000, Address: "a", Service: "S", State: cottonlanding.Live,
		Capacity: cottonlanding.Resources{CPU: tasks},
	}
	cell := cellOf("Q")
	cell.SetWorkers([]cottonlanding.WorkerInfo{worker}, 1000)
	step := cottonlanding.Step{Tasks: tasks, Resources: cottonlanding.Resources{CPU: 1}, Lasting: true}
	cell.Submit(cottonlanding.Workflow{ID: "large", Queue: "Q", Steps: []cottonlanding.Step{step}}, 1000, func(error) {}) // it may be refused
	for now := cottonlanding.Millis(1000); now < 4000; now += 100 {
		if next, found := cell.NextPoll(worker.ID, now); found {
			cell.PollAnswered(next, cottonlanding.RunReport{Born: worker.Born, Reading: cottonlanding.Reading(now)}, now, now)
		}
		cell.Decide(now, 1_750_000_000_000)
		commitWithinLimit(t, cell, now)
	}
}
