package planner_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

var dataCentres = []cottonlanding.DataCentre{"a", "b", "c"}

// evacuationWorld is a world whose workers are spread over three data centres and whose orders queue up before they
// are sent.
type evacuationWorld struct {
	*world
	evacuated map[cottonlanding.DataCentre]cottonlanding.Evacuation
	orders    int
	waiting   []planner.Order
}

func newEvacuationWorld(w *world) *evacuationWorld {
	e := &evacuationWorld{world: w, evacuated: make(map[cottonlanding.DataCentre]cottonlanding.Evacuation)}
	w.addWorker()
	w.addWorker()
	for at := range w.workers {
		w.workers[at].DataCentre = dataCentres[at%len(dataCentres)]
	}
	w.cell.SetWorkers(slices.Clone(w.workers), w.now)
	e.applyEvacuations()
	return e
}

// applyEvacuations passes the current evacuations to the cell.
func (e *evacuationWorld) applyEvacuations() {
	e.cell.SetEvacuations(cottonlanding.Evacuations{ReadAt: e.now, InForce: maps.Clone(e.evacuated)}, e.now)
}

func (e *evacuationWorld) evacuate(dataCentre cottonlanding.DataCentre) {
	e.orders++
	e.evacuated[dataCentre] = cottonlanding.Evacuation{DataCentre: dataCentre, Version: cottonlanding.Version(e.orders), KnownAt: e.now}
	e.applyEvacuations()
}

func (e *evacuationWorld) restore(dataCentre cottonlanding.DataCentre) {
	delete(e.evacuated, dataCentre)
	e.applyEvacuations()
}

// sendOrders queues the cell's orders and sends the first ones as an outbox does: a start that is obsolete by then
// is not sent.
func (e *evacuationWorld) sendOrders(most int, fault func() string) {
	e.waiting = append(e.waiting, e.cell.Orders(e.now)...)
	for len(e.waiting) > 0 && most > 0 {
		order := e.waiting[0]
		e.waiting = e.waiting[1:]
		most--
		order.SentAt = e.now
		if order.Obsolete() {
			e.cell.OrderAnswered(order, 0, planner.ErrObsoleteStart, e.now)
			continue
		}
		if order.Verb == planner.VerbStart {
			require.NotContains(e.t, e.evacuated, order.DataCentre, "a start of %s is sent to an evacuated data centre", order.Start.Task)
		}
		reading, err := e.send(order)
		switch fault() {
		case "unanswered":
			reading, err = 0, cottonlanding.ErrAmbiguous
		case "late":
			e.late = append(e.late, order)
			reading, err = 0, cottonlanding.ErrAmbiguous
		}
		e.cell.OrderAnswered(order, reading, err, e.now)
	}
}

// fullTurn decides, commits, sends all orders and polls all workers.
func (e *evacuationWorld) fullTurn() {
	e.now += turnSpan
	e.commit()
	e.sendOrders(1000, func() string { return "" })
	e.pollAll()
}

// TestEvacuationStopsStarts guards against starts in an evacuated data centre. It plays random evacuations of one
// or all data centres, lifted and ordered again, with queued starts, lost answers and changes of the owner. Tasks
// must not run twice, lasting tasks must continue, and all other workflows must succeed in the end.
func TestEvacuationStopsStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEvacuationWorld(newSpreadWorld(t))
		for range 4 {
			e.fullTurn()
		}
		e.submit("lasting", "Urgent", cottonlanding.Step{Tasks: 6, Lasting: true, Resources: cottonlanding.Resources{CPU: 1000}})
		for range 4 {
			e.fullTurn()
		}
		require.Equal(t, 6, e.runner.Lasting())
		faults := rapid.SampledFrom([]string{"", "", "", "unanswered", "late"})
		for step := range rapid.IntRange(5, 25).Draw(t, "Steps") {
			place := rapid.SampledFrom(dataCentres).Draw(t, "Place")
			switch rapid.SampledFrom([]string{"evacuate", "evacuate", "restore", "submit", "submit", "begin", "leave", "takeOver", "all"}).Draw(t, "Step") {
			case "evacuate":
				e.evacuate(place)
			case "all":
				for _, each := range dataCentres {
					e.evacuate(each)
				}
			case "restore":
				e.restore(place)
			case "submit":
				e.submit(cottonlanding.WorkflowID(fmt.Sprintf("b%d", step)), "Bulk",
					cottonlanding.Step{Tasks: 4, Resources: cottonlanding.Resources{CPU: 2000}, Estimate: 500},
					cottonlanding.Step{Tasks: 2, Resources: cottonlanding.Resources{CPU: 2000}, Estimate: 500, After: []int{0}})
			case "begin":
				e.makePlan() // committed with the next turn
			case "takeOver":
				e.waiting = nil
				e.takeOver()
				e.applyEvacuations()
			}
			e.now += cottonlanding.Millis(rapid.IntRange(1, 200).Draw(t, "Span"))
			e.commit()
			e.sendOrders(rapid.IntRange(0, 12).Draw(t, "Sent"), func() string { return faults.Draw(t, "Fault") })
			if rapid.Bool().Draw(t, "Look") {
				e.pollAll()
			}
		}
		require.Equal(t, 6, e.runner.Lasting(), "lasting tasks continue")
		for _, place := range dataCentres {
			e.restore(place)
		}
		for _, order := range e.late {
			_, _ = e.send(order) // the worker knows the run or has ruled it out
		}
		for range 200 {
			e.fullTurn()
		}
		for id := range e.accepted {
			state, _ := e.cell.State(id)
			if id != "lasting" {
				require.Equal(t, cottonlanding.WorkflowSucceeded, state, "workflow %s", id)
			}
		}
		require.Empty(t, e.runner.Violations())
	})
}

// TestEvacuationRedirectsNewWork guards against work that waits for an evacuated data centre: it runs in the others
// at once, or, if all are evacuated, within a second of the first one being lifted.
func TestEvacuationRedirectsNewWork(t *testing.T) {
	e := newEvacuationWorld(newSpreadWorld(t))
	for range 4 {
		e.fullTurn()
	}
	step := cottonlanding.Step{Tasks: 4, Resources: cottonlanding.Resources{CPU: 1000}}
	e.evacuate("a")
	e.submit("b1", "Bulk", step)
	for range 2 {
		e.fullTurn()
	}
	require.Equal(t, step.Tasks, e.runner.Starts(), "the other data centres have room")
	e.evacuate("b")
	e.evacuate("c")
	e.submit("b2", "Bulk", step)
	for range 30 {
		e.fullTurn()
	}
	require.Equal(t, 1, e.cell.Waiting("Bulk"))
	require.Equal(t, step.Tasks, e.runner.Starts(), "all data centres are evacuated")
	e.restore("c")
	for range int(cottonlanding.Second / turnSpan) {
		e.fullTurn()
	}
	require.Equal(t, 2*step.Tasks, e.runner.Starts())
}

// TestEvacuationRevokesWholeGang guards against gang members that wait for others whose starts can't be sent any
// more.
func TestEvacuationRevokesWholeGang(t *testing.T) {
	e := newEvacuationWorld(newSpreadWorld(t))
	for range 4 {
		e.fullTurn()
	}
	e.submit("slowGang", "Bulk", cottonlanding.Step{Tasks: 6, Gang: true, Resources: cottonlanding.Resources{CPU: 2000}})
	e.now += turnSpan
	e.commit()
	e.sendOrders(3, func() string { return "" })
	require.Equal(t, 3, e.runner.Running(), "half of the gang has started")
	e.evacuate("c")
	for range 20 {
		e.fullTurn()
	}
	require.Equal(t, 6, e.runner.Running(), "all members run, in the other data centres")
	require.Empty(t, e.runner.Violations())
}
