package dispatcher

import (
	"context"
	"errors"
	"net/http"

	"github.com/google/uuid"

	"github.com/cottonlanding/cottonlanding"
)

// attempt is one dispatch of a request to an executor.
type attempt struct {
	answer cottonlanding.Answer
	err    error
	done   chan struct{}
}

// start sends the request to the executor. The call goes on after its caller
// gave up, so that the slot stays taken for as long as the request may run.
func (d *Dispatcher) start(s *service, spec cottonlanding.Service, info cottonlanding.ExecutorInfo, request cottonlanding.Request) *attempt {
	request.ID = cottonlanding.RequestID(uuid.NewString())
	a := &attempt{done: make(chan struct{})}
	s.count(func(c *Counts) { c.Attempts++ })
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), (lateFactor * spec.Timeout).Duration())
		defer cancel()
		began := d.clock.Now()
		a.answer, a.err = d.executors.Call(ctx, info.Address, request)
		s.release(info.ID, Result{
			Latency: d.clock.Now() - began,
			Failed:  a.err != nil || a.answer.Status >= http.StatusInternalServerError,
			Leaving: a.answer.Leaving,
		})
		close(a.done)
	}()
	return a
}

// verdict tells what may follow an attempt.
type verdict int

const (
	// final means that the reply is the last word.
	final verdict = iota
	// notRun means that the attempt did not run the request.
	notRun
	// inDoubt means that the attempt may have run the request.
	inDoubt
)

// await waits for an attempt. Unless the verdict is final, the reply holds only
// the detail.
func (d *Dispatcher) await(ctx context.Context, a *attempt, settle settleFunc) (Reply, verdict) {
	select {
	case <-a.done:
	case <-ctx.Done():
		go d.awaitLate(a, settle)
		return unknown("the executor has not answered in time"), final
	}
	switch {
	case a.err == nil:
		settle(cottonlanding.Ran, a.answer)
		return Reply{Outcome: cottonlanding.Ran, Answer: a.answer}, final
	case errors.Is(a.err, cottonlanding.ErrUnavailable):
		return Reply{Detail: a.err.Error()}, notRun
	default:
		return Reply{Detail: a.err.Error()}, inDoubt
	}
}

// awaitLate settles a call whose caller was told that its outcome is unknown.
func (d *Dispatcher) awaitLate(a *attempt, settle settleFunc) {
	<-a.done
	switch {
	case a.err == nil:
		settle(cottonlanding.Ran, a.answer)
	case errors.Is(a.err, cottonlanding.ErrUnavailable):
		settle(cottonlanding.NotRun, cottonlanding.Answer{})
	default:
		settle(cottonlanding.Unknown, cottonlanding.Answer{})
	}
}
