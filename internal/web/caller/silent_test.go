package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/stand/proxy"
	"github.com/cottonlanding/cottonlanding/internal/web/caller"
)

const (
	// silentWait is how long calls wait for an answer that can't come, patience how
	// long others do on a busy machine.
	silentWait = 300 * time.Millisecond
	patience   = 10 * time.Second
)

// slowServer answers after a while, which may change, and counts the requests.
type slowServer struct {
	proxy    *proxy.Proxy
	address  string
	slow     atomic.Int64
	requests atomic.Int64
}

func newSlowServer(t *testing.T) *slowServer {
	s := &slowServer{}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		s.requests.Add(1)
		time.Sleep(time.Duration(s.slow.Load()))
	}))
	t.Cleanup(server.Close)
	var err error
	s.proxy, err = proxy.New(cottonlanding.Address(server.Listener.Addr().String()))
	require.NoError(t, err)
	t.Cleanup(s.proxy.Close)
	s.address = string(s.proxy.Address())
	return s
}

func (s *slowServer) call(c *caller.Caller, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	_, err := c.Do(ctx, post(s.address, "order"))
	return err
}

// keep makes the caller keep a number of connections.
func (s *slowServer) keep(t *testing.T, c *caller.Caller, number int) {
	s.slow.Store(int64(300 * time.Millisecond))
	defer s.slow.Store(0)
	before := s.proxy.Accepted()
	var calls sync.WaitGroup
	for range number {
		calls.Go(func() {
			if err := s.call(c, patience); err != nil {
				t.Errorf("a call before the silence: %v", err)
			}
		})
	}
	calls.Wait()
	require.Equal(t, before+number, s.proxy.Accepted())
}

// TestSilenceCostsOneTimeout checks that of many kept connections to an address
// that went silent together, one costs a call its time, and one more is opened.
func TestSilenceCostsOneTimeout(t *testing.T) {
	s, c := newSlowServer(t), newCaller(t)
	s.keep(t, c, 5)
	s.proxy.Silence()
	sent := s.requests.Load()
	err := s.call(c, silentWait)
	require.ErrorIs(t, err, cottonlanding.ErrAmbiguous, "it may have arrived")
	require.NotErrorIs(t, err, cottonlanding.ErrUnavailable)
	for range 10 {
		require.NoError(t, s.call(c, patience))
	}
	require.Equal(t, sent+10, s.requests.Load(), "the caller never sends again")
	require.Equal(t, 6, s.proxy.Accepted())
}

// TestConnectionsOpenedLaterAreKept checks that a call without an answer says
// nothing of connections that were opened after it was sent.
func TestConnectionsOpenedLaterAreKept(t *testing.T) {
	s, c := newSlowServer(t), newCaller(t)
	s.keep(t, c, 1)
	s.proxy.Silence()
	done := make(chan error)
	go func() { done <- s.call(c, silentWait) }()
	time.Sleep(silentWait / 3)
	require.NoError(t, s.call(c, patience), "the silent one is in use, so that this one is new")
	require.ErrorIs(t, <-done, cottonlanding.ErrAmbiguous)
	require.NoError(t, s.call(c, patience))
	require.Equal(t, 2, s.proxy.Accepted())
}

// TestOtherSuspicionsCostNothing checks that neither a call that was given up by
// its caller nor one to another address closes kept connections.
func TestOtherSuspicionsCostNothing(t *testing.T) {
	s, other, c := newSlowServer(t), newSlowServer(t), newCaller(t)
	s.keep(t, c, 2)
	other.keep(t, c, 1)
	other.proxy.Silence()
	require.ErrorIs(t, other.call(c, silentWait), cottonlanding.ErrAmbiguous)
	s.slow.Store(int64(100 * time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := c.Do(ctx, post(s.address, "given up"))
	require.ErrorIs(t, err, cottonlanding.ErrAmbiguous)
	s.slow.Store(0)
	require.NoError(t, s.call(c, patience))
	require.Equal(t, 2, s.proxy.Accepted())
}

// TestIdleConnectionsAreClosed checks that connections to an address that is never
// called again are closed, also where the other side's end doesn't arrive.
func TestIdleConnectionsAreClosed(t *testing.T) {
	left, other, c := newSlowServer(t), newSlowServer(t), newCaller(t)
	c.SetIdle(200 * time.Millisecond)
	left.keep(t, c, 3)
	left.proxy.Silence()
	require.Eventually(t, func() bool {
		if err := other.call(c, patience); err != nil {
			t.Errorf("a call to another address: %v", err)
		}
		return left.proxy.Kept() == 0
	}, 5*time.Second, 20*time.Millisecond)
	require.Equal(t, 1, other.proxy.Accepted())
}
