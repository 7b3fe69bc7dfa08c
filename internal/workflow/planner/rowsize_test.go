package planner_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// rowPlay plays one cell and the workers of one service, each of which ends all that it starts by the next
// look, and checks the length of each row.
type rowPlay struct {
	t       *testing.T
	now     cottonlanding.Millis
	cell    *planner.Cell
	epoch   cottonlanding.Epoch
	workers []cottonlanding.WorkerInfo
	rows    map[cottonlanding.Key]cottonlanding.Row
	version cottonlanding.Version
	// runs holds what each worker runs, ends all that has ended, seen how many of these an owner has
	// taken note of.
	runs map[cottonlanding.WorkerID][]cottonlanding.RunKey
	ends map[cottonlanding.WorkerID][]cottonlanding.RunEnd
	seen map[cottonlanding.WorkerID]uint64
	// starts counts the starts of each task, kind is how the runs end.
	starts map[cottonlanding.TaskRef]int
	kind   cottonlanding.EndKind
}

func newRowPlay(t *testing.T, ids ...cottonlanding.WorkerID) *rowPlay {
	p := &rowPlay{
		t: t, now: 1000, kind: cottonlanding.EndDone,
		rows:   make(map[cottonlanding.Key]cottonlanding.Row),
		runs:   make(map[cottonlanding.WorkerID][]cottonlanding.RunKey),
		ends:   make(map[cottonlanding.WorkerID][]cottonlanding.RunEnd),
		seen:   make(map[cottonlanding.WorkerID]uint64),
		starts: make(map[cottonlanding.TaskRef]int),
	}
	for _, id := range ids {
		p.workers = append(p.workers, cottonlanding.WorkerInfo{ID: id, Born: 1_750_000_000_000, Address: cottonlanding.Address(id), Service: "S",
			State: cottonlanding.Live, Capacity: cottonlanding.Resources{CPU: 1000}})
	}
	p.takeOver()
	return p
}

// takeOver makes a new owner from the committed rows.
func (p *rowPlay) takeOver() {
	p.epoch++
	p.cell = planner.New(planner.Setup{Partition: partition, Epoch: p.epoch, BeforeUntil: p.now}, timing, selector.Default().Planner, quiet())
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

// commit decides and commits, and checks each row.
func (p *rowPlay) commit() {
	p.cell.Decide(p.now, int64(p.now))
	plan := p.cell.Plan(p.now)
	if plan == nil {
		return
	}
	p.version++
	for _, write := range plan.Writes {
		require.LessOrEqual(p.t, len(write.Value), maxRow, "the table refuses %s", write.Key)
		p.rows[write.Key] = cottonlanding.Row{Key: write.Key, Version: p.version, Value: write.Value}
	}
	p.cell.Committed(plan, p.version)
}

// order takes all orders: starts run from now on.
func (p *rowPlay) order() {
	for _, order := range p.cell.Orders(p.now) {
		if id := order.Worker.Life.Worker; order.Verb == planner.VerbStart {
			p.starts[order.Start.Task]++
			p.runs[id] = append(p.runs[id], order.Start.RunKey)
		}
		p.cell.Ordered(order, cottonlanding.Reading(p.now), nil, p.now)
	}
}

// look asks all workers; what they ran before has ended.
func (p *rowPlay) look() {
	for _, worker := range p.workers {
		next, found := p.cell.NextLook(worker.ID, p.now)
		if !found || next.After > 0 {
			continue
		}
		report := cottonlanding.RunReport{Born: worker.Born, Reading: cottonlanding.Reading(p.now)}
		for _, key := range p.runs[worker.ID] {
			serial := uint64(len(p.ends[worker.ID]) + 1)
			p.ends[worker.ID] = append(p.ends[worker.ID], cottonlanding.RunEnd{RunKey: key, Serial: serial, Kind: p.kind})
		}
		delete(p.runs, worker.ID)
		p.seen[worker.ID] = max(p.seen[worker.ID], next.Look.Seen)
		ended := p.ends[worker.ID][p.seen[worker.ID]:]
		report.Ended = ended[:min(len(ended), 500)]
		p.cell.Looked(next, report, p.now, p.now)
	}
}

func (p *rowPlay) turn() {
	p.now += 100
	p.commit()
	p.order()
	p.look()
}

// playUntilDone plays turns, with another owner now and then, until the workflow has succeeded.
func (p *rowPlay) playUntilDone(id cottonlanding.WorkflowID, turns int) {
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
	p.t.Fatalf("%s hasn't succeeded, %d tasks have begun", id, len(p.starts))
}

func (p *rowPlay) requireAccepted(workflow cottonlanding.Workflow) {
	var answered bool
	p.cell.Submit(workflow, p.now, func(err error) {
		require.NoError(p.t, err)
		answered = true
	})
	p.commit()
	require.True(p.t, answered)
}

// step returns a step of equal tasks.
func plainStep(tasks int) cottonlanding.Step {
	return cottonlanding.Step{Tasks: tasks, Resources: cottonlanding.Resources{CPU: 1}, Estimate: 100}
}

// TestSchedulesOfAnyLengthAreRun: the rounds of a schedule that together fit no row, due all at once, are run
// one after the other, each task once, also where owners change.
func TestSchedulesOfAnyLengthAreRun(t *testing.T) {
	for _, one := range []struct{ tasks, rounds int }{{1, 12_000}, {200, 100}, {1000, 12}} {
		t.Run(fmt.Sprintf("%d rounds of %d", one.rounds, one.tasks), func(t *testing.T) {
			p := newRowPlay(t, "w1", "w2")
			p.requireAccepted(cottonlanding.Workflow{ID: "many", Queue: "Q", Steps: []cottonlanding.Step{plainStep(one.tasks)},
				Schedule: cottonlanding.Schedule{First: 1, Rounds: one.rounds}})
			p.playUntilDone("many", 1000)
			require.Len(t, p.starts, one.tasks*one.rounds)
			for task, count := range p.starts {
				require.Equal(t, 1, count, "starts of %s", task)
			}
		})
	}
}

// TestRoundsOfAnOlderOwner: a row that an owner of older code has left may hold more rounds than fit with all their
// tasks placed. Those of which nothing has begun wait for the others.
func TestRoundsOfAnOlderOwner(t *testing.T) {
	const rounds = 20
	p := newRowPlay(t, "w1", "w2")
	p.requireAccepted(cottonlanding.Workflow{ID: "many", Queue: "Q", Steps: []cottonlanding.Step{plainStep(1000)},
		Schedule: cottonlanding.Schedule{First: 1, Rounds: rounds}})
	key := planner.StateKey(partition, "many")
	row := p.rows[key]
	row.Value = []byte(`{"State":"Running","Begun":true,"Rounds":20,"Tasks":[` + strings.TrimSuffix(strings.Repeat(`["D",1],`, 1000)+strings.Repeat(`[],`, 19_000), ",") + `]}`)
	p.rows[key] = row
	p.takeOver()
	p.playUntilDone("many", 1000)
	require.Len(t, p.starts, 1000*(rounds-1))
}

// TestOlderCodeRefusesRowsThatLeaveRoundsOut: it would take the tasks of later rounds for those of the first ones, and
// start tasks that are done. It reads all other rows, whose count of rounds is a number as before.
func TestOlderCodeRefusesRowsThatLeaveRoundsOut(t *testing.T) {
	p := newRowPlay(t, "w1")
	schedule := func(rounds int) cottonlanding.Schedule { return cottonlanding.Schedule{First: 1, Rounds: rounds} }
	p.requireAccepted(cottonlanding.Workflow{ID: "few", Queue: "Q", Steps: []cottonlanding.Step{plainStep(1000)}, Schedule: schedule(2)})
	p.requireAccepted(cottonlanding.Workflow{ID: "many", Queue: "Q", Steps: []cottonlanding.Step{plainStep(500)}, Schedule: schedule(200)})
	var older struct{ Rounds int }
	for range 50 {
		p.turn()
		require.NoError(t, json.Unmarshal(p.rows[planner.StateKey(partition, "few")].Value, &older))
	}
	require.Equal(t, 2, older.Rounds)
	require.Error(t, json.Unmarshal(p.rows[planner.StateKey(partition, "many")].Value, &older))
}
