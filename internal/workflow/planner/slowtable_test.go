package planner_test

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/stand/runner"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// tableStep is the resolution of a slowTable, and the duration of a commit of a fast table.
	tableStep = 25 * cottonlanding.Millis(1)
	// slowCommit is the duration of a commit on a day with a slow table.
	slowCommit = 850 * cottonlanding.Millis(1)
	// slowTaskDuration is the duration of the longer tasks: each row changes twice a second, with an end and with the
	// next start.
	slowTaskDuration = 500 * cottonlanding.Millis(1)
	// slowTableSteps is the length of a workflow's chain of steps. With 25 workflows a second, 150 run at a time.
	slowTableSteps = 12
	// slowTableTasks is the number of tasks of a step, of which the first ends earlier.
	slowTableTasks = 2
)

// submission is a workflow with when it was submitted, and after how many commits it was committed.
type submission struct {
	queue    cottonlanding.QueueName
	commits  int
	answered cottonlanding.Millis
}

// slowTable is a cell whose table can be slow. Like the driver, it decides only between two commits.
type slowTable struct {
	*simulatedCell
	commitTook  cottonlanding.Millis
	commits     int
	submitted   int
	submissions map[cottonlanding.WorkflowID]*submission
	queues      map[cottonlanding.WorkflowID]cottonlanding.QueueName
	// endsAt and endCommits hold the latest end of each step's runs, and how many commits were done by then.
	stepEnds map[cottonlanding.TaskRef]cottonlanding.Millis
	// commitTimes are the ends of all commits.
	commitTimes []cottonlanding.Millis
	// starts holds the first start of each step after the first.
	starts []stepStart
	// plannedRows is the largest number of rows in a plan.
	plannedRows int
}

// stepStart is the start of a step that waited for the step before it.
type stepStart struct {
	queue       cottonlanding.QueueName
	ended       cottonlanding.Millis
	took        cottonlanding.Millis
	commits     int
	sinceCommit int
}

func newSlowTable(t *testing.T, order string) *slowTable {
	set, err := selector.New(selector.Names{"CommitOrder": order, "ShortPlacement": "spread"})
	require.NoError(t, err)
	w := newWorldOf(t, set.Planner)
	s := &slowTable{
		simulatedCell: newSimulatedCell(w, rand.New(rand.NewSource(1))),
		commitTook:    tableStep,
		submissions:   make(map[cottonlanding.WorkflowID]*submission),
		queues:        make(map[cottonlanding.WorkflowID]cottonlanding.QueueName),
		stepEnds:      make(map[cottonlanding.TaskRef]cottonlanding.Millis),
	}
	w.runner = runner.New(cottonlanding.ClockOf(func() cottonlanding.Millis { return w.now }), func(key cottonlanding.RunKey) runner.Fate {
		return runner.Fate{Lasts: s.lasts(key.Task)}
	})
	w.workers, w.lives = nil, 0
	for range 100 {
		w.addWorker()
	}
	w.takeOver()
	w.onStart = s.recordStart
	return s
}

func (s *slowTable) lasts(task cottonlanding.TaskRef) cottonlanding.Millis {
	if task.Index == 0 {
		return slowTaskDuration / 2
	}
	return slowTaskDuration
}

func (s *slowTable) recordStart(order planner.Order) {
	task := order.Start.Task
	step := task
	step.Index = 0
	if _, known := s.stepEnds[step]; !known && task.Step > 0 {
		before := step
		before.Step--
		ended := s.stepEnds[before]
		s.starts = append(s.starts, stepStart{queue: s.queues[task.Workflow], ended: ended, took: s.now - ended, commits: s.commitsSince(ended)})
	}
	s.stepEnds[step] = max(s.stepEnds[step], s.now+s.lasts(task))
}

// commitsSince counts the commits that ended after an instant.
func (s *slowTable) commitsSince(at cottonlanding.Millis) int {
	count := 0
	for _, committed := range slices.Backward(s.commitTimes) {
		if committed <= at {
			return count
		}
		count++
	}
	return count
}

// submitNext submits a workflow: 42 % of priority 0, as on the day with the slow table.
func (s *slowTable) submitNext() {
	queue := cottonlanding.QueueName("Bulk")
	if s.submitted*42%100 < 42 {
		queue = "Urgent"
	}
	id := cottonlanding.WorkflowID(fmt.Sprintf("%016x", s.submitted))
	s.submitted++
	s.queues[id] = queue
	sent := &submission{queue: queue, commits: -1}
	s.submissions[id] = sent
	workflow := cottonlanding.Workflow{ID: id, Queue: queue}
	for at := range slowTableSteps {
		step := cottonlanding.Step{Tasks: slowTableTasks, Resources: cottonlanding.Resources{CPU: 1000}, Estimate: slowTaskDuration}
		if at > 0 {
			step.After = []int{at - 1}
		}
		workflow.Steps = append(workflow.Steps, step)
	}
	began := s.now
	s.cell.Submit(workflow, began, func(err error) {
		require.NoError(s.t, err)
		sent.commits, sent.answered = s.commitsSince(began), s.now-began
	})
}

// play plays a span with 25 submissions a second.
func (s *slowTable) play(span cottonlanding.Millis) {
	for until := s.now + span; s.now < until; {
		s.now += tableStep
		if s.now%(cottonlanding.Second/25) < tableStep {
			s.submitNext()
		}
		s.turnOnce()
	}
}

func (s *slowTable) turnOnce() {
	s.cell.SetTableClock(s.tableClock())
	s.renewOwnership()
	if s.plan == nil {
		s.cell.Decide(s.now, int64(s.now))
		s.plan = s.cell.Plan(s.now)
		s.committedAt = s.now + s.commitTook
		if s.plan != nil {
			s.plannedRows = max(s.plannedRows, len(s.plan.Writes))
		}
	}
	if s.plan != nil && s.now >= s.committedAt {
		s.apply()
		plan := s.plan
		s.plan = nil
		s.commitTimes = append(s.commitTimes, s.now)
		s.cell.Committed(plan, s.version)
	}
	s.sendOrders()
	s.pollWorkers()
}

// summary describes a distribution of commits and times.
func summary(commits []int, took []cottonlanding.Millis) string {
	if len(commits) == 0 {
		return "none"
	}
	slices.Sort(commits)
	slices.Sort(took)
	at := func(percent int) int { return (len(commits) - 1) * percent / 100 }
	var out strings.Builder
	fmt.Fprintf(&out, "%d:", len(commits))
	for _, percent := range []int{50, 90, 99, 100} {
		fmt.Fprintf(&out, " p%d %d/%d ms", percent, commits[at(percent)], took[at(percent)])
	}
	return out.String()
}

func TestX(t *testing.T) {
	for _, order := range []string{"acceptance", "waiting"} {
		t.Run(order, func(t *testing.T) {
			s := newSlowTable(t, order)
			s.play(9 * cottonlanding.Second)
			t.Log("running before", s.submitted, s.cell.Counts().Succeeded)
			s.commitTook = slowCommit
			from, succeeded := s.now, s.cell.Counts().Succeeded
			first := s.submitted
			s.play(6 * cottonlanding.Second)
			until, last := s.now, s.submitted
			t.Log("running after", s.submitted, s.cell.Counts().Succeeded-succeeded, s.plannedRows)
			s.commitTook = tableStep
			s.play(6 * cottonlanding.Second)
			for _, queue := range []cottonlanding.QueueName{"Urgent", "Bulk"} {
				var commits []int
				var took []cottonlanding.Millis
				for _, start := range s.starts {
					if start.queue == queue && start.ended >= from && start.ended < until {
						commits, took = append(commits, start.commits), append(took, start.took)
					}
				}
				t.Log(order, queue, "starts", summary(commits, took))
				commits, took = nil, nil
				for number := first; number < last; number++ {
					sent := s.submissions[cottonlanding.WorkflowID(fmt.Sprintf("%016x", number))]
					if sent.queue == queue {
						commits, took = append(commits, sent.commits), append(took, sent.answered)
					}
				}
				t.Log(order, queue, "submissions", summary(commits, took))
			}
		})
	}
}
