package messenger_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
	"github.com/cottonlanding/cottonlanding/internal/stand/proxy"
)

// TestNeverConnected checks that a call to a port where nobody listens is known to
// have had no effect: clients are told so.
func TestNeverConnected(t *testing.T) {
	m, err := messenger.New("127.0.0.1:0", wire.UnimplementedPeerServer{})
	require.NoError(t, err)
	defer m.Close(context.Background())
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := cottonlanding.Address(unused.Addr().String())
	require.NoError(t, unused.Close())
	peer, err := m.Peer(address)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = peer.Submit(ctx, &wire.SubmitRequest{})
	require.ErrorIs(t, messenger.Error(err), cottonlanding.ErrUnavailable)
	require.NotErrorIs(t, messenger.Error(err), cottonlanding.ErrAmbiguous)
}

// TestSilentPeersAreDropped checks that neither side keeps a connection for ever
// that went silent while no call was under way.
func TestSilentPeersAreDropped(t *testing.T) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := cottonlanding.Address(probe.Addr().String())
	require.NoError(t, probe.Close())
	server, err := messenger.New(address, wire.UnimplementedPeerServer{})
	require.NoError(t, err)
	defer server.Close(context.Background())
	path, err := proxy.New(address)
	require.NoError(t, err)
	defer path.Close()
	caller, err := messenger.New("127.0.0.1:0", wire.UnimplementedPeerServer{})
	require.NoError(t, err)
	defer caller.Close(context.Background())
	call := func() error {
		peer, err := caller.Peer(path.Address())
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err = peer.Submit(ctx, &wire.SubmitRequest{})
		return err
	}
	require.Equal(t, codes.Unimplemented, status.Code(call()))
	path.Silence()
	const within = messenger.IdleTimeout + messenger.KeepAliveTime + messenger.KeepAliveTimeout + 3*time.Second
	require.Eventually(t, func() bool { return path.Held() == 0 && path.Kept() == 0 }, within, 20*time.Millisecond)
	require.Equal(t, codes.Unimplemented, status.Code(call()))
}
