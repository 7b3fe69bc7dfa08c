package planner_test

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	tailBase      = 25.0
	target        = 150 * cottonlanding.Millis(1)
	maxOverTarget = 4 * cottonlanding.Second
	// fillDuration is how long a filling task runs, which is longer than the tests.
	fillDuration = 200 * cottonlanding.Second
)

// sharedWorker simulates one worker on which filling tasks interfere with serving ones as on the real platform:
// tail = base / (1 - load - weights x use).
type sharedWorker struct {
	t                 *testing.T
	now               cottonlanding.Millis
	cell              *planner.Cell
	epoch             cottonlanding.Epoch
	rows              map[cottonlanding.Key]cottonlanding.Row
	version           cottonlanding.Version
	weights           map[cottonlanding.Image]float64
	images            map[cottonlanding.WorkflowID]cottonlanding.Image
	runs              map[cottonlanding.RunKey]int     // pace in percent
	done              map[cottonlanding.RunKey]float64 // progress in percent
	overTarget        cottonlanding.Millis             // how long the serving task has been over its target
	longestOverTarget cottonlanding.Millis
	worked            map[cottonlanding.Image]float64 // percent-milliseconds
	policy            planner.Policy
	// load is the utilization of the serving task by its own users at a given time.
	load func(cottonlanding.Millis) float64
}

func newSharedWorker(t *testing.T, weights map[cottonlanding.Image]float64) *sharedWorker {
	s := &sharedWorker{
		t: t, now: 1000, weights: weights,
		rows:   make(map[cottonlanding.Key]cottonlanding.Row),
		images: make(map[cottonlanding.WorkflowID]cottonlanding.Image),
		runs:   make(map[cottonlanding.RunKey]int),
		done:   make(map[cottonlanding.RunKey]float64),
		worked: make(map[cottonlanding.Image]float64),
		policy: selector.Default().Planner,
		load:   swinging,
	}
	s.takeOver()
	return s
}

// takeOver starts a new owner from the committed rows.
func (s *sharedWorker) takeOver() {
	s.epoch++
	s.cell = planner.New(planner.Setup{Partition: partition, Epoch: s.epoch, BeforeUntil: s.now}, timing, s.policy, discardLog())
	s.cell.SetQueues(cottonlanding.Queues{Version: 1, Queues: map[cottonlanding.QueueName]cottonlanding.Queue{
		"Serve": {Name: "Serve", Service: "S", Attempts: 3},
		"Fill":  {Name: "Fill", Service: "S", Priority: 2, Attempts: 2, Stretch: 2, LatencyTarget: 1000},
	}})
	s.cell.SetWorkers([]cottonlanding.WorkerInfo{{ID: "w", Address: "w", Service: "S", State: cottonlanding.Live,
		Capacity: cottonlanding.Resources{CPU: 32000, Memory: 128 * cottonlanding.Gigabyte}}}, s.now)
	var specs, states []cottonlanding.Row
	for key, row := range s.rows {
		switch {
		case key == planner.LearntKey(partition):
			require.NoError(s.t, s.cell.LoadLearnt(row))
		case strings.HasPrefix(string(key), string(planner.SpecKey(partition, ""))):
			specs = append(specs, row)
		default:
			states = append(states, row)
		}
	}
	require.NoError(s.t, s.cell.Load(specs, states, s.now))
}

// commit applies a plan to the rows.
func (s *sharedWorker) commit(plan *planner.Plan) {
	s.version++
	for _, write := range plan.Writes {
		require.Equal(s.t, s.rows[write.Key].Version, write.Expect, "the version of %s", write.Key)
		s.rows[write.Key] = cottonlanding.Row{Key: write.Key, Version: s.version, Value: write.Value}
	}
	s.cell.Committed(plan, s.version)
}

func (s *sharedWorker) submit(id cottonlanding.WorkflowID, queue cottonlanding.QueueName, step cottonlanding.Step) {
	s.images[id] = step.Image
	step.Resources.Memory = cottonlanding.Gigabyte
	s.cell.Submit(cottonlanding.Workflow{ID: id, Queue: queue, Steps: []cottonlanding.Step{step}}, s.now, func(error) {})
}

// swinging is a load with the swings of real ones.
func swinging(now cottonlanding.Millis) float64 {
	return 0.48 + 0.2*math.Sin(2*math.Pi*float64(now)/20_000)
}

func (s *sharedWorker) utilization() float64 {
	utilization := s.load(s.now)
	for key, pace := range s.runs {
		utilization += s.weights[s.images[key.Task.Workflow]] * 3.5 / 32 * float64(pace) / 100
	}
	return utilization
}

// step plays 100 ms.
func (s *sharedWorker) step(poll bool) {
	s.now += 100
	s.cell.Decide(s.now, 0)
	if plan := s.cell.Plan(s.now); plan != nil {
		s.commit(plan)
	}
	for _, order := range s.cell.Orders(s.now) {
		switch order.Verb {
		case planner.VerbStart:
			s.runs[order.Start.RunKey] = 100
		case planner.VerbPace:
			s.runs[order.Start.RunKey] = order.Percent
		case planner.VerbStop:
			delete(s.runs, order.Start.RunKey)
		}
		s.cell.OrderAnswered(order, 0, nil, s.now)
	}
	if s.utilization() > 1-tailBase/float64(target) && s.serving() {
		s.overTarget += 100
		s.longestOverTarget = max(s.longestOverTarget, s.overTarget)
	} else {
		s.overTarget = 0
	}
	for key, pace := range s.runs {
		s.worked[s.images[key.Task.Workflow]] += float64(pace) * 100
		s.done[key] += float64(pace) * 100 / float64(fillDuration)
	}
	if poll {
		s.poll()
	}
}

func (s *sharedWorker) serving() bool {
	for key := range s.runs {
		if s.images[key.Task.Workflow] == "serve" {
			return true
		}
	}
	return false
}

func (s *sharedWorker) poll() {
	next, _ := s.cell.NextPoll("w", s.now) // extends the lease
	report := cottonlanding.RunReport{Reading: cottonlanding.Reading(s.now)}
	for key, pace := range s.runs {
		progress := cottonlanding.RunProgress{RunKey: key, Percent: 100}
		if s.images[key.Task.Workflow] == "serve" {
			progress.Tail = cottonlanding.Millis(min(tailBase/max(1-s.utilization(), 0.01), 1000))
		} else {
			progress.Percent = int(s.done[key])
			progress.Used = cottonlanding.Millicores(3500 * pace / 100)
		}
		report.Running = append(report.Running, progress)
	}
	s.cell.PollAnswered(next, report, s.now, s.now)
}

func (s *sharedWorker) play(span cottonlanding.Millis, each func(number int)) {
	for number := range int(span / 100) {
		each(number)
		s.step(number%8 == 0)
	}
}

// TestHeavyFillersAreSlowed guards against heavy filling tasks that keep a serving task over its target, or that are
// paused although there is room for part of their work.
func TestHeavyFillersAreSlowed(t *testing.T) {
	s := newSharedWorker(t, map[cottonlanding.Image]float64{"heavy": 3})
	s.submit("serve", "Serve", cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 6000}, Lasting: true, Image: "serve", LatencyTarget: target})
	s.play(60*cottonlanding.Second, func(number int) {
		if number%20 == 19 {
			s.submit(cottonlanding.WorkflowID(fmt.Sprintf("f%d", number)), "Fill",
				cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 3500}, Estimate: fillDuration, Image: "heavy", Fills: true, Checkpoints: true})
		}
	})
	require.Less(t, s.longestOverTarget, maxOverTarget*3/4, "time over the target")
	require.Positive(t, s.worked["heavy"], "remaining room must be used")
}

// TestLightFillersRunAtFullPace guards against slowing filling tasks that hardly interfere.
func TestLightFillersRunAtFullPace(t *testing.T) {
	s := newSharedWorker(t, map[cottonlanding.Image]float64{"light": 0.1})
	s.submit("serve", "Serve", cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 6000}, Lasting: true, Image: "serve", LatencyTarget: target})
	s.play(60*cottonlanding.Second, func(number int) {
		if number%20 == 19 && number < 100 {
			s.submit(cottonlanding.WorkflowID(fmt.Sprintf("f%d", number)), "Fill",
				cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 3500}, Estimate: fillDuration, Image: "light", Fills: true, Checkpoints: true})
		}
	})
	for key, pace := range s.runs {
		require.Equal(t, 100, pace, "%v", key)
	}
	require.Len(t, s.runs, 6)
	require.Less(t, s.longestOverTarget, maxOverTarget)
}

// TestStarvedWorkflowRuns guards against a filling workflow of a heavy image that starts no task although one fits on
// the worker.
func TestStarvedWorkflowRuns(t *testing.T) {
	s := newSharedWorker(t, map[cottonlanding.Image]float64{"heavy": 8})
	s.submit("serve", "Serve", cottonlanding.Step{Tasks: 4, Resources: cottonlanding.Resources{CPU: 6000}, Lasting: true, Image: "serve", LatencyTarget: target})
	s.play(2*cottonlanding.Second, func(int) {})
	began := s.now
	s.submit("f", "Fill", cottonlanding.Step{Tasks: 5, Resources: cottonlanding.Resources{CPU: 7000}, Estimate: 3000, Image: "heavy", Fills: true, Checkpoints: true})
	for len(s.runs) < 5 {
		s.step(true)
		require.Less(t, s.now-began, 3*cottonlanding.Second, "time until a task starts although there is room")
	}
}

// TestPausedFillersCountAsWorking guards against placing more filling tasks on a worker with paused ones than can work
// at once: the paused ones resume when the load falls, and all of them would then be late at a part of their speed.
func TestPausedFillersCountAsWorking(t *testing.T) {
	s := newSharedWorker(t, map[cottonlanding.Image]float64{"heavy": 4, "light": 0.1})
	s.submit("serve", "Serve", cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 6000}, Lasting: true, Image: "serve", LatencyTarget: target})
	fill := cottonlanding.Step{Tasks: 20, Resources: cottonlanding.Resources{CPU: 3500}, Estimate: fillDuration, Fills: true, Checkpoints: true}
	s.play(60*cottonlanding.Second, func(number int) {
		fill.Image = "heavy"
		if number%20 == 19 && number < 120 {
			step := fill
			step.Tasks = 1 // with nothing running, each is placed after a long wait
			s.submit(cottonlanding.WorkflowID(fmt.Sprintf("h%d", number)), "Fill", step)
		}
		if number == 200 {
			fill.Image = "light"
			s.submit("light", "Fill", fill)
		}
	})
	light := 0
	for key := range s.runs {
		if key.Task.Workflow == "light" {
			light++
		}
	}
	const fit = 32000 / 3500
	require.Positive(t, light)
	require.LessOrEqual(t, len(s.runs)-1, fit, "more filling tasks than there are processors for")
}

// playUnknownImages plays a worker with filling tasks of eight unknown images that hardly interfere, and returns their
// progress within a span.
func playUnknownImages(t *testing.T, decisions selector.Names, span cottonlanding.Millis) float64 {
	weights := make(map[cottonlanding.Image]float64)
	for number := range 8 {
		weights[cottonlanding.Image(fmt.Sprintf("light%d", number))] = 0.1
	}
	s := newSharedWorker(t, weights)
	set, err := selector.New(decisions)
	require.NoError(t, err)
	s.policy = set.Planner
	s.takeOver()
	s.submit("serve", "Serve", cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 4000}, Lasting: true, Image: "serve", LatencyTarget: target})
	s.play(5*cottonlanding.Second, func(int) {})
	for image := range weights {
		s.submit(cottonlanding.WorkflowID(image), "Fill",
			cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 3500}, Estimate: fillDuration, Image: image, Fills: true, Checkpoints: true})
	}
	s.play(span, func(int) {})
	require.Less(t, s.longestOverTarget, maxOverTarget)
	sum := 0.0
	for _, worked := range s.worked {
		sum += worked
	}
	return sum
}

// TestUnknownImagesAreTried guards against filling tasks of many unknown images being paused, as under the cautious
// policy, instead of being tried.
func TestUnknownImagesAreTried(t *testing.T) {
	const span = 20 * cottonlanding.Second
	tried := playUnknownImages(t, nil, span)
	cautious := playUnknownImages(t, selector.Names{"Disturbance": "cautious"}, span)
	require.Greater(t, tried, 1.25*cautious)
	require.Greater(t, tried, 0.7*8*100*float64(span), "most of what eight tasks can do")
}

// TestRisingLoadIsAttributedToServing guards against attributing the rise of a serving step's load, which builds up in
// three seconds, to the filling tasks of several images that come and go meanwhile.
func TestRisingLoadIsAttributedToServing(t *testing.T) {
	images := []cottonlanding.Image{"l0", "l1", "l2", "l3"}
	weights := make(map[cottonlanding.Image]float64)
	for _, image := range images {
		weights[image] = 0.1
	}
	s := newSharedWorker(t, weights)
	s.load = func(now cottonlanding.Millis) float64 {
		return min(0.15*float64(now-1000)/float64(cottonlanding.Second), 0.45)
	}
	s.submit("serve", "Serve", cottonlanding.Step{Tasks: 4, Resources: cottonlanding.Resources{CPU: 4000}, Lasting: true, Image: "serve", LatencyTarget: target})
	s.play(12*cottonlanding.Second, func(number int) {
		id := cottonlanding.WorkflowID(fmt.Sprintf("f%d", number/10))
		switch number % 10 {
		case 1:
			s.submit(id, "Fill", cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 3500}, Estimate: fillDuration, Image: images[number/10%4], Fills: true, Checkpoints: true})
		case 9:
			s.cell.Cancel(id, s.now, func(error) {})
		}
	})
	for _, image := range images {
		weight, doubt := s.learnt("serve", image)
		require.False(t, math.IsInf(doubt, 1), "nothing was learnt of %s", image)
		require.Less(t, weight-2*doubt, 0.5, "it is sure that %s disturbs", image)
	}
}

// learnt returns the weight of a pair and its standard error as last stored for the next owner.
func (s *sharedWorker) learnt(serving, filling cottonlanding.Image) (weight, doubt float64) {
	var row struct {
		Serving []struct {
			Image cottonlanding.Image
			Pairs []struct {
				Image  cottonlanding.Image `json:"I"`
				Weight float64             `json:"W"`
				Doubt  float64             `json:"D"`
			}
		}
	}
	written, found := s.rows[planner.LearntKey(partition)]
	if !found {
		return 0, math.Inf(1)
	}
	require.NoError(s.t, json.Unmarshal(written.Value, &row))
	for _, one := range row.Serving {
		for _, pair := range one.Pairs {
			if one.Image == serving && pair.Image == filling {
				return pair.Weight, pair.Doubt
			}
		}
	}
	return 0, math.Inf(1)
}

// paces returns the paces of the filling tasks of a workflow.
func (s *sharedWorker) paces(id cottonlanding.WorkflowID) []int {
	var out []int
	for key, pace := range s.runs {
		if key.Task.Workflow == id {
			out = append(out, pace)
		}
	}
	return out
}

// TestNewOwnerSetsPaces guards against a new owner that takes a filling task which the previous owner had paused for
// one that is stuck, or leaves it paused.
func TestNewOwnerSetsPaces(t *testing.T) {
	s := newSharedWorker(t, map[cottonlanding.Image]float64{"light": 0.1})
	s.submit("serve", "Serve", cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 6000}, Lasting: true, Image: "serve", LatencyTarget: target})
	s.submit("fill", "Fill", cottonlanding.Step{Tasks: 4, Resources: cottonlanding.Resources{CPU: 3500}, Estimate: fillDuration, Image: "light", Fills: true, Checkpoints: true})
	s.play(20*cottonlanding.Second, func(int) {})
	require.Equal(t, []int{100, 100, 100, 100}, s.paces("fill"))
	for key := range s.runs {
		if key.Task.Workflow == "fill" {
			s.runs[key] = 0 // the owner's last order
		}
	}
	s.takeOver()
	s.play(3*cottonlanding.Second, func(int) {})
	require.Equal(t, []int{100, 100, 100, 100}, s.paces("fill"))
}

// TestNewOwnerInheritsWeights guards against a new owner that pauses light filling tasks, or lets heavy ones run fast,
// until it has learnt their weights again.
func TestNewOwnerInheritsWeights(t *testing.T) {
	s := newSharedWorker(t, map[cottonlanding.Image]float64{"light": 0.1, "heavy": 6})
	s.submit("serve", "Serve", cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 6000}, Lasting: true, Image: "serve", LatencyTarget: target})
	fill := cottonlanding.Step{Tasks: 2, Resources: cottonlanding.Resources{CPU: 3500}, Estimate: fillDuration, Fills: true, Checkpoints: true}
	fill.Image = "heavy"
	s.submit("heavy", "Fill", fill)
	s.play(10*cottonlanding.Second, func(int) {})
	fill.Image = "light"
	s.submit("light", "Fill", fill)
	s.play(20*cottonlanding.Second, func(int) {})
	s.takeOver()
	s.overTarget, s.longestOverTarget = 0, 0
	before := s.worked["light"]
	const span = 10 * cottonlanding.Second
	s.play(span, func(int) {})
	require.InDelta(t, 200*float64(span), s.worked["light"]-before, 10*float64(span), "light tasks must work at full pace")
	require.Less(t, s.longestOverTarget, maxOverTarget/2)
}
