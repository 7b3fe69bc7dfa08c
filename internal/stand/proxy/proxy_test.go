package proxy_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/stand/proxy"
)

// echo serves what it is sent, until the test is over.
func echo(t *testing.T) cottonlanding.Address {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // the test is over
	go func() {
		for {
			connection, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(connection, connection) // it ends as the test wants
				_ = connection.Close()
			}()
		}
	}()
	return cottonlanding.Address(l.Addr().String())
}

func dial(t *testing.T, p *proxy.Proxy) net.Conn {
	connection, err := net.Dial("tcp", string(p.Address()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() }) // the test is over
	return connection
}

func exchange(t *testing.T, connection net.Conn) error {
	_, err := connection.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	_, err = connection.Read(make([]byte, 1))
	return err
}

// TestSilenceIsForOpenConnections checks that silenced connections neither answer
// nor end, that the target isn't told when their callers end, and that new
// connections work.
func TestSilenceIsForOpenConnections(t *testing.T) {
	p, err := proxy.New(echo(t))
	require.NoError(t, err)
	defer p.Close()
	old := []net.Conn{dial(t, p), dial(t, p)}
	for _, one := range old {
		require.NoError(t, exchange(t, one))
	}
	p.Silence()
	for range 2 {
		for _, one := range old {
			var timeout net.Error
			require.ErrorAs(t, exchange(t, one), &timeout)
			require.True(t, timeout.Timeout(), "it is silent, not ended")
		}
	}
	fresh := dial(t, p)
	require.NoError(t, exchange(t, fresh))
	require.NoError(t, old[0].Close())
	require.Eventually(t, func() bool { return p.Kept() == 2 }, 5*time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, 3, p.Held())
	require.Equal(t, 3, p.Accepted())
	require.NoError(t, fresh.Close())
	require.Eventually(t, func() bool { return p.Held() == 2 }, 5*time.Second, time.Millisecond)
}
