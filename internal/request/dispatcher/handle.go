package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/request/claimer"
)

// maxAttempts is how often a call is sent to executors at most.
const maxAttempts = 3

// Handle runs a call and returns its final answer.
func (d *Dispatcher) Handle(ctx context.Context, call Call) Reply {
	s, refusal := d.admit(call)
	if refusal != nil {
		return *refusal
	}
	defer d.calls.Done()
	spec := s.settings()
	if call.Remaining <= 0 || call.Remaining > spec.Timeout {
		call.Remaining = spec.Timeout
	}
	deadline := d.clock.Now() + call.Remaining
	ctx, cancel := context.WithTimeout(ctx, call.Remaining.Duration())
	defer cancel()
	var reply Reply
	if call.Key != "" && !repeatable(spec, call.Request) && !call.Claimed {
		reply = d.runClaimed(ctx, s, call, deadline)
	} else {
		reply = d.run(ctx, s, call, deadline, func(cottonlanding.Outcome, cottonlanding.Answer) {})
	}
	s.count(func(c *Counts) { c.note(reply.Outcome) })
	return reply
}

// admit checks what a call names. On success the caller owes calls.Done.
func (d *Dispatcher) admit(call Call) (*service, *Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	request := call.Request
	switch _, known := d.configuration.Team(request.Team); {
	case d.closing:
		return nil, refuse(http.StatusServiceUnavailable, "Leaving", "this host is leaving", shortestRetryAfter)
	case len(d.configuration.Services) == 0:
		return nil, refuse(http.StatusServiceUnavailable, "NoConfiguration", "no configuration is in force yet", cottonlanding.Second)
	case !known:
		return nil, refuse(http.StatusForbidden, "UnknownTeam", fmt.Sprintf("no team %q", request.Team), 0)
	case len(call.Key) > claimer.MaxKey:
		return nil, refuse(http.StatusBadRequest, "BadHeader", fmt.Sprintf("the Idempotency-Key has %d bytes, at most %d are allowed", len(call.Key), claimer.MaxKey), 0)
	}
	if _, known := d.configuration.Service(request.Service); !known {
		return nil, refuse(http.StatusNotFound, "UnknownService", fmt.Sprintf("no service %q", request.Service), 0)
	}
	d.calls.Add(1)
	return d.services[request.Service], nil
}

// repeatable reports whether a request may be run more than once.
func repeatable(spec cottonlanding.Service, request cottonlanding.Request) bool {
	return spec.Repeatable || request.Method == http.MethodGet || request.Method == http.MethodHead
}

// settleFunc is called once with a call's final outcome, which may be after the
// reply if an answer is late.
type settleFunc func(cottonlanding.Outcome, cottonlanding.Answer)

// run tries executors until one has run the request or nothing more can be tried.
func (d *Dispatcher) run(ctx context.Context, s *service, call Call, deadline cottonlanding.Millis, settle settleFunc) Reply {
	s.earn()
	spec := s.settings()
	var tried []cottonlanding.ExecutorID
	doubtful := false
	for try := 1; ; try++ {
		info, err := s.acquire(ctx, call.Request.Team, deadline, tried)
		if err != nil && doubtful {
			settle(cottonlanding.Unknown, cottonlanding.Answer{})
			return unknown(err.Error())
		}
		if err != nil {
			return d.noSlot(ctx, s, call, deadline, err, settle)
		}
		a := d.start(s, spec, info, call.Request)
		reply, verdict := d.await(ctx, a, settle)
		if verdict == final {
			return reply
		}
		doubtful = doubtful || verdict == inDoubt
		last := try == maxAttempts || verdict == inDoubt && !repeatable(spec, call.Request) || !s.spend()
		switch {
		case last && doubtful:
			settle(cottonlanding.Unknown, cottonlanding.Answer{})
			return unknown(reply.Detail)
		case last:
			settle(cottonlanding.NotRun, cottonlanding.Answer{})
			return *refuse(http.StatusServiceUnavailable, "ExecutorsFailed", reply.Detail, s.retryAfter())
		}
		tried = append(tried, info.ID)
	}
}

// noSlot ends a call for which there is no executor here.
func (d *Dispatcher) noSlot(ctx context.Context, s *service, call Call, deadline cottonlanding.Millis, err error, settle settleFunc) Reply {
	if errors.Is(err, errNoExecutor) && !call.Forwarded {
		s.count(func(c *Counts) { c.Forwarded++ })
		call.Remaining = deadline - d.clock.Now()
		call.Claimed = call.Key != ""
		reply, forwardErr := d.forwarder.Forward(ctx, call)
		switch {
		case forwardErr == nil:
			settle(reply.Outcome, reply.Answer)
			return reply
		case !errors.Is(forwardErr, cottonlanding.ErrUnavailable):
			settle(cottonlanding.Unknown, cottonlanding.Answer{})
			return unknown(forwardErr.Error())
		}
		err = forwardErr
	}
	settle(cottonlanding.NotRun, cottonlanding.Answer{})
	return *refuse(http.StatusServiceUnavailable, "Overloaded", err.Error(), s.retryAfter())
}
