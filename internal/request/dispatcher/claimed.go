package dispatcher

import (
	"context"
	"errors"
	"net/http"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/request/claimer"
)

// claimKey is a key that a call of this daemon is working on.
type claimKey struct {
	service cottonlanding.ServiceName
	key     string
}

// runClaimed runs a call whose key is claimed first.
func (d *Dispatcher) runClaimed(ctx context.Context, s *service, call Call, deadline cottonlanding.Millis) Reply {
	key := claimKey{call.Request.Service, call.Key}
	if !d.enterKey(key) {
		return unsettled("the same key is being worked on by this host")
	}
	claim, kept, err := d.claimer.Claim(ctx, call.Request.Service, call.Key)
	if err != nil || kept != nil {
		d.leaveKey(key)
	}
	switch {
	case kept != nil:
		answer := cottonlanding.Answer{Status: kept.Status, Header: kept.Header, Body: kept.Body}
		return Reply{Outcome: cottonlanding.Ran, Answer: answer}
	case errors.Is(err, claimer.ErrUnsettled):
		return unsettled(err.Error())
	case err != nil:
		return *refuse(http.StatusServiceUnavailable, "Unavailable", err.Error(), s.retryAfter())
	}
	return d.run(ctx, s, call, deadline, func(outcome cottonlanding.Outcome, answer cottonlanding.Answer) {
		if outcome == cottonlanding.NotRun {
			d.claimer.Release(claim)
		} else {
			d.claimer.Settle(claim, outcome, answer)
		}
		d.leaveKey(key)
	})
}

func (d *Dispatcher) enterKey(key claimKey) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, busy := d.active[key]; busy {
		return false
	}
	d.active[key] = struct{}{}
	return true
}

func (d *Dispatcher) leaveKey(key claimKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.active, key)
}
