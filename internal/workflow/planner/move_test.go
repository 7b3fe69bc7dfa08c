package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// moveTimeout is how long a filling task may be paused while another worker could run it: about half the run time
// of filling tasks, since a workflow waits for its last task.
const moveTimeout = cottonlanding.Second

// TestPausedFillingTaskMoves guards against a filling task that stays paused beside a serving one over its latency
// target, so that its workflow finishes late: it must be stopped soon and continue where there is room.
func TestPausedFillingTaskMoves(t *testing.T) {
	now := cottonlanding.Millis(1000)
	cell := planner.New(planner.Setup{Partition: partition, Epoch: 1, BeforeUntil: now}, timing, selector.Default().Planner, discardLog())
	cell.SetQueues(cottonlanding.Queues{Version: 1, Queues: map[cottonlanding.QueueName]cottonlanding.Queue{
		"Serve": {Name: "Serve", Service: "S", Attempts: 3}, "Fill": {Name: "Fill", Service: "S", Priority: 2, Attempts: 2},
	}})
	var list []cottonlanding.WorkerInfo
	for _, id := range []cottonlanding.WorkerID{"w1", "w2"} {
		list = append(list, cottonlanding.WorkerInfo{ID: id, Address: cottonlanding.Address(id), Service: "S", State: cottonlanding.Live,
			Capacity: cottonlanding.Resources{CPU: 16000, Memory: cottonlanding.Gigabyte}})
	}
	cell.SetWorkers(list, now)
	running := make(map[cottonlanding.WorkerID][]cottonlanding.RunProgress)
	version := cottonlanding.Version(0)
	stopped := cottonlanding.Millis(0)
	pausedAt := cottonlanding.Millis(0)
	turn := func(ids ...cottonlanding.WorkerID) {
		now += 100
		for _, id := range ids {
			if next, found := cell.NextPoll(id, now); found && next.After == 0 {
				cell.PollAnswered(next, cottonlanding.RunReport{Reading: cottonlanding.Reading(now), Running: running[id]}, now, now)
			}
		}
		cell.Decide(now, int64(now))
		if plan := cell.Plan(now); plan != nil {
			version++
			cell.Committed(plan, version)
		}
		for _, order := range cell.Orders(now) {
			switch id := order.Worker.Life.Worker; {
			case order.Verb == planner.VerbStart:
				running[id] = append(running[id], cottonlanding.RunProgress{RunKey: order.Start.RunKey, Percent: 100, Used: 2000, Tail: 30})
			case order.Verb == planner.VerbPace && order.Percent == 0 && pausedAt == 0:
				pausedAt = now
			case order.Verb == planner.VerbStop && stopped == 0:
				stopped = now
			}
			cell.OrderAnswered(order, cottonlanding.Reading(now), nil, now)
		}
	}
	submit := func(id cottonlanding.WorkflowID, queue cottonlanding.QueueName, step cottonlanding.Step) {
		step.Tasks = 1
		step.Resources.CPU = 2000
		cell.Submit(cottonlanding.Workflow{ID: id, Queue: queue, Steps: []cottonlanding.Step{step}}, now, func(error) {})
	}
	for range 3 {
		turn("w1") // the other worker doesn't answer yet, so that both tasks are placed here
	}
	submit("serving", "Serve", cottonlanding.Step{Lasting: true, Image: "s", LatencyTarget: 150})
	turn("w1")
	submit("filling", "Fill", cottonlanding.Step{Fills: true, Image: "f", Checkpoints: true, Estimate: 2200})
	for range 5 {
		turn("w1")
	}
	require.Len(t, running["w1"], 2)
	running["w1"][0].Tail = 600
	for range 30 {
		turn("w1", "w2")
	}
	require.NotZero(t, pausedAt)
	require.NotZero(t, stopped)
	t.Logf("paused at %d, stopped at %d", pausedAt, stopped)
	require.LessOrEqual(t, stopped-pausedAt, moveTimeout)
}
