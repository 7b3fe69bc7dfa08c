package exchanger_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/peer/exchanger"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
	"github.com/cottonlanding/cottonlanding/internal/placement/scheduler"
	"github.com/cottonlanding/cottonlanding/internal/request/dispatcher"
)

// scribe is a peer that writes down what it is asked.
type scribe struct {
	wire.UnimplementedPeerServer
	t     *testing.T
	calls string
}

func (s *scribe) note(name string, message proto.Message, body []byte) {
	data, err := protojson.Marshal(message)
	require.NoError(s.t, err)
	s.calls += fmt.Sprintf("%s\n%s\n%s\n\n", name, transcriber.Indent(data), transcriber.Indent(body))
}

func (s *scribe) Submit(_ context.Context, request *wire.SubmitRequest) (*wire.SubmitReply, error) {
	s.note("Submit", request, request.GetSpec())
	return &wire.SubmitReply{}, nil
}

func (s *scribe) Forward(_ context.Context, request *wire.ForwardRequest) (*wire.ForwardReply, error) {
	s.note("Forward", request, request.GetBody())
	return &wire.ForwardReply{
		Outcome: "Ran", Status: 201, Header: []*wire.HeaderField{{Name: "H1", Values: []string{"v1", "v2"}}}, Body: []byte("b1"),
		Detail: "d1", RetryAfterMillis: 12,
	}, nil
}

// TestGoldenCalls guards against another field in what a process asks its peers, and against
// another reading of their answers.
func TestGoldenCalls(t *testing.T) {
	peer := &scribe{t: t}
	m, err := messenger.New("127.0.0.1:0", wire.UnimplementedPeerServer{})
	require.NoError(t, err)
	defer m.Close(t.Context())
	address := serve(t, peer)
	spec := cottonlanding.JobSpec{
		Name: "j1", Team: "t1", Kind: cottonlanding.Watch, DataCentre: "d1", Tasks: 1,
		Resources: cottonlanding.Resources{CPU: 2, Memory: 3, Accelerators: 4}, RunTime: 5, Urgent: true, Payload: "p1",
	}
	require.NoError(t, exchanger.SubmitTo(t.Context(), m, address, "c1", spec))
	require.NoError(t, exchanger.SubmitTo(t.Context(), m, address, "c1", cottonlanding.JobSpec{}))
	reply, err := exchanger.ForwardTo(t.Context(), m, address, dispatcher.Call{
		Request: cottonlanding.Request{
			Service: "s1", Team: "t1", Method: "PUT", Path: "/p", Header: cottonlanding.Header{"H2": {"v3", "v4"}}, Body: []byte("b2"),
		},
		Remaining: 6,
		Claimed:   true,
	})
	require.NoError(t, err)
	transcriber.RequireFile(t, "calls.txt", peer.calls)
	require.Equal(t, dispatcher.Reply{
		Outcome: cottonlanding.Ran,
		Answer:  cottonlanding.Answer{Status: 201, Header: cottonlanding.Header{"H1": {"v1", "v2"}}, Body: []byte("b1")},
		Status:  201, Word: "Forwarded", Detail: "d1", RetryAfter: 12,
	}, reply)
	summary := exchanger.SummaryOfCell(&wire.CellSummary{Cell: "c1", Epoch: 7, FreeMillicores: 8, FreeBytes: 9, FreeAccelerators: 10, Queued: 11})
	require.Equal(t, scheduler.Summary{
		Cell: "c1", Epoch: 7, Free: cottonlanding.Resources{CPU: 8, Memory: 9, Accelerators: 10}, Queued: 11,
	}, summary)
}

// TestGoldenStarting guards against another answer of a process that is starting.
func TestGoldenStarting(t *testing.T) {
	var server exchanger.Server
	submitted, err := server.Submit(t.Context(), nil)
	require.NoError(t, err)
	require.Equal(t, wire.Code_UNAVAILABLE, submitted.GetCode())
	cancelled, err := server.Cancel(t.Context(), nil)
	require.NoError(t, err)
	require.Equal(t, wire.Code_UNAVAILABLE, cancelled.GetCode())
	borrowed, err := server.Borrow(t.Context(), nil)
	require.NoError(t, err)
	require.Equal(t, wire.Code_UNAVAILABLE, borrowed.GetCode())
	forwarded, err := server.Forward(t.Context(), nil)
	require.NoError(t, err)
	require.Equal(t, "NotRun", forwarded.GetOutcome())
}

// serve lets a peer answer until the test ends.
func serve(t *testing.T, peer wire.PeerServer) cottonlanding.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer()
	wire.RegisterPeerServer(server, peer)
	go func() { _ = server.Serve(listener) }() // ends with Stop
	t.Cleanup(server.Stop)
	return cottonlanding.Address(listener.Addr().String())
}
