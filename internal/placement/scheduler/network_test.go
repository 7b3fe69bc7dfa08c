package scheduler_test

import (
	"context"
	"errors"

	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/placement/scheduler"
)

// late is a message that is still on its way.
type late struct {
	at    *host
	order scheduler.Order
	fence cottonlanding.Fence
}

// fate decides what the network does with one message.
type fate int

const (
	delivered fate = iota
	lost
	answerLost
	delayed
	fates
)

// visit makes the rounds of a contender; fateOf decides over each message.
func (w *world) visit(c *contender, fateOf func() fate) {
	if w.now >= c.until {
		return
	}
	for _, round := range c.cell.Rounds(w.now) {
		deliverable := fateOf
		if c.cut[w.at(round.Address)] {
			deliverable = func() fate { return lost }
		}
		c.cell.Report(w.round(round, deliverable), w.now)
	}
}

// outlast cuts the present owner from a worker and goes on in small steps until
// the owner gives up on the worker, while former owners still visit it.
func (w *world) outlast(h *host, t *rapid.T) {
	owner := w.owner()
	owner.cut[h] = true
	step := cottonlanding.Millis(rapid.IntRange(5, 400).Draw(t, "step"))
	for end := w.now + leaseMS + graceMS + 2000; w.now < end; w.now += step {
		for _, c := range w.contenders[max(0, len(w.contenders)-2):] {
			c.cell.Decide(w.now)
			w.commit(c)
			w.visit(c, func() fate { return delivered })
		}
	}
	owner.cut[h] = false
}

func (w *world) round(round scheduler.Round, fateOf func() fate) scheduler.Report {
	report := scheduler.Report{Round: round, RenewSent: w.now, RenewArrived: w.now}
	h := w.at(round.Address)
	for _, order := range round.Orders {
		err := w.send(h, order, fateOf())
		report.Errors = append(report.Errors, err)
		if errors.Is(err, cottonlanding.ErrAmbiguous) || errors.Is(err, cottonlanding.ErrUnavailable) {
			report.Err = err
			return report
		}
	}
	switch fateOf() {
	case delivered:
		report.Inventory, report.Err = h.Renew(round.Fence)
	case answerLost:
		_, _ = h.Renew(round.Fence) // took effect, answer lost
		report.Err = cottonlanding.ErrAmbiguous
	case delayed:
		w.late = append(w.late, late{at: h, fence: round.Fence})
		report.Err = cottonlanding.ErrAmbiguous
	default:
		report.Err = cottonlanding.ErrUnavailable
	}
	return report
}

func (w *world) send(h *host, order scheduler.Order, fate fate) error {
	switch fate {
	case delivered:
		return deliver(h, order)
	case answerLost:
		_ = deliver(h, order) // took effect, answer lost
		return cottonlanding.ErrAmbiguous
	case delayed:
		w.late = append(w.late, late{at: h, order: order})
		return cottonlanding.ErrAmbiguous
	default:
		return cottonlanding.ErrUnavailable
	}
}

func deliver(h *host, order scheduler.Order) error {
	ctx := context.Background()
	switch order.Verb {
	case scheduler.VerbStart:
		return h.Start(ctx, order.Start)
	case scheduler.VerbStop:
		return h.Stop(order.Command)
	case scheduler.VerbCheckpoint:
		return h.Checkpoint(ctx, order.Command)
	default:
		return h.Acknowledge(order.Command)
	}
}

// arrive delivers a late message.
func (w *world) arrive(i int) {
	message := w.late[i]
	w.late = append(w.late[:i], w.late[i+1:]...)
	if message.order.Verb == "" {
		_, _ = message.at.Renew(message.fence) // nobody waits for the answer
		return
	}
	_ = deliver(message.at, message.order) // nobody waits for the answer
}
