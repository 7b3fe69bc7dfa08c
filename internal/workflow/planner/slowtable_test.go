package planner_test

import (
	"fmt"
	"hash/fnv"
	"math/rand"
	"slices"
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
	// slowTableTasks is the number of tasks of a step, of which the first ends earlier.
	slowTableTasks = 2
	// unanswered is the number of commits of a submission without an answer.
	unanswered = 1000
)

// submission is a submitted workflow, with how long and how many commits its own commit took; unanswered is none yet.
type submission struct {
	queue   cottonlanding.QueueName
	at      cottonlanding.Millis
	took    cottonlanding.Millis
	commits int
}

// slowTable is a cell whose table can be slow. Like the driver, it decides only between two commits.
type slowTable struct {
	*simulatedCell
	commitTook  cottonlanding.Millis
	submitted   int
	submissions map[cottonlanding.WorkflowID]*submission
	queues      map[cottonlanding.WorkflowID]cottonlanding.QueueName
	// stepEnds holds the latest end of each step's runs.
	stepEnds map[cottonlanding.TaskRef]cottonlanding.Millis
	// commitTimes are the ends of all commits.
	commitTimes []cottonlanding.Millis
	// starts holds the first start of each step after the first.
	starts []stepStart
	// chains holds the number of steps of the workflows of each queue.
	chains map[cottonlanding.QueueName]int
}

// stepStart is the start of a step that waited for the step before it.
type stepStart struct {
	queue cottonlanding.QueueName
	// ended is when the step before it ended.
	ended   cottonlanding.Millis
	took    cottonlanding.Millis
	commits int
}

func newSlowTable(t *testing.T, order string, chains map[cottonlanding.QueueName]int) *slowTable {
	set, err := selector.New(selector.Names{"CommitOrder": order, "ShortPlacement": "spread"})
	require.NoError(t, err)
	w := newWorldOf(t, set.Planner)
	s := &slowTable{
		simulatedCell: newSimulatedCell(w, rand.New(rand.NewSource(1))),
		commitTook:    tableStep,
		chains:        chains,
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

// lasts returns the duration of a task, which is 0.6 to 1.4 times the nominal one.
func (s *slowTable) lasts(task cottonlanding.TaskRef) cottonlanding.Millis {
	nominal := slowTaskDuration
	if task.Index == 0 {
		nominal /= 2
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(task.String()))
	return nominal * cottonlanding.Millis(60+hash.Sum32()%81) / 100
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
	s.submissions[id] = &submission{queue: queue, at: s.now, commits: unanswered}
	s.submit(id)
}

// submit submits a workflow, possibly not for the first time.
func (s *slowTable) submit(id cottonlanding.WorkflowID) {
	sent := s.submissions[id]
	workflow := cottonlanding.Workflow{ID: id, Queue: sent.queue}
	for at := range s.chains[sent.queue] {
		step := cottonlanding.Step{Tasks: slowTableTasks, Resources: cottonlanding.Resources{CPU: 1000}, Estimate: slowTaskDuration}
		if at > 0 {
			step.After = []int{at - 1}
		}
		workflow.Steps = append(workflow.Steps, step)
	}
	s.cell.Submit(workflow, s.now, func(err error) {
		if err == nil {
			sent.commits, sent.took = s.commitsSince(sent.at), s.now-sent.at
		}
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

// delays is a distribution of delays, in commits and in time.
type delays struct {
	commits []int
	took    []cottonlanding.Millis
}

func (d *delays) add(commits int, took cottonlanding.Millis) {
	d.commits, d.took = append(d.commits, commits), append(d.took, took)
}

func (d *delays) most() int { return slices.Max(d.commits) }

// percentile returns the time that a percentage of the delays doesn't exceed.
func (d *delays) percentile(percent int) cottonlanding.Millis {
	slices.Sort(d.took)
	return d.took[(len(d.took)-1)*percent/100]
}

func (d *delays) String() string {
	return fmt.Sprintf("%d, half within %d ms, 9 of 10 within %d ms, all within %d ms and %d commits",
		len(d.took), d.percentile(50), d.percentile(90), d.percentile(100), d.most())
}

// slowTableDelays are the delays of one queue while the table is slow.
type slowTableDelays struct{ submissions, starts delays }

// playSlowTable plays a fast table until as many workflows run as on the day, 8 s of a slow table, and a fast one again.
func playSlowTable(t *testing.T, order string, chains map[cottonlanding.QueueName]int) map[cottonlanding.QueueName]*slowTableDelays {
	s := newSlowTable(t, order, chains)
	s.play(9 * cottonlanding.Second)
	from := s.now + slowCommit // the first slow commit has ended
	s.commitTook = slowCommit
	s.play(8 * cottonlanding.Second)
	until := s.now
	s.commitTook = tableStep
	s.play(6 * cottonlanding.Second)
	out := map[cottonlanding.QueueName]*slowTableDelays{"Urgent": {}, "Bulk": {}}
	for _, sent := range s.submissions {
		if sent.at >= from && sent.at < until {
			out[sent.queue].submissions.add(sent.commits, sent.took)
		}
	}
	for _, start := range s.starts {
		// Later ends are left out: fast commits follow them.
		if start.ended >= from && start.ended < until-3*(slowCommit+tableStep) {
			out[start.queue].starts.add(start.commits, start.took)
		}
	}
	for _, queue := range []cottonlanding.QueueName{"Urgent", "Bulk"} {
		t.Logf("%s, %s, submissions: %s", order, queue, &out[queue].submissions)
		t.Logf("%s, %s, starts: %s", order, queue, &out[queue].starts)
	}
	require.Empty(t, s.runner.Violations())
	return out
}

// dayChains are chains of steps with which about 20 short and 125 filling workflows run, as on the day with the slow
// table: the short ones last two seconds. evenChains have 63 and 87 of them run.
var (
	dayChains  = map[cottonlanding.QueueName]int{"Urgent": 4, "Bulk": 17}
	evenChains = map[cottonlanding.QueueName]int{"Urgent": 12, "Bulk": 12}
)

// TestSlowTable guards against submissions that wait for the commits of running workflows, and against short workflows
// that wait for the submissions of others. A commit takes 0.85 s, and more rows change meanwhile than it can hold.
func TestSlowTable(t *testing.T) {
	t.Run("acceptance", func(t *testing.T) {
		got := playSlowTable(t, "acceptance", dayChains)
		require.Greater(t, got["Bulk"].submissions.most(), 2, "the simulated table isn't slow enough to show anything")
	})
	t.Run("waiting", func(t *testing.T) {
		got := playSlowTable(t, "waiting", dayChains)
		for queue, delays := range got {
			// The first commit is the one in flight.
			require.LessOrEqual(t, delays.submissions.most(), 2, "a submission of queue %s", queue)
		}
		// One more commit can pass until the worker's next poll lists the end.
		require.LessOrEqual(t, got["Urgent"].starts.most(), 3, "a start of priority 0")
		// Beside these two, maxSkippedPlans and its own.
		require.LessOrEqual(t, got["Bulk"].starts.most(), 8, "a start of priority 2")
	})
	t.Run("many short workflows", func(t *testing.T) {
		got := playSlowTable(t, "waiting", evenChains)
		require.LessOrEqual(t, got["Urgent"].submissions.most(), 2)
		require.LessOrEqual(t, got["Bulk"].submissions.most(), 2)
		// Callers take 44 of the 90 rows and overdue ones at most half of the others. With the 23 that are left, the 63
		// rows of short workflows need three plans.
		require.LessOrEqual(t, got["Urgent"].starts.most(), 2+3)
	})
}

// TestOwnersReplacedWithSlowTable guards against ends that are acknowledged before all of their consequences are
// committed: the task would run again under the next owner. It also guards against submissions that are lost or run
// twice if the outcome of their commit is unknown. Owners end in the middle of slow commits, half of which take effect.
func TestOwnersReplacedWithSlowTable(t *testing.T) {
	s := newSlowTable(t, "waiting", evenChains)
	s.play(5 * cottonlanding.Second)
	s.commitTook = slowCommit
	for range 12 {
		s.play(cottonlanding.Millis(1000 + s.random.Intn(1500)))
		inFlight := s.plan != nil
		if inFlight && s.random.Intn(2) == 0 {
			s.apply()
		}
		s.endOwner(cottonlanding.Millis(200 + s.random.Intn(1000)))
		s.now = s.ownedFrom
		s.replaceOwner()
		for id, sent := range s.submissions {
			if sent.commits == unanswered {
				s.submit(id) // its caller got no answer, and tries again
			}
		}
	}
	s.commitTook = tableStep
	for range 60 * cottonlanding.Second / tableStep {
		s.now += tableStep
		s.turnOnce()
	}
	require.Empty(t, s.runner.Violations())
	for id, sent := range s.submissions {
		require.Less(t, sent.commits, unanswered, "workflow %s was accepted", id)
		state, found := s.cell.State(id)
		require.True(t, found)
		require.Equal(t, cottonlanding.WorkflowSucceeded, state, "workflow %s", id)
	}
}
