package planner_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// lateStart is a start that its worker executes at an instant.
type lateStart struct {
	at    cottonlanding.Millis
	order planner.Order
}

// lateStartWorld plays a world whose workers execute starts late and answer everything else at once.
type lateStartWorld struct {
	*world
	late    cottonlanding.Millis
	pending []lateStart
}

func (p *lateStartWorld) turn() {
	p.now += turnSpan
	p.commit()
	for _, order := range p.cell.Orders(p.now) {
		order.SentAt = p.now
		if order.Verb == planner.VerbStart {
			p.pending = append(p.pending, lateStart{p.now + p.late, order})
			continue
		}
		reading, err := p.send(order)
		p.cell.OrderAnswered(order, reading, err, p.now)
	}
	for _, one := range p.pending {
		if p.now-one.order.SentAt == callTimeout {
			p.cell.OrderAnswered(one.order, 0, cottonlanding.ErrAmbiguous, p.now)
		}
	}
	for len(p.pending) > 0 && p.pending[0].at <= p.now {
		_, _ = p.send(p.pending[0].order)
		p.pending = p.pending[1:]
	}
	p.pollAll()
}

// TestLastingTaskRunsDespiteLateStarts guards against a lasting task that never runs because it leaves each worker
// that doesn't confirm its start in time, while all workers execute their orders late.
func TestLastingTaskRunsDespiteLateStarts(t *testing.T) {
	for _, late := range []cottonlanding.Millis{1200, 2000, 3000} {
		t.Run(late.String(), func(t *testing.T) {
			p := &lateStartWorld{world: newLastingWorld(t), late: late}
			p.crashForGood("w1")
			lost := p.now
			for p.runner.Lasting() < 4 || p.now-lost < cottonlanding.Second {
				require.Less(t, p.now-lost, otherCellRestartTimeout+late, "only the delay of the start may be added")
				p.turn()
			}
			require.Empty(t, p.runner.Violations())
		})
	}
}

// TestLeaseBoundsCoverNextLife guards against a double start: an unanswered start was taken by the worker's next
// life, which cut its lease to the maximum and fell silent. The next owner used a lease bound of the previous life
// and started the task beside that run.
func TestLeaseBoundsCoverNextLife(t *testing.T) {
	w := newOwnedWorld(t)
	w.timing.MaxLease = 10 * cottonlanding.Second
	w.runner.CutLeases(w.timing.MaxLease)
	rebirths := func() {
		for at := range w.workers {
			w.restartWorker(at)
		}
	}
	rebirths()
	w.relist()
	w.takeOver()
	w.play(30 * cottonlanding.Second)
	w.submit("lasts", "Urgent", lasting(1, 0, 2000))
	w.now += turnSpan
	w.commit()
	rebirths()
	w.orders(func() string { return "unanswered" })
	taken := cottonlanding.WorkerID("")
	for id, runs := range w.runner.RunsByWorker() {
		if len(runs) > 0 {
			taken = id
		}
	}
	require.NotEmpty(t, taken)
	w.relist()
	w.runner.Dark(taken, true)
	w.play(2 * cottonlanding.Second)
	w.takeOverFrom(w.now + ownerGoneAfter)
	for range 400 {
		w.turn(turnSpan)
		require.Empty(t, w.runner.Violations())
	}
}

// TestNewOwnerKnowsDownSince guards against long downtimes across changes of owner: beside short tasks that take all
// room, a worker is held for a lasting task depending on how long it has been down, and each new owner counted that
// from zero.
func TestNewOwnerKnowsDownSince(t *testing.T) {
	for _, changes := range []int{0, 1, 2} {
		t.Run(fmt.Sprintf("%d changes", changes), func(t *testing.T) {
			w := newOwnedWorld(t)
			w.play(cottonlanding.Second)
			w.submit("lasts", "Urgent", lasting(1, 0, 7000))
			w.play(3 * cottonlanding.Second)
			number := 0
			play := func() {
				if w.now%200 == 0 {
					number++
					w.submit(cottonlanding.WorkflowID(fmt.Sprintf("b%d", number)), "Urgent",
						cottonlanding.Step{Tasks: 4, Estimate: 500, Resources: cottonlanding.Resources{CPU: 950, Memory: cottonlanding.Gigabyte}})
				}
				w.turn(turnSpan)
			}
			at := cottonlanding.WorkerID("")
			for id, runs := range w.runner.RunsByWorker() {
				if len(runs) > 0 {
					at = id
				}
			}
			for range 40 {
				play()
			}
			w.crashForGood(at)
			lost := w.now
			for w.runner.Lasting() < 1 || w.now-lost < 500 {
				require.LessOrEqual(t, w.now-lost, otherCellRestartTimeout)
				if left := w.now - lost - 1500; changes > 0 && left >= 0 && left%2500 == 0 {
					changes--
					w.killOwner(600, func() {})
				}
				play()
				if w.now-lost >= 4500 && len(w.workers) == 4 {
					w.delist(at)
				}
			}
		})
	}
}
