package planner_test

import (
	"slices"
	"strings"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// rowSimulation simulates one cell and the workers of one service, each of which ends all that it starts by the
// next poll, and checks the length of each row.
type rowSimulation struct {
	t       require.TestingT
	now     cottonlanding.Millis
	cell    *planner.Cell
	epoch   cottonlanding.Epoch
	workers []cottonlanding.WorkerInfo
	rows    map[cottonlanding.Key]cottonlanding.Row
	version cottonlanding.Version
	// runs holds what each worker runs, ends all that has ended, seen how many of these ends an owner has recorded.
	runs map[cottonlanding.WorkerID][]cottonlanding.RunKey
	ends map[cottonlanding.WorkerID][]cottonlanding.RunEnd
	seen map[cottonlanding.WorkerID]uint64
	// starts counts the starts of each task, kind is how the runs end; if it is empty, they go on.
	starts map[cottonlanding.TaskRef]int
	kind   cottonlanding.EndKind
	// stopped is a task all of whose runs are stopped, unless it is nil.
	stopped *cottonlanding.TaskRef
}

func newRowSimulation(t require.TestingT, ids ...cottonlanding.WorkerID) *rowSimulation {
	p := &rowSimulation{
		t: t, now: 1000, kind: cottonlanding.EndDone,
		rows:   make(map[cottonlanding.Key]cottonlanding.Row),
		runs:   make(map[cottonlanding.WorkerID][]cottonlanding.RunKey),
		ends:   make(map[cottonlanding.WorkerID][]cottonlanding.RunEnd),
		seen:   make(map[cottonlanding.WorkerID]uint64),
		starts: make(map[cottonlanding.TaskRef]int),
	}
	p.workers = rowWorkers(ids...)
	p.takeOver()
	return p
}

func rowWorkers(ids ...cottonlanding.WorkerID) []cottonlanding.WorkerInfo {
	var out []cottonlanding.WorkerInfo
	for _, id := range ids {
		out = append(out, cottonlanding.WorkerInfo{ID: id, Born: 1_750_000_000_000, Address: cottonlanding.Address(id), Service: "S",
			State: cottonlanding.Live, Capacity: cottonlanding.Resources{CPU: 1000}})
	}
	return out
}

// replaceWorkers replaces all workers by others.
func (p *rowSimulation) replaceWorkers(ids ...cottonlanding.WorkerID) {
	p.workers = rowWorkers(ids...)
	p.cell.SetWorkers(p.workers, p.now)
}

// takeOver makes a new owner from the committed rows.
func (p *rowSimulation) takeOver() {
	p.epoch++
	p.cell = planner.New(planner.Setup{Partition: partition, Epoch: p.epoch, BeforeUntil: p.now}, timing, selector.Default().Planner, discardLog())
	p.cell.SetQueues(cottonlanding.Queues{Version: 1, Queues: map[cottonlanding.QueueName]cottonlanding.Queue{"Q": {Name: "Q", Service: "S", Attempts: 3}}})
	p.cell.SetWorkers(p.workers, p.now)
	var specs, states []cottonlanding.Row
	for key, row := range p.rows {
		if strings.HasPrefix(string(key), string(planner.SpecKey(partition, ""))) {
			specs = append(specs, row)
			continue
		}
		states = append(states, row)
	}
	require.NoError(p.t, p.cell.Load(specs, states, p.now))
}

// commit decides and commits, and checks the length of each row.
func (p *rowSimulation) commit() {
	p.cell.Decide(p.now, int64(p.now))
	plan := p.cell.Plan(p.now)
	if plan == nil {
		return
	}
	p.version++
	for _, write := range plan.Writes {
		require.LessOrEqual(p.t, len(write.Value), maxValueBytes, "the table refuses %s", write.Key)
		p.rows[write.Key] = cottonlanding.Row{Key: write.Key, Version: p.version, Value: write.Value}
	}
	p.cell.Committed(plan, p.version)
}

// crash has a worker come back in another life, which knows nothing of the previous one.
func (p *rowSimulation) crash(at int) {
	p.workers = slices.Clone(p.workers)
	p.workers[at].Born++
	id := p.workers[at].ID
	delete(p.runs, id)
	delete(p.ends, id)
	delete(p.seen, id)
}

func progressOf(runs []cottonlanding.RunKey) []cottonlanding.RunProgress {
	var out []cottonlanding.RunProgress
	for _, key := range runs {
		out = append(out, cottonlanding.RunProgress{RunKey: key, Percent: 100})
	}
	return out
}

// order executes all orders: starts run from now on.
func (p *rowSimulation) order() {
	for _, order := range p.cell.Orders(p.now) {
		if id := order.Worker.Life.Worker; order.Verb == planner.VerbStart {
			p.starts[order.Start.Task]++
			p.runs[id] = append(p.runs[id], order.Start.RunKey)
		}
		p.cell.OrderAnswered(order, cottonlanding.Reading(p.now), nil, p.now)
	}
}

// poll polls all workers; what they ran before has ended.
func (p *rowSimulation) poll() {
	for _, worker := range p.workers {
		next, found := p.cell.NextPoll(worker.ID, p.now)
		if !found || next.After > 0 {
			continue
		}
		report := cottonlanding.RunReport{Born: worker.Born, Reading: cottonlanding.Reading(p.now)}
		if p.kind == "" {
			report.Running = progressOf(p.runs[worker.ID])
			p.cell.PollAnswered(next, report, p.now, p.now)
			continue
		}
		for _, key := range p.runs[worker.ID] {
			serial := uint64(len(p.ends[worker.ID]) + 1)
			end := cottonlanding.RunEnd{RunKey: key, Serial: serial, Kind: p.kind}
			if p.stopped != nil && key.Task == *p.stopped {
				end.Kind = cottonlanding.EndStopped
			}
			p.ends[worker.ID] = append(p.ends[worker.ID], end)
		}
		delete(p.runs, worker.ID)
		p.seen[worker.ID] = max(p.seen[worker.ID], next.Poll.Seen)
		ended := p.ends[worker.ID][min(p.seen[worker.ID], uint64(len(p.ends[worker.ID]))):] // Seen may be of the previous life
		report.Ended = ended[:min(len(ended), 500)]
		p.cell.PollAnswered(next, report, p.now, p.now)
	}
}

func (p *rowSimulation) turn() {
	p.now += 100
	p.commit()
	p.order()
	p.poll()
}

// playUntilDone lets turns pass, with another owner now and then, until the workflow has succeeded.
func (p *rowSimulation) playUntilDone(id cottonlanding.WorkflowID, turns int) {
	for at := range turns {
		p.turn()
		if state, _ := p.cell.State(id); state == cottonlanding.WorkflowSucceeded {
			return
		}
		if at%7 == 6 {
			p.commit() // what was listed
			p.takeOver()
		}
	}
	require.Fail(p.t, "not finished", "%s hasn't succeeded, %d tasks have begun", id, len(p.starts))
}

func (p *rowSimulation) requireAccepted(workflow cottonlanding.Workflow) {
	var answered bool
	p.cell.Submit(workflow, p.now, func(err error) {
		require.NoError(p.t, err)
		answered = true
	})
	p.commit()
	require.True(p.t, answered)
}

// plainStep returns a step of equal tasks.
func plainStep(tasks int) cottonlanding.Step {
	return cottonlanding.Step{Tasks: tasks, Resources: cottonlanding.Resources{CPU: 1}, Estimate: 100}
}
