package exchanger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/registrar"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
	"github.com/cottonlanding/cottonlanding/internal/placement/owner"
	"github.com/cottonlanding/cottonlanding/internal/request/dispatcher"
)

// Server answers peers. It starts to answer once Serve was called, so that it
// can listen before the parts that it needs exist.
type Server struct {
	wire.UnimplementedPeerServer
	parts atomic.Pointer[Parts]
}

// Parts are what a server answers with.
type Parts struct {
	Exchanger  *Exchanger
	Owner      *owner.Owner
	Dispatcher *dispatcher.Dispatcher
	// Released is called when a peer says that it has given up a cell.
	Released func()
}

// Serve begins to answer peers.
func (s *Server) Serve(parts Parts) { s.parts.Store(&parts) }

var errStarting = errors.New("the daemon is starting")

// Exchange implements wire.PeerServer.
func (s *Server) Exchange(_ context.Context, summary *wire.Summary) (*wire.Summary, error) {
	parts := s.parts.Load()
	if parts == nil {
		return nil, errStarting
	}
	parts.Exchanger.TakeIn(summary)
	if summary.GetReleased() {
		parts.Released()
	}
	return parts.Exchanger.Summary(cottonlanding.Generation(summary.GetGeneration())), nil
}

// Submit implements wire.PeerServer.
func (s *Server) Submit(ctx context.Context, request *wire.SubmitRequest) (*wire.SubmitReply, error) {
	parts := s.parts.Load()
	if parts == nil {
		return &wire.SubmitReply{Code: wire.Code_UNAVAILABLE, Detail: errStarting.Error()}, nil
	}
	var spec cottonlanding.JobSpec
	if err := json.Unmarshal(request.GetSpec(), &spec); err != nil {
		return &wire.SubmitReply{Code: wire.Code_UNAVAILABLE, Detail: err.Error()}, nil
	}
	err := parts.Owner.Submit(ctx, cottonlanding.CellID(request.GetCell()), spec)
	return &wire.SubmitReply{Code: messenger.CodeOf(err), Detail: detail(err)}, nil
}

// Cancel implements wire.PeerServer.
func (s *Server) Cancel(ctx context.Context, request *wire.CancelRequest) (*wire.CancelReply, error) {
	parts := s.parts.Load()
	if parts == nil {
		return &wire.CancelReply{Code: wire.Code_UNAVAILABLE, Detail: errStarting.Error()}, nil
	}
	err := parts.Owner.Cancel(ctx, cottonlanding.CellID(request.GetCell()), cottonlanding.JobName(request.GetJob()))
	return &wire.CancelReply{Code: messenger.CodeOf(err), Detail: detail(err)}, nil
}

// Forward implements wire.PeerServer.
func (s *Server) Forward(ctx context.Context, request *wire.ForwardRequest) (*wire.ForwardReply, error) {
	parts := s.parts.Load()
	if parts == nil {
		return &wire.ForwardReply{Outcome: string(cottonlanding.NotRun), Detail: errStarting.Error()}, nil
	}
	reply := parts.Dispatcher.Handle(ctx, dispatcher.Call{
		Request: cottonlanding.Request{
			Service: cottonlanding.ServiceName(request.GetService()),
			Team:    cottonlanding.Team(request.GetTeam()),
			Method:  request.GetMethod(),
			Path:    request.GetPath(),
			Header:  plainHeader(request.GetHeader()),
			Body:    request.GetBody(),
		},
		Remaining: cottonlanding.Millis(request.GetRemainingMillis()),
		Forwarded: true,
		Claimed:   request.GetClaimed(),
	})
	out := &wire.ForwardReply{
		Outcome:          string(reply.Outcome),
		Status:           int32(reply.Status),
		Detail:           reply.Detail,
		RetryAfterMillis: int64(reply.RetryAfter),
	}
	if reply.Outcome == cottonlanding.Ran {
		out.Status = int32(reply.Answer.Status)
		out.Header = wireHeader(reply.Answer.Header)
		out.Body = reply.Answer.Body
	}
	return out, nil
}

func (e *Exchanger) submitTo(ctx context.Context, address cottonlanding.Address, cell cottonlanding.CellID, spec cottonlanding.JobSpec) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	client, err := e.deps.Messenger.Peer(address)
	if err != nil {
		return err
	}
	reply, err := client.Submit(ctx, &wire.SubmitRequest{Cell: string(cell), Spec: data})
	if err != nil {
		return messenger.Error(err)
	}
	return messenger.ErrorOf(reply.GetCode(), reply.GetDetail())
}

func detail(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func unavailable(err error) bool { return errors.Is(err, cottonlanding.ErrUnavailable) }

func shuffle(sessions []registrar.Session) {
	rand.Shuffle(len(sessions), func(i, j int) { sessions[i], sessions[j] = sessions[j], sessions[i] })
}
