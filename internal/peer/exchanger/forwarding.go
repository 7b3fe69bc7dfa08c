package exchanger

import (
	"context"
	"fmt"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/registrar"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
	"github.com/cottonlanding/cottonlanding/internal/request/dispatcher"
)

// Forward implements dispatcher.Forwarder. A peer of this data centre that has a
// seat comes first, then other data centres.
func (e *Exchanger) Forward(ctx context.Context, call dispatcher.Call) (dispatcher.Reply, error) {
	err := fmt.Errorf("no peer is known: %w", cottonlanding.ErrUnavailable)
	for _, session := range e.forwardTargets() {
		var reply dispatcher.Reply
		reply, err = e.forwardTo(ctx, session.PeerAddress, call)
		if err == nil && reply.Outcome != cottonlanding.NotRun {
			return reply, nil
		}
		if err != nil && !unavailable(err) {
			return reply, err
		}
		if err == nil {
			err = fmt.Errorf("%w: %s: %s", cottonlanding.ErrUnavailable, reply.Word, reply.Detail)
		}
	}
	return dispatcher.Reply{}, err
}

// maxForwards bounds the peers that one request is offered to.
const maxForwards = 2

func (e *Exchanger) forwardTargets() []registrar.Session {
	var near, far []registrar.Session
	for _, session := range e.deps.Observer.View().Live {
		switch {
		case session.ID == e.deps.Session || session.Leaving || session.Seat == 0 || !e.heard(session.PeerAddress):
		case session.DataCentre == e.deps.DataCentre:
			near = append(near, session)
		default:
			far = append(far, session)
		}
	}
	shuffle(near)
	shuffle(far)
	all := append(near[:min(len(near), 1)], far...)
	return all[:min(len(all), maxForwards)]
}

func (e *Exchanger) heard(address cottonlanding.Address) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[address]
	return p != nil && e.deps.Clock.Now()-p.heard <= fresh
}

func (e *Exchanger) forwardTo(ctx context.Context, address cottonlanding.Address, call dispatcher.Call) (dispatcher.Reply, error) {
	client, err := e.deps.Messenger.Peer(address)
	if err != nil {
		return dispatcher.Reply{}, err
	}
	request := call.Request
	reply, err := client.Forward(ctx, &wire.ForwardRequest{
		Service:         string(request.Service),
		Team:            string(request.Team),
		Method:          request.Method,
		Path:            request.Path,
		Header:          wireHeader(request.Header),
		Body:            request.Body,
		RemainingMillis: int64(call.Remaining),
		Claimed:         call.Claimed,
	})
	if err != nil {
		return dispatcher.Reply{}, messenger.Error(err)
	}
	return dispatcher.Reply{
		Outcome: cottonlanding.Outcome(reply.GetOutcome()),
		Answer: cottonlanding.Answer{
			Status: int(reply.GetStatus()), Header: plainHeader(reply.GetHeader()), Body: reply.GetBody(),
		},
		Status:     int(reply.GetStatus()),
		Word:       "Forwarded",
		Detail:     reply.GetDetail(),
		RetryAfter: cottonlanding.Millis(reply.GetRetryAfterMillis()),
	}, nil
}

func wireHeader(header cottonlanding.Header) []*wire.HeaderField {
	var out []*wire.HeaderField
	for name, values := range header {
		out = append(out, &wire.HeaderField{Name: name, Values: values})
	}
	return out
}

func plainHeader(fields []*wire.HeaderField) cottonlanding.Header {
	out := make(cottonlanding.Header, len(fields))
	for _, field := range fields {
		out[field.GetName()] = field.GetValues()
	}
	return out
}
