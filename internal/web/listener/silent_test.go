package listener_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/stand/proxy"
)

// TestSilentClientsAreDropped lets clients go silent at every moment of a request;
// the listener must not keep their connections for ever.
func TestSilentClientsAreDropped(t *testing.T) {
	const idle = time.Second
	path, err := proxy.New(startEcho(t, idleVariable+"="+idle.String()))
	require.NoError(t, err)
	defer path.Close()
	const whole = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
	for _, sent := range []string{"", whole[:20], whole[:len(whole)-2], whole} {
		connection, err := net.Dial("tcp", string(path.Address()))
		require.NoError(t, err)
		defer func() { _ = connection.Close() }() // it may have ended
		_, err = io.WriteString(connection, sent)
		require.NoError(t, err)
	}
	answered, err := net.Dial("tcp", string(path.Address()))
	require.NoError(t, err)
	defer func() { _ = answered.Close() }() // it may have ended
	_, err = io.WriteString(answered, whole)
	require.NoError(t, err)
	_, err = answered.Read(make([]byte, 1))
	require.NoError(t, err)
	_, err = io.WriteString(answered, whole) // the silence comes while this is handled
	require.NoError(t, err)
	time.Sleep(5 * time.Millisecond)
	require.Eventually(t, func() bool { return path.Held() == 5 }, idle/2, time.Millisecond)
	path.Silence()
	require.Eventually(t, func() bool { return path.Held() == 0 }, 5*idle, 5*time.Millisecond)
}
