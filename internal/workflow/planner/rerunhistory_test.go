package planner_test

import (
	"fmt"
	"log/slog"
	"math/rand"
	"os"
	"slices"
	"strings"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
)

const (
	// singleCellWorkers is the initial number of workers of a single cell, multiCellWorkers of each of several.
	singleCellWorkers, multiCellWorkers = 7, 4
	// phases is the number of fault phases in a history, each followed by a recovery phase.
	phases = 5
	// maxFaultPhase is the maximum duration of a fault phase; recoverySpan is that of a recovery phase, long enough for
	// every interrupted task to run again by the rule.
	maxFaultPhase = 12 * cottonlanding.Second
	recoverySpan  = 13 * cottonlanding.Second
	// maxEvents is the number of events reported with a violation.
	maxEvents = 40
	// maxOpen is how many workflows that end by themselves are open at a time.
	maxOpen = 40
)

// plannedEvent is something that happens in a history at a given time.
type plannedEvent struct {
	at cottonlanding.Millis
	do func()
}

// rerunHistory plays lasting tasks beside others in one cell, or in several with one set of workers. Workers, owners,
// orders and the table fail in short dense phases, with recovery phases between them.
type rerunHistory struct {
	t      require.TestingT
	seed   int64
	random *rand.Rand
	cells  []*simulatedCell
	rule   *downtimeRule
	// tasks holds the lasting tasks that have to run, steps the step of each workflow.
	tasks []lastingTask
	homes map[cottonlanding.WorkflowID]int
	steps map[cottonlanding.WorkflowID]cottonlanding.Step
	// unreachable holds the workers that run but can't be reached, gone those whose process has ended.
	unreachable, gone  map[cottonlanding.WorkerID]bool
	plannedEvents      []plannedEvent
	events             []string
	recentDisturbances disturbances
	faultPhaseEnd      cottonlanding.Millis
	// share is the percentage of the room that lasting tasks take; other workflows are submitted in one of odds turns,
	// never if odds is zero.
	share, odds int
	// workers is the initial number of workers of a cell.
	workers   int
	submitted int
	// kinds holds the kinds of faults in this history: a few at a time show what many hide.
	kinds []func(*rerunHistory, *simulatedCell, cottonlanding.Millis)
	// between simulates the exchange between cells.
	between func()
	// faults holds the violations found.
	faults []string
	// crashViolations holds the faulty tasks that were started too often after they had crashed workers.
	crashViolations []string
	// reportedViolations counts the violations of the runner that were already reported.
	reportedViolations int
}

func newRerunHistory(t require.TestingT, seed int64, cells int) *rerunHistory {
	h := &rerunHistory{
		t: t, seed: seed, random: rand.New(rand.NewSource(seed)),
		homes: make(map[cottonlanding.WorkflowID]int), steps: make(map[cottonlanding.WorkflowID]cottonlanding.Step),
		unreachable: make(map[cottonlanding.WorkerID]bool), gone: make(map[cottonlanding.WorkerID]bool),
		between: func() {},
	}
	h.share = []int{25, 40, 55, 70, 80, 88}[h.random.Intn(6)]
	h.odds = []int{0, 40, 10, 4, 2}[h.random.Intn(5)]
	for _, kind := range faultKinds {
		if h.random.Intn(2) == 0 {
			h.kinds = append(h.kinds, kind)
		}
	}
	h.workers = singleCellWorkers
	if cells > 1 {
		h.workers = multiCellWorkers
	}
	for number := range cells {
		h.addCell(number)
	}
	h.rule = newDowntimeRule(h.cells[0].runner)
	return h
}

func (h *rerunHistory) addCell(number int) {
	set, err := selector.New(selector.Names{})
	require.NoError(h.t, err)
	w := newWorldOf(h.t, set.Planner)
	w.workers, w.lives = nil, 100*number
	if number > 0 {
		w.runner = h.cells[0].runner
	}
	if *logHistories {
		w.log = h.logger()
	}
	p := newSimulatedCell(w, h.random)
	w.faultyTasks, w.crashAfter = make(map[cottonlanding.TaskRef]bool), crashDelay
	if number > 0 {
		w.faultyTasks = h.cells[0].faultyTasks
	}
	h.cells = append(h.cells, p)
	for range h.workers {
		h.join(p)
	}
	p.takeOver()
}

// logger returns a logger that writes the owners' lines with the times of the history.
func (h *rerunHistory) logger() *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Int64("At", int64(h.now()))
		}
		return a
	}}))
}

// join adds a worker.
func (h *rerunHistory) join(p *simulatedCell) {
	p.addLife(cottonlanding.WorkerInfo{
		Address: cottonlanding.Address(fmt.Sprintf("a%d", p.lives)), Service: "S", State: cottonlanding.Live,
		DataCentre: dataCentres[p.lives%len(dataCentres)],
		Rack:       cottonlanding.Rack(fmt.Sprintf("r%d", p.lives%len(dataCentres))),
		Capacity:   cottonlanding.Resources{CPU: 8000, Memory: 64 * cottonlanding.Gigabyte},
	})
	p.restartWorker(len(p.workers) - 1)
	p.list()
}

func (h *rerunHistory) now() cottonlanding.Millis { return h.cells[0].now }

// recordEvent keeps an event for the message of a violation.
func (h *rerunHistory) recordEvent(format string, values ...any) {
	h.events = append(h.events, fmt.Sprintf("%d ", h.now())+fmt.Sprintf(format, values...))
	h.events = h.events[max(0, len(h.events)-maxEvents):]
}

// schedule has something happen after a span.
func (h *rerunHistory) schedule(span cottonlanding.Millis, do func()) {
	h.plannedEvents = append(h.plannedEvents, plannedEvent{h.now() + span, do})
}

// span returns a random span.
func (h *rerunHistory) span(least, most cottonlanding.Millis) cottonlanding.Millis {
	return least + cottonlanding.Millis(h.random.Intn(int(most-least)+1))
}

// step plays one turn and then checks the rules.
func (h *rerunHistory) step() {
	for _, p := range h.cells {
		p.now += turnSpan
	}
	due := slices.DeleteFunc(slices.Clone(h.plannedEvents), func(e plannedEvent) bool { return h.now() < e.at })
	h.plannedEvents = slices.DeleteFunc(h.plannedEvents, func(e plannedEvent) bool { return h.now() >= e.at })
	for _, event := range due {
		event.do()
	}
	h.handleCrashed()
	h.submitOthers()
	for _, p := range h.cells {
		p.step()
	}
	h.between()
	h.handleCrashed()
	h.recordDisturbances()
	h.checkRules()
}

func (h *rerunHistory) checkRules() {
	violations := h.cells[0].runner.Violations()
	for _, violation := range violations[h.reportedViolations:] {
		if strings.HasSuffix(violation, "had crashed under it") {
			h.crashViolations = append(h.crashViolations, violation) // covered by another rule, for long-lived workers
			continue
		}
		h.report(violation)
	}
	h.reportedViolations = len(violations)
	for _, lost := range h.rule.check(h.openTasks(), h.systemState()) {
		h.report(lost.String() + h.describe(lost.task))
	}
}

// report keeps a violation with the events before it.
func (h *rerunHistory) report(fault string) {
	h.faults = append(h.faults, fmt.Sprintf("seed %d at %d: %s\n%s", h.seed, h.now(), fault, strings.Join(h.events, "\n")))
}

// describe returns the state of a task in each cell.
func (h *rerunHistory) describe(task lastingTask) string {
	var out strings.Builder
	for number, p := range h.cells {
		fmt.Fprintf(&out, "\ncell %d: %s", number, p.cell.DescribeTask(task.ref, p.now))
	}
	return out.String()
}

// openTasks returns the lasting tasks of accepted workflows that haven't ended.
func (h *rerunHistory) openTasks() []lastingTask {
	return slices.DeleteFunc(slices.Clone(h.tasks), func(task lastingTask) bool {
		p := h.cells[h.homes[task.ref.Workflow]]
		if !p.accepted[task.ref.Workflow] {
			return true
		}
		state, known := p.cell.State(task.ref.Workflow)
		return known && state.Final()
	})
}

// recordDisturbances records whether there is a fault now, and whether an owner is unable to act.
func (h *rerunHistory) recordDisturbances() {
	trouble, ownerless := len(h.unreachable) > 0, false
	for _, p := range h.cells {
		trouble = trouble || p.lastFaultAt == p.now || !p.canStart()
		ownerless = ownerless || !p.canStart()
	}
	if trouble {
		h.recentDisturbances.lastDisturbanceAt = h.now()
	}
	if ownerless {
		h.recentDisturbances.ownerless = h.now()
	}
}

func (h *rerunHistory) systemState() systemState {
	out := systemState{now: h.now(), runs: h.cells[0].runner.RunsByWorker(), steps: h.steps, late: make(map[cottonlanding.TaskRef]bool), recentDisturbances: h.recentDisturbances}
	for _, p := range h.cells {
		p.addDelayedTasks(out.late)
		for _, info := range p.workers {
			if h.usable(p, info) {
				out.usable = append(out.usable, info)
			}
		}
	}
	return out
}

// usable reports whether a worker is healthy and may be given tasks.
func (h *rerunHistory) usable(p *simulatedCell, info cottonlanding.WorkerInfo) bool {
	_, evacuated := p.evacuated[info.DataCentre]
	faulty := h.now() < max(p.faultyUntil[info.ID], p.answersLostUntil[info.ID])
	return info.State == cottonlanding.Live && !h.unreachable[info.ID] && !h.gone[info.ID] && !evacuated && !faulty && !p.hasDelayedOrders(info.ID)
}

// submitOthers submits tasks that end, beside the lasting ones.
func (h *rerunHistory) submitOthers() {
	for number, p := range h.cells {
		if h.odds == 0 || !p.owned() || h.random.Intn(h.odds) > 0 || h.openOthers(p) >= maxOpen {
			continue
		}
		h.submitted++
		step := cottonlanding.Step{Tasks: 1 + h.random.Intn(5), Estimate: 500,
			Resources: cottonlanding.Resources{CPU: cottonlanding.Millicores(500 * (1 + h.random.Intn(8))), Memory: cottonlanding.Gigabyte}}
		id := cottonlanding.WorkflowID(fmt.Sprintf("b%d", h.submitted))
		switch h.random.Intn(12) {
		case 0:
			id = "slow" + id
		case 1:
			step.Fills, step.Checkpoints, step.Image = true, true, "fills"
		case 2:
			step.Gang = true
		}
		h.submitTo(number, id, step)
	}
}

func (h *rerunHistory) openOthers(p *simulatedCell) int {
	return p.cell.Waiting("Urgent") + p.cell.Waiting("Bulk")
}

func (h *rerunHistory) submitTo(cell int, id cottonlanding.WorkflowID, step cottonlanding.Step) {
	queue := []cottonlanding.QueueName{"Urgent", "Bulk"}[h.random.Intn(2)]
	h.steps[id], h.homes[id] = step, cell
	h.cells[cell].submit(id, queue, step)
}

// submitLasting submits lasting tasks until they take their share of the room.
func (h *rerunHistory) submitLasting() {
	for number, p := range h.cells {
		room := len(p.workers) * 8000 * h.share / 100
		for _, task := range h.openTasks() {
			if h.homes[task.ref.Workflow] == number {
				room -= int(task.step.Resources.CPU)
			}
		}
		for room > 0 {
			h.submitted++
			cpu := []int{1000, 2000, 3000, 4000, 6000}[h.random.Intn(5)]
			step := lasting(1+h.random.Intn(4), h.random.Intn(2), cottonlanding.Millicores(cpu))
			room -= cpu * step.Tasks
			if room < 0 {
				break
			}
			id := cottonlanding.WorkflowID(fmt.Sprintf("l%d", h.submitted))
			h.submitTo(number, id, step)
			for index := range step.Tasks {
				h.tasks = append(h.tasks, lastingTask{cottonlanding.TaskRef{Workflow: id, Index: index}, step})
			}
		}
	}
}

func (h *rerunHistory) play(span cottonlanding.Millis) {
	for end := h.now() + span; h.now() < end; {
		h.step()
	}
}

func (h *rerunHistory) run() {
	h.play(2 * cottonlanding.Second)
	h.submitLasting()
	h.play(4 * cottonlanding.Second)
	for range phases {
		h.faultPhaseEnd = h.now() + h.span(cottonlanding.Second, maxFaultPhase)
		for h.now() < h.faultPhaseEnd {
			h.injectFault()
			h.play(h.span(0, 2*cottonlanding.Second))
		}
		h.recordEvent("recovery phase")
		h.play(recoverySpan)
		h.submitLasting()
	}
}
