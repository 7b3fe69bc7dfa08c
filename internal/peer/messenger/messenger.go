// Package messenger carries messages between daemons over gRPC.
package messenger

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
)

// maxMessage is the largest message between daemons, in bytes.
const maxMessage = 16 << 20

// Connections may go silent without an end. A caller finds out by its call's time.
const (
	// idleTimeout closes connections on which no call was made for so long.
	idleTimeout = 10 * time.Second
	// keepAliveTime is how long a caller may say nothing before it is asked for a
	// sign of life, keepAliveTimeout how long it may take for one.
	keepAliveTime    = 5 * time.Second
	keepAliveTimeout = 2 * time.Second
)

// Messenger listens for peers and keeps a connection to each.
type Messenger struct {
	server *grpc.Server
	local  string

	mu    sync.Mutex
	peers map[cottonlanding.Address]*grpc.ClientConn
}

// New serves handler at address. Connections to peers come from the same IP
// address.
func New(address cottonlanding.Address, handler wire.PeerServer) (*Messenger, error) {
	return Serve(address, func(server grpc.ServiceRegistrar) { wire.RegisterPeerServer(server, handler) })
}

// Serve is like New for any services, which register adds.
func Serve(address cottonlanding.Address, register func(grpc.ServiceRegistrar)) (*Messenger, error) {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	host, _, err := net.SplitHostPort(string(address))
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessage),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepAliveTime, Timeout: keepAliveTimeout}))
	register(server)
	go func() { _ = server.Serve(listener) }() // ends with Close
	return &Messenger{server: server, local: host, peers: make(map[cottonlanding.Address]*grpc.ClientConn)}, nil
}

// Peer returns a client of the daemon at address.
func (m *Messenger) Peer(address cottonlanding.Address) (wire.PeerClient, error) {
	connection, err := m.Connection(address)
	if err != nil {
		return nil, err
	}
	return wire.NewPeerClient(connection), nil
}

// Reconnection to a peer: a peer that has restarted is back within a second or two.
const (
	firstReconnect   = 100 * time.Millisecond
	longestReconnect = 500 * time.Millisecond
	connectTimeout   = time.Second
	reconnectFactor  = 1.6
	reconnectJitter  = 0.2
)

// Connection returns the connection to the daemon at address.
func (m *Messenger) Connection(address cottonlanding.Address) (*grpc.ClientConn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if connection := m.peers[address]; connection != nil {
		return connection, nil
	}
	connection, err := grpc.NewClient("passthrough:///"+string(address),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(m.dial),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: firstReconnect, Multiplier: reconnectFactor, Jitter: reconnectJitter, MaxDelay: longestReconnect},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)))
	if err != nil {
		return nil, fmt.Errorf("%w: connect to %s: %w", cottonlanding.ErrUnavailable, address, err)
	}
	m.peers[address] = connection
	return connection, nil
}

// lingering is how long a dropped connection stays open for the calls that wait on
// it: longer than the longest of them.
const lingering = 3 * time.Second

// Drop makes the next call to a peer use a new connection, after one call got no
// answer: a connection that was cut may stay silent for ever. Calls that wait on
// the old one may still be answered.
func (m *Messenger) Drop(address cottonlanding.Address, connection *grpc.ClientConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[address] != connection {
		return
	}
	delete(m.peers, address)
	time.AfterFunc(lingering, func() { _ = connection.Close() }) // nothing depends on it
}

func (m *Messenger) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(m.local)}}
	return dialer.DialContext(ctx, "tcp", address)
}

// Keep closes the connections to all peers but those given.
func (m *Messenger) Keep(addresses map[cottonlanding.Address]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, connection := range m.peers {
		if !addresses[address] {
			_ = connection.Close() // nothing depends on it
			delete(m.peers, address)
		}
	}
}

// Close stops listening, lets calls under way end until ctx does, and closes all
// connections.
func (m *Messenger) Close(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		m.server.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		m.server.Stop()
	}
	m.Keep(nil)
}

// Error turns the error of a call into one of the root package. The library
// itself sends a call again only if the peer can't have begun it.
func Error(err error) error {
	if err == nil {
		return nil
	}
	if status.Code(err) == codes.Unavailable {
		return fmt.Errorf("%w: %w", errUnavailableOr(err), err)
	}
	return fmt.Errorf("%w: %w", cottonlanding.ErrAmbiguous, err)
}

// errUnavailableOr tells a connection that was never made from one that broke.
func errUnavailableOr(err error) error {
	if neverConnected(status.Convert(err).Message()) {
		return cottonlanding.ErrUnavailable
	}
	return cottonlanding.ErrAmbiguous
}

// codeErrors pairs the codes of replies with errors of the root package.
var codeErrors = []struct {
	code wire.Code
	err  error
}{
	{wire.Code_NOT_OWNER, cottonlanding.ErrNotOwner},
	{wire.Code_CANNOT_RUN, cottonlanding.ErrCannotRun},
	{wire.Code_BUSY, cottonlanding.ErrBusy},
	{wire.Code_NOT_FOUND, cottonlanding.ErrNotFound},
	{wire.Code_CONFLICT, cottonlanding.ErrConflict},
	{wire.Code_AMBIGUOUS, cottonlanding.ErrAmbiguous},
	{wire.Code_UNAVAILABLE, cottonlanding.ErrUnavailable},
}
