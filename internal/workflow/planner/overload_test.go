package planner_test

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/admitter"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	loadTurn    = 50 * cottonlanding.Millis(1)
	loadWorkers = 24
	loadCPU     = 36000
	// loadPollTurns is how many turns pass between two polls of a worker.
	loadPollTurns = 16
)

// loadStart is a run of a worker of a loadedCell.
type loadStart struct {
	key  cottonlanding.RunKey
	step cottonlanding.Step
	// lasts and left are the run time at full speed, and what is left of it.
	lasts, left cottonlanding.Millis
}

// loadWorker is a worker that runs each task for as long as the caller's estimate and its error say.
type loadWorker struct {
	id cottonlanding.WorkerID
	// share is the fraction of their processors that filling runs get beside the others.
	share   float64
	running []loadStart
	ended   []cottonlanding.RunEnd
	serial  uint64
}

// caller is what the caller of a workflow got.
type caller struct {
	workflow  cottonlanding.Workflow
	at        cottonlanding.Millis
	objective cottonlanding.Millis
	err       error
	doneAt    cottonlanding.Millis
}

// outcome counts what callers of a queue got: a result within the objective, one within three times that, none that is
// of use, or a rejection.
type outcome struct{ inTime, late, useless, rejected int }

func (o outcome) total() int { return o.inTime + o.late + o.useless + o.rejected }

func (o *outcome) add(other outcome) {
	o.inTime += other.inTime
	o.late += other.late
	o.useless += other.useless
	o.rejected += other.rejected
}

// loadedCell is a cell of loadWorkers workers under a load that a test submits.
type loadedCell struct {
	t       testing.TB
	cell    *planner.Cell
	random  *rand.Rand
	now     cottonlanding.Millis
	workers []*loadWorker
	callers map[cottonlanding.WorkflowID]*caller
	order   []cottonlanding.WorkflowID
	turns   int
	// due is by how much each queue's load is ahead of its submissions, in workflows.
	due    map[cottonlanding.QueueName]float64
	queues map[cottonlanding.QueueName]cottonlanding.Queue
}

func newLoadedCell(t testing.TB, overload cottonlanding.OverloadPolicy) *loadedCell {
	return newLoadedCellWithLog(t, overload, discardLog())
}

func newLoadedCellWithLog(t testing.TB, overload cottonlanding.OverloadPolicy, log *slog.Logger) *loadedCell {
	policy := selector.Default().Planner
	policy.Overload = overload
	c := &loadedCell{
		t:       t,
		cell:    planner.New(planner.Setup{Partition: partition, Epoch: 1}, timing, policy, log),
		random:  rand.New(rand.NewPCG(7, 11)),
		now:     1000,
		callers: make(map[cottonlanding.WorkflowID]*caller),
		due:     make(map[cottonlanding.QueueName]float64),
		queues: map[cottonlanding.QueueName]cottonlanding.Queue{
			"Short":   {Name: "Short", Service: "S", Attempts: 3, Stretch: 1.5, LatencyTarget: 250},
			"Filling": {Name: "Filling", Service: "S", Attempts: 3, Stretch: 2, LatencyTarget: 1000, Priority: 2},
			"Rare":    {Name: "Rare", Service: "S", Attempts: 3, Stretch: 2, LatencyTarget: 1000, Priority: 2},
			"Lasting": {Name: "Lasting", Service: "S", Attempts: 3, Stretch: 2, LatencyTarget: 2500},
			"Free":    {Name: "Free", Service: "S", Attempts: 3, Priority: 2},
		},
	}
	c.cell.SetQueues(cottonlanding.Queues{Version: 1, Queues: c.queues})
	var infos []cottonlanding.WorkerInfo
	for number := range loadWorkers {
		id := cottonlanding.WorkerID(fmt.Sprintf("w%02d", number))
		c.workers = append(c.workers, &loadWorker{id: id})
		infos = append(infos, cottonlanding.WorkerInfo{ID: id, Address: cottonlanding.Address(id), Service: "S", State: cottonlanding.Live,
			Capacity: cottonlanding.Resources{CPU: loadCPU, Memory: 256 * cottonlanding.Gigabyte}})
	}
	c.cell.SetWorkers(infos, c.now)
	return c
}

// submit submits a workflow of two steps of tasks whose estimates are spread log-normally around a mean.
func (c *loadedCell) submit(queue cottonlanding.QueueName, tasks int, cpu cottonlanding.Millicores, estimate cottonlanding.Millis, fills bool) *caller {
	estimate = cottonlanding.Millis(float64(estimate) * math.Exp(0.6*c.random.NormFloat64()-0.18))
	step := cottonlanding.Step{Tasks: tasks, Resources: cottonlanding.Resources{CPU: cpu, Memory: cottonlanding.Gigabyte}, Estimate: estimate, Fills: fills, Checkpoints: fills}
	if fills {
		step.Image = "f"
	}
	second := step
	second.After = []int{0}
	w := cottonlanding.Workflow{ID: cottonlanding.WorkflowID(fmt.Sprintf("%016x", len(c.order)+1)), Queue: queue, Steps: []cottonlanding.Step{step, second}}
	of := c.queues[queue]
	one := &caller{workflow: w, at: c.now, objective: cottonlanding.Millis(of.Stretch*float64(2*estimate)) + of.LatencyTarget}
	c.callers[w.ID], c.order = one, append(c.order, w.ID)
	c.cell.Submit(w, c.now, func(err error) { one.err = err })
	return one
}

// load submits workflows for a span, each queue at its rate in workflows per second.
func (c *loadedCell) load(span cottonlanding.Millis, perSecond map[cottonlanding.QueueName]float64) {
	names := []cottonlanding.QueueName{"Short", "Filling", "Rare"}
	for until := c.now + span; c.now < until; {
		for _, queue := range names {
			for c.due[queue] += perSecond[queue] * float64(loadTurn) / float64(cottonlanding.Second); c.due[queue] >= 1; c.due[queue]-- {
				if queue == "Short" {
					c.submit(queue, 5, 3500, 800, false)
					continue
				}
				c.submit(queue, 5, 7000, 2200, true)
			}
		}
		c.turn()
	}
}

// fullShort and fullFilling are the rates at which the estimates of the workflows of load request all processors.
const (
	fullShort   = loadWorkers * loadCPU / (2 * 5 * 3500 * 0.8)
	fullFilling = loadWorkers * loadCPU / (2 * 5 * 7000 * 2.2)
)

func (c *loadedCell) turn() {
	c.now += loadTurn
	c.turns++
	for at, w := range c.workers {
		w.advance()
		if (c.turns+at)%loadPollTurns == 0 || slices.ContainsFunc(w.running, loadStart.ended) {
			c.poll(w)
		}
	}
	c.cell.Decide(c.now, int64(c.now))
	if plan := c.cell.Plan(c.now); plan != nil {
		c.cell.Committed(plan, cottonlanding.Version(c.now))
	}
	for _, order := range c.cell.Orders(c.now) {
		at := slices.IndexFunc(c.workers, func(w *loadWorker) bool { return w.id == order.Worker.Life.Worker })
		c.execute(c.workers[at], order)
		c.cell.OrderAnswered(order, cottonlanding.Reading(c.now), nil, c.now)
	}
	for _, one := range c.callers {
		if state, _ := c.cell.State(one.workflow.ID); one.doneAt == 0 && state.Final() {
			one.doneAt = c.now
		}
	}
}

func (r loadStart) ended() bool { return !r.step.Lasting && r.left <= 0 }

// advance runs all tasks for a turn. Filling ones share the processors that others leave.
func (w *loadWorker) advance() {
	var reserved, filling float64
	for _, r := range w.running {
		if r.step.Fills {
			filling += float64(r.step.Resources.CPU)
			continue
		}
		reserved += float64(r.step.Resources.CPU)
	}
	w.share = min(1, max(0, loadCPU-reserved)/max(filling, 1))
	for at := range w.running {
		share := 1.0
		if w.running[at].step.Fills {
			share = w.share
		}
		w.running[at].left -= cottonlanding.Millis(share * float64(loadTurn))
	}
}

func (c *loadedCell) poll(w *loadWorker) {
	report := cottonlanding.RunReport{Reading: cottonlanding.Reading(c.now)}
	w.running = slices.DeleteFunc(w.running, func(r loadStart) bool {
		if !r.ended() {
			return false
		}
		w.end(r.key, cottonlanding.EndDone)
		return true
	})
	for _, r := range w.running {
		percent := 100
		if !r.step.Lasting {
			percent = int(100 * (r.lasts - r.left) / r.lasts)
		}
		used := r.step.Resources.CPU
		if r.step.Fills {
			used = cottonlanding.Millicores(w.share * float64(used))
		}
		report.Running = append(report.Running, cottonlanding.RunProgress{RunKey: r.key, Percent: percent, Used: used})
	}
	report.Ended, w.ended = w.ended, nil
	next, _ := c.cell.NextPoll(w.id, c.now)
	c.cell.PollAnswered(next, report, c.now, c.now)
}

func (w *loadWorker) end(key cottonlanding.RunKey, kind cottonlanding.EndKind) {
	w.serial++
	w.ended = append(w.ended, cottonlanding.RunEnd{Serial: w.serial, RunKey: key, Kind: kind})
}

// execute carries out an order. Run times differ from estimates by a factor of exp(0.9) either way.
func (c *loadedCell) execute(w *loadWorker, order planner.Order) {
	key := order.Start.RunKey
	switch order.Verb {
	case planner.VerbStart:
		step := c.callers[key.Task.Workflow].workflow.Steps[key.Task.Step]
		lasts := max(loadTurn, cottonlanding.Millis(float64(step.Estimate)*math.Exp(0.9*c.random.NormFloat64()-0.4)))
		w.running = append(w.running, loadStart{key, step, lasts, lasts})
	case planner.VerbStop:
		w.running = slices.DeleteFunc(w.running, func(r loadStart) bool { return r.key == key })
		w.end(key, cottonlanding.EndStopped)
	}
}

// outcome returns what the callers of a queue got who submitted in a span.
func (c *loadedCell) outcome(queue cottonlanding.QueueName, from, to cottonlanding.Millis) outcome {
	var out outcome
	for _, one := range c.callers {
		if one.workflow.Queue != queue || one.at < from || one.at >= to {
			continue
		}
		took := one.doneAt - one.at
		switch {
		case errors.Is(one.err, cottonlanding.ErrBusy):
			out.rejected++
		case one.doneAt > 0 && took <= one.objective:
			out.inTime++
		case one.doneAt > 0 && took <= 3*one.objective:
			out.late++
		default:
			out.useless++
		}
	}
	return out
}

// compare plays the same days under both variants and returns what the callers of a queue got.
func compare(t *testing.T, play func(*loadedCell), queue cottonlanding.QueueName) (accept, reject outcome) {
	for seed := range uint64(days) {
		for _, variant := range []struct {
			policy cottonlanding.OverloadPolicy
			out    *outcome
		}{{admitter.Accept{}, &accept}, {admitter.Reject{}, &reject}} {
			c := newLoadedCell(t, variant.policy)
			c.random = rand.New(rand.NewPCG(seed, 11))
			play(c)
			variant.out.add(c.outcome(queue, 0, c.now))
		}
	}
	t.Logf("%s: accept %+v, reject %+v", queue, accept, reject)
	return accept, reject
}

// days is how many days compare plays: single ones differ by a quarter in what is useless.
const days = 4

// drainTime is how long a day goes on without submissions: longer than three times most objectives.
const drainTime = 40 * cottonlanding.Second

// TestBurstOfFillingWork guards against accepting a burst of filling work of 2.5 times what the cell gets done, of which
// most would end when it is of no use.
func TestBurstOfFillingWork(t *testing.T) {
	t.Parallel()
	accept, reject := compare(t, func(c *loadedCell) {
		c.load(15*cottonlanding.Second, map[cottonlanding.QueueName]float64{"Filling": 0.7 * fullFilling})
		c.load(45*cottonlanding.Second, map[cottonlanding.QueueName]float64{"Filling": 2.5 * fullFilling})
		c.load(drainTime, nil)
	}, "Filling")
	require.Less(t, 5*reject.useless, 3*accept.useless)
	require.GreaterOrEqual(t, 10*reject.inTime, 9*accept.inTime)
}

// TestSteadyOverload guards against rejecting workflows that would have been done in time while the cell gets a third
// more filling work than it gets done. Most end late, but are of use.
func TestSteadyOverload(t *testing.T) {
	t.Parallel()
	accept, reject := compare(t, func(c *loadedCell) {
		c.load(70*cottonlanding.Second, map[cottonlanding.QueueName]float64{"Filling": 1.33 * fullFilling})
		c.load(drainTime, nil)
	}, "Filling")
	require.LessOrEqual(t, reject.useless, accept.useless)
	require.GreaterOrEqual(t, 20*reject.inTime, 19*accept.inTime)
}

// TestBurstThatEnds guards against rejecting workflows of a burst that the cell catches up with in time, and against
// rejecting any after it.
func TestBurstThatEnds(t *testing.T) {
	var ended cottonlanding.Millis
	var after outcome
	_, reject := compare(t, func(c *loadedCell) {
		c.load(15*cottonlanding.Second, map[cottonlanding.QueueName]float64{"Filling": 0.5 * fullFilling})
		c.load(5*cottonlanding.Second, map[cottonlanding.QueueName]float64{"Filling": 2.5 * fullFilling})
		c.load(15*cottonlanding.Second, map[cottonlanding.QueueName]float64{"Filling": 0.5 * fullFilling})
		ended = c.now
		c.load(10*cottonlanding.Second, map[cottonlanding.QueueName]float64{"Filling": 0.5 * fullFilling})
		c.load(drainTime, nil)
		after.add(c.outcome("Filling", ended, c.now))
	}, "Filling")
	require.Less(t, 20*reject.rejected, reject.total())
	require.Zero(t, after.rejected)
}

// TestCallerBesideMany guards against a caller of few workflows that is starved by one that floods the cell.
func TestCallerBesideMany(t *testing.T) {
	t.Parallel()
	accept, reject := compare(t, func(c *loadedCell) {
		c.load(60*cottonlanding.Second, map[cottonlanding.QueueName]float64{"Filling": 2.5 * fullFilling, "Rare": 0.5})
		c.load(drainTime, nil)
	}, "Rare")
	require.Zero(t, reject.rejected)
	require.GreaterOrEqual(t, reject.inTime, accept.inTime)
	require.LessOrEqual(t, reject.useless, accept.useless)
}

// TestShortWorkBesideLastingWork guards against rejecting short work, which has little room while lasting work holds nine
// tenths of the processors, although the cell gets it done.
func TestShortWorkBesideLastingWork(t *testing.T) {
	t.Parallel()
	play := func(load float64) func(*loadedCell) {
		return func(c *loadedCell) {
			lasting := cottonlanding.Step{Tasks: loadWorkers * 9 / 4, Resources: cottonlanding.Resources{CPU: loadCPU * 2 / 5, Memory: cottonlanding.Gigabyte}, Lasting: true}
			w := cottonlanding.Workflow{ID: "lasting", Queue: "Lasting", Steps: []cottonlanding.Step{lasting}}
			c.callers[w.ID] = &caller{workflow: w, at: c.now}
			c.cell.Submit(w, c.now, func(err error) { require.NoError(t, err) })
			c.load(5*cottonlanding.Second, nil)
			c.load(40*cottonlanding.Second, map[cottonlanding.QueueName]float64{"Short": load * fullShort / 10})
			c.load(drainTime, nil)
		}
	}
	accept, reject := compare(t, play(0.6), "Short")
	require.Equal(t, accept, reject, "nothing is rejected that the cell gets done")
	accept, reject = compare(t, play(2.5), "Short")
	require.Less(t, 3*reject.useless, 2*accept.useless)
}

// TestUnknownRateAccepts guards against rejections before the rate is known, in the first two seconds of a burst in an
// idle cell or under a new owner.
func TestUnknownRateAccepts(t *testing.T) {
	c := newLoadedCell(t, admitter.Reject{})
	c.load(2*cottonlanding.Second, map[cottonlanding.QueueName]float64{"Filling": 20 * fullFilling})
	require.Zero(t, c.cell.Counts().Rejected)
	c.load(20*cottonlanding.Second, map[cottonlanding.QueueName]float64{"Filling": 20 * fullFilling})
	require.NotZero(t, c.cell.Counts().Rejected, "the load must be one that is rejected later")
}

// hopeless returns a workflow of filling tasks that no cell in these tests can complete in time.
func (c *loadedCell) hopeless(id cottonlanding.WorkflowID) cottonlanding.Workflow {
	step := cottonlanding.Step{Tasks: 30, Resources: cottonlanding.Resources{CPU: 7000, Memory: cottonlanding.Gigabyte}, Estimate: 4000, Fills: true}
	return cottonlanding.Workflow{ID: id, Queue: "Filling", Steps: []cottonlanding.Step{step}}
}

// rejects reports whether the cell would reject a workflow that it doesn't know.
func (c *loadedCell) rejects(workflow cottonlanding.Workflow) bool {
	var got error
	if c.callers[workflow.ID] == nil {
		c.callers[workflow.ID] = &caller{workflow: workflow, at: c.now}
	}
	c.cell.Submit(workflow, c.now, func(err error) { got = err })
	return errors.Is(got, cottonlanding.ErrBusy)
}

// TestKnownWorkflowsAreNeverRejected guards against a caller that is told 429 for a workflow that is or was accepted:
// one whose acceptance is being committed, a committed, final, handed over or referred one, and against rejecting what
// has no objective, is scheduled or has lasting tasks.
func TestKnownWorkflowsAreNeverRejected(t *testing.T) {
	c := newLoadedCell(t, admitter.Reject{})
	early := c.hopeless("early")
	require.False(t, c.rejects(early))
	c.load(25*cottonlanding.Second, map[cottonlanding.QueueName]float64{"Filling": 4 * fullFilling})
	for number := 0; !c.rejects(c.hopeless(cottonlanding.WorkflowID(fmt.Sprintf("other%d", number)))); number++ {
		require.Less(t, number, 20)
	}
	require.True(t, c.rejects(c.hopeless("new")))
	require.True(t, c.rejects(c.hopeless("new")), "a rejection keeps no state")
	require.False(t, c.cell.Knows("new"))
	rejected := c.cell.Counts().Rejected

	require.False(t, c.rejects(early))
	c.cell.SubmitHandedOver(c.hopeless("handedOver"), c.now, func(err error) { require.NoError(t, err) })
	require.False(t, c.rejects(c.hopeless("handedOver")), "its acceptance is being committed")
	c.cell.Refer("referred", 1, c.now, func(error) {})
	require.False(t, c.rejects(c.hopeless("referred")))
	c.cell.Cancel("early", c.now, func(err error) { require.NoError(t, err) })
	require.False(t, c.rejects(early), "a final one")

	exempt := c.hopeless("free")
	exempt.Queue = "Free"
	require.False(t, c.rejects(exempt), "a queue without an objective")
	exempt = c.hopeless("scheduled")
	exempt.Schedule = cottonlanding.Schedule{First: math.MaxInt64, Rounds: 1}
	require.False(t, c.rejects(exempt))
	exempt = c.hopeless("lasting")
	exempt.Steps[0].Lasting, exempt.Steps[0].Fills = true, false
	require.False(t, c.rejects(exempt))
	exempt = c.hopeless("unknown")
	exempt.Queue = "None"
	require.False(t, c.rejects(exempt), "the error is that of an unknown queue")
	require.Equal(t, rejected, c.cell.Counts().Rejected)
}

// TestAbsurdEstimatesDoNotAffectOthers guards against a workflow with an estimate of a year, or a negative one, because of
// which all others are rejected.
func TestAbsurdEstimatesDoNotAffectOthers(t *testing.T) {
	play := func(absurd ...cottonlanding.Millis) outcome {
		c := newLoadedCell(t, admitter.Reject{})
		for at, estimate := range absurd {
			w := c.hopeless(cottonlanding.WorkflowID(fmt.Sprintf("absurd%d", at)))
			w.Steps[0].Estimate = estimate
			c.callers[w.ID] = &caller{workflow: w, at: c.now}
			c.cell.Submit(w, c.now, func(error) {})
		}
		c.load(20*cottonlanding.Second, map[cottonlanding.QueueName]float64{"Filling": 0.9 * fullFilling})
		c.load(drainTime, nil)
		return c.outcome("Filling", 0, c.now)
	}
	require.Zero(t, play(365*24*60*cottonlanding.Minute, math.MaxInt64, -cottonlanding.Minute, 0).rejected)
}

// BenchmarkForecast measures a submission that is rejected by a cell in which 2,000 workflows of its queue wait. It must
// take less than 1 ms.
func BenchmarkForecast(b *testing.B) {
	const waiting = 2000
	c := newLoadedCell(b, admitter.Reject{})
	c.load(5*cottonlanding.Second, map[cottonlanding.QueueName]float64{"Filling": 2.5 * fullFilling})
	for range waiting {
		c.submit("Filling", 20, 7000, 2200, true)
	}
	for c.cell.Counts().Rejected == 0 {
		c.load(200, map[cottonlanding.QueueName]float64{"Filling": 2.5 * fullFilling})
	}
	w := c.hopeless("new")
	rejected := c.cell.Counts().Rejected
	b.ResetTimer()
	for range b.N {
		c.cell.Submit(w, c.now, func(error) {})
	}
	require.GreaterOrEqual(b, c.cell.Counts().Rejected-rejected, int64(b.N-1), "at most one is accepted because none was for a second")
}

// TestOverloadLogs guards against an overload that an operator doesn't see begin and end, also if the queue gets no more
// submissions, and against a line for each rejection.
func TestOverloadLogs(t *testing.T) {
	var log strings.Builder
	c := newLoadedCellWithLog(t, admitter.Reject{}, slog.New(slog.NewTextHandler(&log, nil)))
	c.load(20*cottonlanding.Second, map[cottonlanding.QueueName]float64{"Filling": 10 * fullFilling})
	begun, ended := strings.Count(log.String(), "queue rejects workflows"), strings.Count(log.String(), "queue accepts workflows again")
	require.Equal(t, begun, ended+1, "the queue rejects")
	require.Less(t, int64(10*begun), c.cell.Counts().Rejected)
	require.Contains(t, log.String(), `msg="queue rejects workflows" Queue=Filling Forecast=`)
	c.load(11*cottonlanding.Second, nil)
	require.Equal(t, begun, strings.Count(log.String(), "queue accepts workflows again"))
}
