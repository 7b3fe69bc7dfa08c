package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"google.golang.org/grpc/metadata"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
	"github.com/cottonlanding/cottonlanding/internal/workflow/driver"
)

// peerServer serves the calls of other hosts for the cells that this host owns.
type peerServer struct {
	wire.UnimplementedWorkflowsServer
	gateway *Gateway
}

// owned returns this host's participant in a cell and its driver. The error is ErrUnavailable if this host doesn't own
// the cell.
func (s *peerServer) owned(cell int32) (*participant, *driver.Driver, error) {
	if p := s.gateway.participant(cottonlanding.CellNumber(cell)); p != nil {
		if local := p.local(); local != nil {
			return p, local, nil
		}
	}
	return nil, nil, fmt.Errorf("%s does not own cell %d: %w", s.gateway.settings.Self.ID, cell, cottonlanding.ErrUnavailable)
}

func reply(err error) *wire.WorkflowReply {
	var referred *driver.ReferredError
	if errors.As(err, &referred) {
		return &wire.WorkflowReply{Elsewhere: true, Cell: int32(referred.To)}
	}
	out := &wire.WorkflowReply{Code: messenger.CodeOf(err)}
	if err != nil {
		out.Detail = err.Error()
	}
	return out
}

// Submit implements wire.WorkflowsServer.
func (s *peerServer) Submit(ctx context.Context, request *wire.WorkflowSubmit) (*wire.WorkflowReply, error) {
	var workflow cottonlanding.Workflow
	if err := json.Unmarshal(request.GetWorkflow(), &workflow); err != nil {
		return reply(fmt.Errorf("%w: %w", cottonlanding.ErrCannotRun, err)), nil
	}
	p, owner, err := s.owned(request.GetCell())
	if err != nil {
		return reply(err), nil
	}
	handedOver := len(metadata.ValueFromIncomingContext(ctx, handedOverKey)) > 0
	err = p.submitLocal(ctx, owner, workflow, handedOver)
	messenger.SetRetryAfter(ctx, err)
	return reply(err), nil
}

// Cancel implements wire.WorkflowsServer.
func (s *peerServer) Cancel(ctx context.Context, request *wire.WorkflowName) (*wire.WorkflowReply, error) {
	_, owner, err := s.owned(request.GetCell())
	if err != nil {
		return reply(err), nil
	}
	err = owner.Cancel(ctx, cottonlanding.WorkflowID(request.GetId()))
	messenger.SetRetryAfter(ctx, err)
	return reply(err), nil
}

// State implements wire.WorkflowsServer.
func (s *peerServer) State(_ context.Context, request *wire.WorkflowName) (*wire.WorkflowReply, error) {
	_, owner, err := s.owned(request.GetCell())
	if err != nil {
		return reply(err), nil
	}
	state, err := owner.State(cottonlanding.WorkflowID(request.GetId()))
	out := reply(err)
	out.State = string(state)
	return out, nil
}

// Waiting implements wire.WorkflowsServer.
func (s *peerServer) Waiting(_ context.Context, request *wire.QueueName) (*wire.WorkflowReply, error) {
	_, owner, err := s.owned(request.GetCell())
	if err != nil {
		return reply(err), nil
	}
	count, err := owner.Waiting(cottonlanding.QueueName(request.GetQueue()))
	out := reply(err)
	out.Waiting = int64(count)
	return out, nil
}
