package planner_test

import (
	"cmp"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"slices"
	"testing"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// busyDay drives a cell with more work than its workers can carry, as on the busiest days in production.
type busyDay struct {
	cell *planner.Cell
	// scale is the number of workers as a multiple of busyWorkers.
	scale   int
	random  *rand.Rand
	now     cottonlanding.Millis
	number  int
	steps   map[cottonlanding.WorkflowID]cottonlanding.Step
	workers []*busyWorker
}

// busyWorker is a worker that carries out its orders.
type busyWorker struct {
	id      cottonlanding.WorkerID
	running []busyRun
	ended   []cottonlanding.RunEnd
	serial  uint64
}

type busyRun struct {
	key  cottonlanding.RunKey
	step cottonlanding.Step
	left cottonlanding.Millis
}

const (
	busyWorkers = 48
	busyTurn    = 15 * cottonlanding.Millis(1)
	busyPolls   = 2 // per second and worker
)

func newBusyDay() *busyDay { return newBusyDayOf(busyWorkers) }

// newBusyDayOf returns a busyDay for a number of workers, with the same load for each worker as newBusyDay.
func newBusyDayOf(workers int) *busyDay {
	d := &busyDay{
		scale: workers / busyWorkers,
		cell: planner.New(planner.Setup{Partition: "W", Epoch: 1},
			planner.Timing{Lease: 6000, CutOffGrace: 2000, StopTimeout: 900, Retention: 2 * cottonlanding.Minute},
			selector.Default().Planner, slog.New(slog.NewJSONHandler(io.Discard, nil))),
		random: rand.New(rand.NewSource(1)),
		now:    1000,
		steps:  make(map[cottonlanding.WorkflowID]cottonlanding.Step),
	}
	d.cell.SetQueues(cottonlanding.Queues{Version: 1, Queues: map[cottonlanding.QueueName]cottonlanding.Queue{
		"Short":   {Name: "Short", Service: "S", Attempts: 3, Stretch: 1.5, LatencyTarget: 250},
		"Filling": {Name: "Filling", Service: "S", Attempts: 3, Stretch: 2, LatencyTarget: 1000, Priority: 2},
		"Lasting": {Name: "Lasting", Service: "S", Attempts: 3, Stretch: 2.2, LatencyTarget: 2500},
	}})
	var infos []cottonlanding.WorkerInfo
	for number := range workers {
		id := cottonlanding.WorkerID(fmt.Sprintf("w%04d", number))
		d.workers = append(d.workers, &busyWorker{id: id})
		infos = append(infos, cottonlanding.WorkerInfo{ID: id, Address: cottonlanding.Address(id), Service: "S", State: cottonlanding.Live,
			Capacity: cottonlanding.Resources{CPU: 36000, Memory: 128 * cottonlanding.Gigabyte}})
	}
	d.cell.SetWorkers(infos, d.now)
	for number := range 35 * workers / busyWorkers {
		d.submit("Lasting", 1, cottonlanding.Step{Tasks: 6, Resources: need(6400, 13), Lasting: true, LatencyTarget: 24,
			Image: cottonlanding.Image(fmt.Sprintf("s%d", number%5)), Estimate: 320})
	}
	return d
}

func need(cpu cottonlanding.Millicores, gigabytes int64) cottonlanding.Resources {
	return cottonlanding.Resources{CPU: cpu, Memory: cottonlanding.Bytes(gigabytes) * cottonlanding.Gigabyte}
}

func (d *busyDay) submit(queue cottonlanding.QueueName, steps int, step cottonlanding.Step) {
	d.number++
	w := cottonlanding.Workflow{ID: cottonlanding.WorkflowID(fmt.Sprintf("%016x", d.number)), Queue: queue}
	for at := range steps {
		if at > 0 {
			step.After = []int{at - 1}
		}
		w.Steps = append(w.Steps, step)
	}
	d.steps[w.ID] = step
	d.cell.Submit(w, d.now, func(error) {})
}

// runSecond plays one second.
func (d *busyDay) runSecond() {
	turns := int(cottonlanding.Second / busyTurn)
	for turn := range turns {
		d.now += busyTurn
		if turn%9 == 0 {
			d.submit("Short", 2, cottonlanding.Step{Tasks: 6 * max(d.scale, 1), Resources: need(2300, 4), Estimate: 640})
		}
		if turn%7 == 0 {
			d.submit("Filling", 2, cottonlanding.Step{Tasks: 8 * max(d.scale, 1), Resources: need(3500, 6), Estimate: 1700, Fills: true, Checkpoints: true,
				Image: cottonlanding.Image(fmt.Sprintf("f%d", d.random.Intn(9)))})
		}
		for at, w := range d.workers {
			if (turn+at)%(turns/busyPolls) == 0 {
				d.poll(w)
			}
		}
		d.turn()
	}
}

// poll reports the runs of a worker to the cell.
func (d *busyDay) poll(w *busyWorker) {
	report := cottonlanding.RunReport{Reading: cottonlanding.Reading(d.now)}
	w.running = slices.DeleteFunc(w.running, func(r busyRun) bool {
		if r.step.Lasting || r.left > d.now {
			return false
		}
		w.end(r.key, cottonlanding.EndDone)
		return true
	})
	for _, r := range w.running {
		progress := cottonlanding.RunProgress{RunKey: r.key, Percent: 100, Used: r.step.Resources.CPU}
		if r.step.Lasting {
			progress.Tail = cottonlanding.Millis(6 + d.random.Intn(10))
		}
		report.Running = append(report.Running, progress)
	}
	report.Ended, w.ended = w.ended, nil
	next, _ := d.cell.NextPoll(w.id, d.now)
	d.cell.PollAnswered(next, report, d.now, d.now)
}

func (w *busyWorker) end(key cottonlanding.RunKey, kind cottonlanding.EndKind) {
	w.serial++
	w.ended = append(w.ended, cottonlanding.RunEnd{Serial: w.serial, RunKey: key, Kind: kind})
}

// turn lets the cell decide, commits its plan and carries out its orders.
func (d *busyDay) turn() {
	d.cell.Decide(d.now, int64(d.now))
	if plan := d.cell.Plan(d.now); plan != nil {
		d.cell.Committed(plan, cottonlanding.Version(d.now))
	}
	for _, order := range d.cell.Orders(d.now) {
		at, _ := slices.BinarySearchFunc(d.workers, order.Worker.Life.Worker, func(w *busyWorker, id cottonlanding.WorkerID) int { return cmp.Compare(w.id, id) })
		d.workers[at].execute(order, d)
		d.cell.OrderAnswered(order, cottonlanding.Reading(d.now), nil, d.now)
	}
}

func (w *busyWorker) execute(order planner.Order, d *busyDay) {
	key := order.Start.RunKey
	switch order.Verb {
	case planner.VerbStart:
		step := d.steps[key.Task.Workflow]
		lasts := step.Estimate * cottonlanding.Millis(1+d.random.Intn(3))
		w.running = append(w.running, busyRun{key, step, d.now + lasts})
	case planner.VerbStop:
		w.running = slices.DeleteFunc(w.running, func(r busyRun) bool { return r.key == key })
		w.end(key, cottonlanding.EndStopped)
	}
}

// BenchmarkBusySecond measures the decisions of one second under overload.
func BenchmarkBusySecond(b *testing.B) {
	d := newBusyDay()
	for range b.N {
		d.runSecond()
	}
}

// BenchmarkCell measures the decisions of one second for cells of several sizes with the same load for each worker,
// such as the only cell of a deployment of 1,100 workers, or one of its five or fifteen cells.
func BenchmarkCell(b *testing.B) {
	for _, workers := range []int{1104, 240, 96, 48} {
		b.Run(fmt.Sprintf("Workers=%d", workers), func(b *testing.B) {
			d := newBusyDayOf(workers)
			for range 5 {
				d.runSecond()
			}
			starts := d.cell.Counts().Starts
			b.ResetTimer()
			for range b.N {
				d.runSecond()
			}
			b.ReportMetric(float64(d.cell.Counts().Starts-starts)/float64(b.N), "starts/s")
		})
	}
}
