package planner_test

import (
	"fmt"
	"maps"
	"slices"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// cancelledStartTimeout is how long after the acknowledgement of a cancellation a task may still start, by the rule on
	// cancelled jobs.
	cancelledStartTimeout = 3 * cottonlanding.Second
	// otherCellRestartTimeout is how soon a lost lasting task must run if another cell has room, by the rule on lost
	// tasks.
	otherCellRestartTimeout = 9 * cottonlanding.Second
)

// sentRequest is a delayed request of a delegator, sentResponse a delayed response of a delegate cell.
type sentRequest struct {
	to      int
	request planner.DelegationRequest
}

type sentResponse struct {
	delegator, from int
	response        planner.DelegationResponse
}

// multiCell simulates several cells with one clock and one set of workers, each with rows and owners of its own.
type multiCell struct {
	t       require.TestingT
	cells   []*world
	stamps  map[[2]int]planner.DelegationStamp
	late    []sentRequest
	overdue []sentResponse
	// cancelledAt is when the cancellation of a workflow was acknowledged.
	cancelledAt map[cottonlanding.WorkflowID]cottonlanding.Millis
	// cancelling holds the workflows whose cancellation was requested.
	cancelling map[cottonlanding.WorkflowID]bool
	violations []string
	// choose returns a function that chooses the cell for each task that a cell may delegate.
	choose func(cell int) func(planner.DelegableTask) (int, bool)
}

func newMultiCell(t require.TestingT, count, workers int) *multiCell {
	n := &multiCell{t: t, stamps: make(map[[2]int]planner.DelegationStamp), cancelledAt: make(map[cottonlanding.WorkflowID]cottonlanding.Millis),
		cancelling: make(map[cottonlanding.WorkflowID]bool)}
	n.choose = n.chooseByRoom
	for number := range count {
		w := newWorldOf(t, selector.Default().Planner)
		w.workers, w.lives = nil, 100*number
		if number > 0 {
			w.runner = n.cells[0].runner
		}
		for range workers {
			w.addWorker()
		}
		w.onStart = func(order planner.Order) { n.checkStart(order) }
		w.takeOver()
		n.cells = append(n.cells, w)
	}
	return n
}

// checkStart records a violation if a task starts too long after the cancellation of its workflow.
func (n *multiCell) checkStart(order planner.Order) {
	at, cancelled := n.cancelledAt[order.Start.Task.Workflow]
	if cancelled && n.cells[0].now-at > cancelledStartTimeout {
		n.violations = append(n.violations, fmt.Sprintf("%s starts %d ms after its workflow was cancelled", order.Start.Task.String(), n.cells[0].now-at))
	}
}

func (n *multiCell) wait(span cottonlanding.Millis) {
	for _, w := range n.cells {
		w.now += span
	}
}

// syncClocks advances all cells to the latest of their clocks.
func (n *multiCell) syncClocks() {
	latest := cottonlanding.Millis(0)
	for _, w := range n.cells {
		latest = max(latest, w.now)
	}
	for _, w := range n.cells {
		w.now = latest
	}
}

func (n *multiCell) cancel(cell int, id cottonlanding.WorkflowID) {
	w := n.cells[cell]
	n.cancelling[id] = true
	w.cell.Cancel(id, w.now, func(err error) {
		if _, known := n.cancelledAt[id]; err == nil && !known {
			n.cancelledAt[id] = w.now
		}
	})
}

// takeOver gives a cell its next owner; responses in flight to the previous one are lost.
func (n *multiCell) takeOver(cell int) {
	n.cells[cell].takeOver()
	for to := range n.cells {
		delete(n.stamps, [2]int{cell, to})
	}
	n.overdue = slices.DeleteFunc(n.overdue, func(a sentResponse) bool { return a.delegator == cell })
}

// delegate has a cell delegate what it may, each task to a chosen cell. No cell counts as home, so that workflows that
// have started nothing are delegated as well.
func (n *multiCell) delegate(cell int, choose func(planner.DelegableTask) (int, bool)) {
	w := n.cells[cell]
	for _, task := range w.cell.DelegableTasks(100, func(cottonlanding.WorkflowID) bool { return false }, w.now) {
		if to, found := choose(task); found {
			w.cell.Delegate(task.Ref, cottonlanding.CellNumber(to), w.now)
		}
	}
}

// chooseByRoom chooses a cell in which a worker has room, as hosts do.
func (n *multiCell) chooseByRoom(cell int) func(planner.DelegableTask) (int, bool) {
	return func(task planner.DelegableTask) (int, bool) {
		for at, w := range n.cells {
			report, usable := w.cell.Report(w.now)
			avoided := slices.Contains(task.Avoid, cottonlanding.CellNumber(at))
			if at != cell && usable && !avoided && task.Need.Fits(report.Largest[task.Service]) {
				return at, true
			}
		}
		return 0, false
	}
}

// ask sends the requests of a cell; fault decides what happens to each.
func (n *multiCell) ask(cell int, fault func() string) {
	delegator := n.cells[cell]
	asked := delegator.cell.Delegations()
	for _, to := range slices.Sorted(maps.Keys(asked)) {
		at := [2]int{cell, int(to)}
		request := planner.DelegationRequest{Delegator: cottonlanding.CellNumber(cell), Last: n.stamps[at], Workflows: asked[to]}
		delegate := n.cells[to]
		switch fault() {
		case "lost":
		case "late":
			n.late = append(n.late, sentRequest{int(to), request})
		case "unanswered":
			delegate.cell.HandleDelegationRequest(request, delegate.now)
		case "overdue":
			n.overdue = append(n.overdue, sentResponse{cell, int(to), delegate.cell.HandleDelegationRequest(request, delegate.now)})
		default:
			response := delegate.cell.HandleDelegationRequest(request, delegate.now)
			n.stamps[at] = response.Stamp
			delegator.cell.RecordDelegationResponse(to, response, delegator.now)
		}
	}
}

// turn plays a turn without faults.
func (n *multiCell) turn(span cottonlanding.Millis) {
	n.wait(span)
	for cell, w := range n.cells {
		w.turn(0)
		n.delegate(cell, n.choose(cell))
		w.turn(0)
		n.ask(cell, func() string { return "" })
	}
}

func (n *multiCell) check(t require.TestingT) {
	require.Empty(t, n.cells[0].runner.Violations())
	require.Empty(t, n.violations)
	for cell, w := range n.cells {
		require.GreaterOrEqual(t, w.cell.Waiting("Bulk"), n.notBegun(cell), "what waits in cell %d", cell)
	}
}

// notBegun counts the workflows of a cell that aren't cancelled and of which no cell has begun a task.
func (n *multiCell) notBegun(cell int) int {
	queueOf := make(map[cottonlanding.WorkflowID]cottonlanding.QueueName)
	for id := range n.cells[cell].accepted {
		if !n.cancelling[id] {
			queueOf[id] = "Bulk"
		}
	}
	return n.cells[cell].notBegun("Bulk", queueOf)
}

// deliverLate delivers all delayed requests and responses.
func (n *multiCell) deliverLate() {
	for _, sent := range n.late {
		n.cells[sent.to].cell.HandleDelegationRequest(sent.request, n.cells[sent.to].now)
	}
	for _, sent := range n.overdue {
		n.cells[sent.delegator].cell.RecordDelegationResponse(cottonlanding.CellNumber(sent.from), sent.response, n.cells[sent.delegator].now)
	}
	n.late, n.overdue = nil, nil
}

var lastingCore = cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 1000, Memory: cottonlanding.Gigabyte}, Lasting: true}

func lastingCores(tasks int) cottonlanding.Step {
	step := lastingCore
	step.Tasks = tasks
	return step
}
