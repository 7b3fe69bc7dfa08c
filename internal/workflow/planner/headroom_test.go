package planner_test

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	waveWorkers = 12
	// idleTail and waveTarget give a utilization of 0.778 at the latency target.
	idleTail   = 4.0
	waveTarget = 18 * cottonlanding.Millis(1)
	wavePeriod = 10 * cottonlanding.Second
)

// waveRun is a run on a worker of a waveCell.
type waveRun struct {
	worker cottonlanding.WorkerID
	pace   int
	done   float64 // milliseconds at full pace
	// deviation is the scatter of the serving task's utilization, sum that of the current half-second, sample its mean
	// over the last one.
	deviation, sum, sample float64
}

// waveCell simulates workers whose serving tasks have a load in waves with scatter, as measured: a standard deviation of
// 0.06, correlated by 0.55 over half a second.
type waveCell struct {
	t       *testing.T
	now     cottonlanding.Millis
	cell    *planner.Cell
	random  *rand.Rand
	steps   map[cottonlanding.WorkflowID]cottonlanding.Step
	runs    map[cottonlanding.RunKey]*waveRun
	polls   map[cottonlanding.WorkerID]planner.NextPoll
	pollAt  map[cottonlanding.WorkerID]cottonlanding.Millis
	ends    map[cottonlanding.WorkerID][]cottonlanding.RunEnd
	serials map[cottonlanding.WorkerID]uint64
	kept    map[cottonlanding.TaskRef]float64 // work done at the last checkpoint
	stopped int                               // runs that were stopped
	version cottonlanding.Version
	weights map[cottonlanding.Image]float64
	load    func(step int, now cottonlanding.Millis) float64
	// halfSeconds and overTarget count the half-seconds of serving tasks, worked the filling work done, in milliseconds
	// at full pace.
	halfSeconds, overTarget int
	worked                  map[cottonlanding.Image]float64
}

// newWaveCell returns a cell in which four serving tasks of different steps run on each worker.
func newWaveCell(t *testing.T, headroom string, target cottonlanding.Millis) *waveCell {
	set, err := selector.New(selector.Names{"Headroom": headroom})
	require.NoError(t, err)
	c := &waveCell{
		t: t, now: 1000, random: rand.New(rand.NewSource(1)),
		cell:    planner.New(planner.Setup{Partition: partition, Epoch: 1, BeforeUntil: 1000}, timing, set.Planner, discardLog()),
		steps:   make(map[cottonlanding.WorkflowID]cottonlanding.Step),
		runs:    make(map[cottonlanding.RunKey]*waveRun),
		polls:   make(map[cottonlanding.WorkerID]planner.NextPoll),
		pollAt:  make(map[cottonlanding.WorkerID]cottonlanding.Millis),
		ends:    make(map[cottonlanding.WorkerID][]cottonlanding.RunEnd),
		serials: make(map[cottonlanding.WorkerID]uint64),
		weights: map[cottonlanding.Image]float64{"heavy": 2, "light": 0.1},
		load: func(step int, now cottonlanding.Millis) float64 {
			return 0.42 + 0.22*math.Sin(2*math.Pi*(float64(now)/float64(wavePeriod)+float64(step)/10))
		},
		kept:   make(map[cottonlanding.TaskRef]float64),
		worked: make(map[cottonlanding.Image]float64),
	}
	c.cell.SetQueues(cottonlanding.Queues{Version: 1, Queues: map[cottonlanding.QueueName]cottonlanding.Queue{
		"Serve": {Name: "Serve", Service: "S", Attempts: 3},
		"Fill":  {Name: "Fill", Service: "S", Priority: 2, Attempts: 2, Stretch: 2, LatencyTarget: 1000},
	}})
	var workers []cottonlanding.WorkerInfo
	for number := range waveWorkers {
		id := cottonlanding.WorkerID(fmt.Sprintf("w%02d", number))
		workers = append(workers, cottonlanding.WorkerInfo{ID: id, Address: cottonlanding.Address(id), Service: "S", State: cottonlanding.Live,
			Capacity: cottonlanding.Resources{CPU: 64000, Memory: 250 * cottonlanding.Gigabyte}})
	}
	c.cell.SetWorkers(workers, c.now)
	for _, w := range workers {
		c.pollAt[w.ID] = c.now
	}
	c.play(cottonlanding.Second)
	for step := range 4 {
		c.submit(fmt.Sprintf("serve%d", step), "Serve", cottonlanding.Step{Tasks: waveWorkers, MostPerWorker: 1, Lasting: true,
			Resources: cottonlanding.Resources{CPU: 13000}, Image: cottonlanding.Image(fmt.Sprintf("s%d", step)), LatencyTarget: target})
	}
	c.play(5 * cottonlanding.Second)
	return c
}

func (c *waveCell) submit(id string, queue cottonlanding.QueueName, step cottonlanding.Step) {
	step.Resources.Memory = cottonlanding.Gigabyte
	c.steps[cottonlanding.WorkflowID(id)] = step
	c.cell.Submit(cottonlanding.Workflow{ID: cottonlanding.WorkflowID(id), Queue: queue, Steps: []cottonlanding.Step{step}}, c.now, func(error) {})
}

// fill submits a filling workflow, if it has any tasks.
func (c *waveCell) fill(image cottonlanding.Image, tasks int) {
	if tasks == 0 {
		return
	}
	c.submit(fmt.Sprintf("%s%d", image, c.now), "Fill", cottonlanding.Step{Tasks: tasks, Resources: cottonlanding.Resources{CPU: 7000},
		Estimate: 2200, Image: image, Fills: true, Checkpoints: true})
}

// learn has the cell learn the weights of both images, one after the other.
func (c *waveCell) learn() {
	for _, image := range []cottonlanding.Image{"heavy", "light"} {
		for range 15 {
			c.fill(image, 2)
			c.play(cottonlanding.Second)
		}
	}
}

func (c *waveCell) play(span cottonlanding.Millis) {
	for range int(span / 100) {
		c.step()
	}
}

// step plays 100 ms.
func (c *waveCell) step() {
	c.now += 100
	c.cell.Decide(c.now, 0)
	if plan := c.cell.Plan(c.now); plan != nil {
		c.version++
		c.cell.Committed(plan, c.version)
	}
	for _, order := range c.cell.Orders(c.now) {
		switch order.Verb {
		case planner.VerbStart:
			c.runs[order.Start.RunKey] = &waveRun{worker: order.Worker.Life.Worker, pace: 100, done: c.kept[order.Start.Task]}
		case planner.VerbPace:
			if r := c.runs[order.Start.RunKey]; r != nil {
				r.pace = order.Percent
			}
		case planner.VerbStop:
			if r := c.runs[order.Start.RunKey]; r != nil {
				c.kept[order.Start.Task] = r.done
				c.stopped++
			}
			delete(c.runs, order.Start.RunKey)
		}
		c.cell.OrderAnswered(order, 0, nil, c.now)
	}
	used := make(map[cottonlanding.WorkerID]float64) // what filling tasks add
	for key, r := range c.runs {
		step := c.steps[key.Task.Workflow]
		if !step.Fills {
			continue
		}
		work := float64(r.pace)
		used[r.worker] += c.weights[step.Image] * 7.0 / 64 * work / 100
		c.worked[step.Image] += work
		if r.done += work; r.done >= 2200 {
			c.serials[r.worker]++
			c.ends[r.worker] = append(c.ends[r.worker], cottonlanding.RunEnd{RunKey: key, Serial: c.serials[r.worker], Kind: cottonlanding.EndDone})
			delete(c.runs, key)
		}
	}
	c.scatter(used)
	for number := range waveWorkers {
		if id := cottonlanding.WorkerID(fmt.Sprintf("w%02d", number)); c.now >= c.pollAt[id] {
			c.poll(id)
		}
	}
}

// scatter advances the serving tasks in a fixed order.
func (c *waveCell) scatter(used map[cottonlanding.WorkerID]float64) {
	correlation := math.Pow(0.55, 0.2)
	for number := range 4 * waveWorkers {
		id := cottonlanding.WorkflowID(fmt.Sprintf("serve%d", number%4))
		for run := cottonlanding.RunNumber(1); run < 9; run++ {
			r := c.runs[cottonlanding.RunKey{Task: cottonlanding.TaskRef{Workflow: id, Index: number / 4}, Number: run}]
			if r == nil {
				continue
			}
			r.deviation = correlation*r.deviation + 0.065*math.Sqrt(1-correlation*correlation)*c.random.NormFloat64()
			r.sum += (c.load(number%4, c.now) + r.deviation + used[r.worker]) / 5
			if c.now%500 == 0 {
				c.halfSeconds++
				if r.sum > 1-idleTail/float64(waveTarget) {
					c.overTarget++
				}
				r.sample, r.sum = r.sum, 0
			}
		}
	}
}

func (c *waveCell) poll(id cottonlanding.WorkerID) {
	if next, sent := c.polls[id]; sent {
		report := cottonlanding.RunReport{Reading: cottonlanding.Reading(c.now), Ended: c.ends[id]}
		c.ends[id] = nil
		for key, r := range c.runs {
			if r.worker != id {
				continue
			}
			progress := cottonlanding.RunProgress{RunKey: key, Percent: 100}
			if step := c.steps[key.Task.Workflow]; step.Fills {
				progress.Percent, progress.Used = int(r.done/22), cottonlanding.Millicores(70*r.pace)
			} else if r.sample > 0 {
				progress.Tail = cottonlanding.Millis(math.Round(min(idleTail/max(1-r.sample, 0.01), 1000)))
			}
			report.Running = append(report.Running, progress)
		}
		c.cell.PollAnswered(next, report, c.now, c.now)
	}
	next, found := c.cell.NextPoll(id, c.now)
	require.True(c.t, found)
	if next.After > 0 {
		delete(c.polls, id)
		c.pollAt[id] = c.now + next.After
		return
	}
	c.polls[id], c.pollAt[id] = next, c.now+max(next.Poll.Wait, 100)
}

// TestHeadroomUnderLoad guards against each load at which filling tasks drive serving tasks over their latency targets,
// or lose throughput for nothing, under "spread" compared with the baseline "fraction".
func TestHeadroomUnderLoad(t *testing.T) {
	for name, load := range map[string]struct {
		// every is the time between two submissions of heavy and light tasks.
		every        cottonlanding.Millis
		heavy, light int
		load         func(int, cottonlanding.Millis) float64
		target       cottonlanding.Millis
		// maxOverTarget bounds the half-seconds over the target and minHeavy and minLight the filling work, all as
		// fractions of those of the baseline.
		maxOverTarget, minHeavy, minLight float64
		// warm has the pairs learnt one after the other before.
		warm bool
	}{
		"heavy pairs near the top of a wave":         {every: 1000, heavy: 1, target: waveTarget, maxOverTarget: 0.5, minHeavy: 0.9},
		"a burst on many workers at once":            {every: 10_000, warm: true, heavy: 36, light: 100, target: waveTarget, maxOverTarget: 0.6, minHeavy: 0.6, minLight: 0.97},
		"noise alone":                                {every: 1000, heavy: 2, target: waveTarget, load: steadyLoad, maxOverTarget: 1, minHeavy: 0.9},
		"light pairs on full workers":                {every: 1000, warm: true, light: 30, target: waveTarget, maxOverTarget: 1.5, minLight: 0.97},
		"steps without a target":                     {every: 1000, heavy: 3, light: 10, maxOverTarget: 1, minHeavy: 1, minLight: 1},
		"heavy pairs where light ones fill the rest": {every: 1000, warm: true, heavy: 1, light: 30, target: waveTarget, maxOverTarget: 0.7, minHeavy: 0.85, minLight: 0.93},
	} {
		t.Run(name, func(t *testing.T) {
			played := make(map[string]*waveCell)
			for _, headroom := range []string{"fraction", "spread"} {
				c := newWaveCell(t, headroom, load.target)
				if load.load != nil {
					c.load = load.load
				}
				if load.warm {
					c.learn()
				}
				c.halfSeconds, c.overTarget = 0, 0
				clear(c.worked)
				for range 60 * cottonlanding.Second / load.every {
					c.fill("heavy", load.heavy)
					c.fill("light", load.light)
					c.play(load.every)
				}
				played[headroom] = c
				t.Logf("%s: %d of %d half-seconds over the target, work of %.0f heavy and %.0f light tasks, %d stops",
					headroom, c.overTarget, c.halfSeconds, c.worked["heavy"]/2200, c.worked["light"]/2200, c.stopped)
			}
			base, spread := played["fraction"], played["spread"]
			require.LessOrEqual(t, float64(spread.overTarget), load.maxOverTarget*float64(base.overTarget), "half-seconds over the target")
			require.GreaterOrEqual(t, spread.worked["heavy"], load.minHeavy*base.worked["heavy"], "heavy work")
			require.GreaterOrEqual(t, spread.worked["light"], load.minLight*base.worked["light"], "light work")
		})
	}
}

// steadyLoad is a load without waves.
func steadyLoad(int, cottonlanding.Millis) float64 { return 0.42 }
