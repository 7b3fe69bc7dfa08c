package planner_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// TestLongSchedulesRun guards against schedules that do not run because their rounds are due at once and do not fit
// one row together: they run one after the other, each task once, also where owners change.
func TestLongSchedulesRun(t *testing.T) {
	for _, one := range []struct{ tasks, rounds int }{{1, 12_000}, {200, 100}, {1000, 12}} {
		t.Run(fmt.Sprintf("%d rounds of %d", one.rounds, one.tasks), func(t *testing.T) {
			p := newRowSimulation(t, "w1", "w2")
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

// TestOlderOwnersRowWithManyRounds guards against a row that an owner of older code has left with more rounds than
// fit with all their tasks placed: rounds of which nothing has begun wait for the others.
func TestOlderOwnersRowWithManyRounds(t *testing.T) {
	const rounds = 20
	p := newRowSimulation(t, "w1", "w2")
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

// TestOlderCodeRefusesShortenedRows guards against older code that reads a row without its first rounds: it would
// take the tasks of later rounds for those of the first, and start tasks that are done. All other rows have a
// number as count of rounds, which older code reads.
func TestOlderCodeRefusesShortenedRows(t *testing.T) {
	p := newRowSimulation(t, "w1")
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

// longID returns the id of a worker, a letter repeated a number of times.
func longID(letter string, length int) cottonlanding.WorkerID {
	return cottonlanding.WorkerID(strings.Repeat(letter, length))
}

// TestTasksRunOnWorkersWithLongIDs guards against tasks that do not run, or run twice, because the row cannot hold
// all of them at once with the ids of their workers: they run one after the other, alone or beside many rounds.
func TestTasksRunOnWorkersWithLongIDs(t *testing.T) {
	t.Parallel()
	for name, id := range map[string]cottonlanding.WorkerID{
		"60 bytes":     longID("i", 60),
		"200 bytes":    longID("i", 200),
		"200 escaped":  longID("<", 200),
		"200 replaced": longID("\ufffd", 66), // no UTF-8, as decoders read it
	} {
		for _, one := range []struct{ tasks, rounds int }{{1000, 0}, {200, 60}} {
			t.Run(fmt.Sprintf("%s, %d rounds", name, one.rounds), func(t *testing.T) {
				p := newRowSimulation(t, id)
				workflow := cottonlanding.Workflow{ID: "w", Queue: "Q", Steps: []cottonlanding.Step{plainStep(one.tasks)}}
				if one.rounds > 0 {
					workflow.Schedule = cottonlanding.Schedule{First: 1, Rounds: one.rounds}
				}
				p.requireAccepted(workflow)
				p.playUntilDone("w", 3000)
				require.Len(t, p.starts, one.tasks*max(1, one.rounds))
				for task, count := range p.starts {
					require.Equal(t, 1, count, "starts of %s", task)
				}
			})
		}
	}
}

// TestLargestWorkflowRunsAtOnce guards against a bound that delays tasks of the largest workflow: where ids of
// workers have two dozen bytes, all its tasks are placed at once, as a gang too.
func TestLargestWorkflowRunsAtOnce(t *testing.T) {
	for name, change := range map[string]func(*cottonlanding.Step){
		"plain":   func(*cottonlanding.Step) {},
		"lasting": func(s *cottonlanding.Step) { s.Lasting = true },
		"gang":    func(s *cottonlanding.Step) { s.Gang = true },
	} {
		t.Run(name, func(t *testing.T) {
			p := newRowSimulation(t, longID("i", 22), longID("j", 22))
			p.kind = ""
			step := plainStep(1000)
			change(&step)
			p.requireAccepted(cottonlanding.Workflow{ID: "w", Queue: "Q", Steps: []cottonlanding.Step{step}})
			for range 20 {
				p.turn()
			}
			require.Len(t, p.starts, 1000)
		})
	}
}

// TestWorkflowTooLargeForItsRowIsRefused guards against lasting tasks and gangs that wait forever because a row
// cannot hold all of them at once with the ids of the workers.
func TestWorkflowTooLargeForItsRowIsRefused(t *testing.T) {
	lasting, gang := plainStep(1000), plainStep(1000)
	lasting.Lasting, gang.Gang = true, true
	once := cottonlanding.Schedule{}
	for name, one := range map[string]struct {
		step     cottonlanding.Step
		schedule cottonlanding.Schedule
		idLength int
		refused  bool
	}{
		"lasting, long ids":     {lasting, once, 60, true},
		"lasting":               {lasting, once, 12, false},
		"gang, long ids":        {gang, once, 60, true},
		"gang":                  {gang, once, 12, false},
		"lasting, two rounds":   {lasting, cottonlanding.Schedule{First: 1, Rounds: 2}, 12, true},
		"lasting, many rounds":  {lasting, cottonlanding.Schedule{First: 1, Rounds: 1 << 62}, 12, true},
		"plain, long ids":       {plainStep(1000), once, 200, false},
		"gang of few, long ids": {cottonlanding.Step{Tasks: 100, Gang: true, Resources: cottonlanding.Resources{CPU: 1}}, once, 200, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newRowSimulation(t, longID("i", one.idLength))
			answered := false
			p.cell.Submit(cottonlanding.Workflow{ID: "w", Queue: "Q", Steps: []cottonlanding.Step{one.step}, Schedule: one.schedule}, p.now, func(err error) {
				answered = true
				if one.refused {
					require.ErrorIs(t, err, cottonlanding.ErrCannotRun)
					return
				}
				require.NoError(t, err)
			})
			p.commit()
			require.True(t, answered)
			require.Equal(t, !one.refused, p.cell.Knows("w"))
		})
	}
}

// TestGangWaitsForRoomInItsRow guards against a gang that is placed on workers with long ids, which came after it
// was accepted, although its row has no room for them. It is placed once there are others.
func TestGangWaitsForRoomInItsRow(t *testing.T) {
	p := newRowSimulation(t)
	gang := plainStep(900)
	gang.Gang = true
	p.requireAccepted(cottonlanding.Workflow{ID: "w", Queue: "Q", Steps: []cottonlanding.Step{gang}})
	p.replaceWorkers(longID("i", 60))
	for range 20 {
		p.turn()
	}
	require.Empty(t, p.starts)
	p.replaceWorkers(longID("i", 12))
	p.playUntilDone("w", 100)
	require.Len(t, p.starts, 900)
}

// TestRowSizeIsUpperBound guards against rows that take more than was counted for them, with workflows whose tasks
// fail, crash their workers and are taken over.
func TestRowSizeIsUpperBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		letters := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b<", "c\"", "d\n", "\ufffd", "é", "\u2028"}), 1, 4).Draw(t, "Letters")
		var ids []cottonlanding.WorkerID
		for at, letter := range letters {
			ids = append(ids, cottonlanding.WorkerID(fmt.Sprint(at))+longID(letter, rapid.IntRange(1, 60).Draw(t, "Length")))
		}
		p := newRowSimulation(t, ids...)
		var workflows []cottonlanding.WorkflowID
		for at := range rapid.IntRange(1, 2).Draw(t, "Workflows") {
			step := plainStep(rapid.IntRange(1, 300).Draw(t, "Tasks"))
			step.Gang, step.Lasting = rapid.Bool().Draw(t, "Gang"), rapid.Bool().Draw(t, "Lasting")
			workflow := cottonlanding.Workflow{ID: cottonlanding.WorkflowID(fmt.Sprint("w", at)), Queue: "Q", Steps: []cottonlanding.Step{step}}
			workflow.Schedule.Rounds = rapid.IntRange(0, 8).Draw(t, "Rounds")
			p.cell.Submit(workflow, p.now, func(error) {}) // it may be refused
			workflows = append(workflows, workflow.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"turn": func(t *rapid.T) {
				p.kind = rapid.SampledFrom([]cottonlanding.EndKind{"", cottonlanding.EndDone, cottonlanding.EndFailed, cottonlanding.EndStopped}).Draw(t, "Kind")
				p.turn()
			},
			"pass":  func(*rapid.T) { p.now += 10 * cottonlanding.Second },
			"crash": func(t *rapid.T) { p.crash(rapid.IntRange(0, len(p.workers)-1).Draw(t, "Worker")) },
			"list":  func(*rapid.T) { p.cell.SetWorkers(p.workers, p.now) },
			"owner": func(*rapid.T) { p.takeOver() },
			"cancel": func(t *rapid.T) {
				p.cell.Cancel(rapid.SampledFrom(workflows).Draw(t, "Workflow"), p.now, func(error) {})
			},
			"": func(t *rapid.T) {
				for _, id := range workflows {
					bytes, counted := p.cell.RowBytes(id)
					require.LessOrEqual(t, bytes, counted)
					require.LessOrEqual(t, counted, 65_000)
				}
			},
		})
	})
}

// TestRowSizeCoversLargestNumbers guards against tasks with the largest possible numbers that take more than was
// counted.
func TestRowSizeCoversLargestNumbers(t *testing.T) {
	const tasks = 1000
	p := newRowSimulation(t)
	p.requireAccepted(cottonlanding.Workflow{ID: "w", Queue: "Q", Steps: []cottonlanding.Step{plainStep(tasks)}})
	task := `["A",4294967295,"` + strings.Repeat("i", 23) + `@zik0zjzz",999,"",5,5],`
	key := planner.StateKey(partition, "w")
	row := p.rows[key]
	row.Value = []byte(`{"State":"Running","Begun":true,"Rounds":1,"Tasks":[` + strings.TrimSuffix(strings.Repeat(task, tasks), ",") + `]}`)
	p.rows[key] = row
	p.takeOver()
	bytes, counted := p.cell.RowBytes("w")
	require.Greater(t, bytes, tasks*len(task))
	require.LessOrEqual(t, bytes, counted)
	require.LessOrEqual(t, counted, 65_000)
}

// TestRowSizeCoversLongReasons guards against a reason that takes more than was counted: that of a failed workflow
// names it and a worker, and their ids may be long.
func TestRowSizeCoversLongReasons(t *testing.T) {
	id := cottonlanding.WorkflowID(strings.Repeat("<", 600))
	p := newRowSimulation(t, longID("<", 200))
	p.kind = cottonlanding.EndFailed
	p.requireAccepted(cottonlanding.Workflow{ID: id, Queue: "Q", Steps: []cottonlanding.Step{plainStep(1)}})
	for range 20 {
		p.turn()
	}
	state, _ := p.cell.State(id)
	require.Equal(t, cottonlanding.WorkflowFailed, state)
	bytes, counted := p.cell.RowBytes(id)
	require.LessOrEqual(t, bytes, counted)
}

// TestLargeWorkflowStaysInItsCell guards against the handover of an accepted workflow that the other cell would
// refuse, since its workers may have longer ids.
func TestLargeWorkflowStaysInItsCell(t *testing.T) {
	p := newRowSimulation(t)
	for id, tasks := range map[cottonlanding.WorkflowID]int{"few": 200, "many": 600} {
		step := plainStep(tasks)
		step.Lasting = true
		p.requireAccepted(cottonlanding.Workflow{ID: id, Queue: "Q", Steps: []cottonlanding.Step{step}})
	}
	p.now += cottonlanding.Second
	leavers := p.cell.HandOverCandidates(10, p.now)
	require.Len(t, leavers, 1)
	require.EqualValues(t, "few", leavers[0].ID)
	other := newRowSimulation(t, longID("i", 200))
	other.requireAccepted(leavers[0])
}

// TestFinishedRoundsLeaveRoom guards against finished rounds that leave the first one no room to run on a worker
// with the longest id: they stay in the row while the first one goes on.
func TestFinishedRoundsLeaveRoom(t *testing.T) {
	const rounds = 10_600
	p := newRowSimulation(t, "w1")
	p.stopped = &cottonlanding.TaskRef{Workflow: "w"}
	p.requireAccepted(cottonlanding.Workflow{ID: "w", Queue: "Q", Steps: []cottonlanding.Step{plainStep(1)},
		Schedule: cottonlanding.Schedule{First: 1, Rounds: rounds}})
	for range 60 {
		p.turn()
	}
	require.Less(t, len(p.starts), rounds, "the row has room for all rounds")
	p.stopped = nil
	p.replaceWorkers(longID("<", 200))
	p.playUntilDone("w", 200)
	require.Len(t, p.starts, rounds)
}

// TestFinishedRoundsMakeRoomForGang guards against finished rounds that leave a gang on workers with long ids no
// room, also where no other round is due.
func TestFinishedRoundsMakeRoomForGang(t *testing.T) {
	const rounds, members = 68, 100
	p := newRowSimulation(t, longID("i", 200))
	gang := plainStep(members)
	gang.Gang = true
	p.requireAccepted(cottonlanding.Workflow{ID: "w", Queue: "Q", Steps: []cottonlanding.Step{gang},
		Schedule: cottonlanding.Schedule{First: 1, Interval: 500, Rounds: rounds}})
	for range 500 {
		p.turn()
	}
	require.Len(t, p.starts, rounds*members)
}
