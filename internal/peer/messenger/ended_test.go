package messenger_test

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
)

// TestOnlyAProcessThatRefusesHasEnded: an owner that is slow, frozen or cut off must not be taken for one that was
// killed. Only refused connections, and such that end before a byte comes, show that nobody listens.
func TestOnlyAProcessThatRefusesHasEnded(t *testing.T) {
	caller, err := messenger.Serve("127.0.0.1:0", func(grpc.ServiceRegistrar) {})
	require.NoError(t, err)
	defer caller.Close(t.Context())
	listen := func(serve func(net.Conn)) (net.Listener, cottonlanding.Address) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		if serve != nil {
			go func() {
				for connection, err := listener.Accept(); err == nil; connection, err = listener.Accept() {
					serve(connection)
				}
			}()
		}
		return listener, cottonlanding.Address(listener.Addr().String())
	}
	silent, atSilent := listen(nil)
	defer func() { require.NoError(t, silent.Close()) }()
	closing, atClosing := listen(func(connection net.Conn) { _ = connection.Close() })
	defer func() { require.NoError(t, closing.Close()) }()
	greeting, atGreeting := listen(func(connection net.Conn) { _, _ = connection.Write([]byte{0}) })
	defer func() { require.NoError(t, greeting.Close()) }()
	gone, atGone := listen(nil)
	require.NoError(t, gone.Close())

	require.True(t, caller.Ended(t.Context(), atGone), "refused")
	require.True(t, caller.Ended(t.Context(), atClosing), "ends at once")
	require.False(t, caller.Ended(t.Context(), atSilent), "says nothing")
	require.False(t, caller.Ended(t.Context(), atGreeting), "lives")
	over, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, caller.Ended(over, atClosing), "nothing was seen")
}
