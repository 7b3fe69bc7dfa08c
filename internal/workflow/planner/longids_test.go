package planner_test

import (
	"strings"
	"testing"

	"github.com/cottonlanding/cottonlanding"
)

// TestRowsWithLongWorkerIDsFit guards against a state row that outgrows the table's limit when its tasks are placed.
// The row holds the worker's id for each placed task, and ids have up to 200 bytes: with ids of 60 bytes a large
// workflow was accepted while its row was short, and the owner lost the cell with the commit of the placements.
func TestRowsWithLongWorkerIDsFit(t *testing.T) {
	const tasks, idLength = 1000, 60
	worker := cottonlanding.WorkerInfo{
		ID: cottonlanding.WorkerID(strings.Repeat("i", idLength)), Born: 1_750_000_000_000, Address: "a", Service: "S", State: cottonlanding.Live,
		Capacity: cottonlanding.Resources{CPU: tasks},
	}
	cell := cellOf("Q")
	cell.SetWorkers([]cottonlanding.WorkerInfo{worker}, 1000)
	step := cottonlanding.Step{Tasks: tasks, Resources: cottonlanding.Resources{CPU: 1}, Lasting: true}
	// Submit may refuse the workflow.
	cell.Submit(cottonlanding.Workflow{ID: "large", Queue: "Q", Steps: []cottonlanding.Step{step}}, 1000, func(error) {})
	for now := cottonlanding.Millis(1000); now < 4000; now += 100 {
		if next, found := cell.NextPoll(worker.ID, now); found {
			cell.PollAnswered(next, cottonlanding.RunReport{Born: worker.Born, Reading: cottonlanding.Reading(now)}, now, now)
		}
		cell.Decide(now, 1_750_000_000_000)
		commitWithinLimit(t, cell, now)
	}
}
