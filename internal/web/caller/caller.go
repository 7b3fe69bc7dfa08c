// Package caller sends HTTP requests through nbhttp and tells apart what
// certainly was not sent from what may have arrived.
package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/web/allocator"
)

const (
	dialTimeout = time.Second
	// idleTimeout is shorter than a listener's, so that the caller closes first.
	idleTimeout = 20 * time.Second
	// idlePerHost bounds the connections kept for one host.
	idlePerHost = 64
)

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Caller keeps connections to many hosts and uses each for one request at a
// time. It never sends a request twice.
type Caller struct {
	engine      *nbhttp.Engine
	dialer      net.Dialer
	idleTimeout time.Duration

	mu     sync.Mutex
	idle   map[string][]idleConnection
	closed bool
}

// idleConnection is a kept connection and when it was last used.
type idleConnection struct {
	connection *nbhttp.ClientConn
	since      time.Time
}

// New returns a caller whose connections come from the IP address local, or
// from any if local is empty.
func New(local string) (*Caller, error) {
	logging.SetLevel(logging.LevelNone)
	engine := nbhttp.NewEngine(nbhttp.Config{BodyAllocator: allocator.Get()})
	if err := engine.Start(); err != nil {
		return nil, fmt.Errorf("start the client engine: %w", err)
	}
	c := &Caller{engine: engine, idleTimeout: idleTimeout, idle: make(map[string][]idleConnection)}
	c.dialer.Timeout = dialTimeout
	if local != "" {
		ip := net.ParseIP(local)
		if ip == nil {
			return nil, fmt.Errorf("%q is no IP address", local)
		}
		c.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return c, nil
}

type result struct {
	response Response
	err      error
}

// Do sends the request and returns the whole answer. The error wraps
// ErrUnavailable if no connection was made, else ErrAmbiguous.
func (c *Caller) Do(ctx context.Context, request *http.Request) (Response, error) {
	for {
		if err := ctx.Err(); err != nil {
			return Response{}, fmt.Errorf("%w: %w", cottonlanding.ErrUnavailable, err)
		}
		response, err := c.once(ctx, request)
		if !errors.Is(err, errStale) {
			return response, err
		}
	}
}

// errStale reports a kept connection that turned out to be closed before a byte
// of the request was sent on it.
var errStale = errors.New("kept connection is closed")

// once sends the request on one connection.
func (c *Caller) once(ctx context.Context, request *http.Request) (Response, error) {
	host := request.URL.Host
	connection, fresh := c.take(host)
	done := make(chan result, 1)
	send := func() {
		connection.Do(request, func(response *http.Response, _ net.Conn, err error) {
			select {
			case done <- read(response, err):
			default:
			}
		})
	}
	if fresh {
		go send() // connecting blocks, and the context must still be obeyed
	} else {
		send()
	}
	select {
	case r := <-done:
		if r.err != nil {
			go connection.Close()
			return Response{}, classify(host, r.err, fresh)
		}
		c.give(host, connection)
		return r.response, nil
	case <-ctx.Done():
		go connection.Close()
		return Response{}, fmt.Errorf("%w: %s gave no answer: %w", cottonlanding.ErrAmbiguous, host, ctx.Err())
	}
}

// read takes the answer whole while the library still owns its buffers.
func read(response *http.Response, err error) result {
	if err != nil {
		return result{err: err}
	}
	if response.StatusCode < http.StatusContinue {
		return result{err: fmt.Errorf("the answer has no status")}
	}
	out := Response{Status: response.StatusCode, Header: response.Header}
	if response.Body == nil {
		return result{response: out}
	}
	if out.Body, err = io.ReadAll(response.Body); err != nil {
		return result{err: err}
	}
	if response.ContentLength >= 0 && int64(len(out.Body)) != response.ContentLength {
		return result{err: io.ErrUnexpectedEOF}
	}
	return result{response: out}
}

func classify(host string, err error, fresh bool) error {
	if !fresh && errors.Is(err, nbhttp.ErrClientClosed) {
		return errStale
	}
	var dial *dialError
	if errors.As(err, &dial) {
		return fmt.Errorf("%w: connect to %s: %w", cottonlanding.ErrUnavailable, host, dial.cause)
	}
	return fmt.Errorf("%w: %s: %w", cottonlanding.ErrAmbiguous, host, err)
}

// dialError marks a connection that was never made.
type dialError struct {
	cause error
}

func (e *dialError) Error() string { return e.cause.Error() }

func (c *Caller) dial(network, address string) (net.Conn, error) {
	connection, err := c.dialer.Dial(network, address)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return connection, nil
}

// take returns a kept connection, or a fresh one that is not yet made.
func (c *Caller) take(host string) (connection *nbhttp.ClientConn, fresh bool) {
	c.mu.Lock()
	kept := c.idle[host]
	for len(kept) > 0 {
		last := kept[len(kept)-1]
		kept = kept[:len(kept)-1]
		if time.Since(last.since) < c.idleTimeout {
			c.idle[host] = kept
			c.mu.Unlock()
			return last.connection, false
		}
		go last.connection.Close()
	}
	c.idle[host] = kept
	c.mu.Unlock()
	connection = &nbhttp.ClientConn{Engine: c.engine, Dial: c.dial}
	connection.OnClose(func() { c.drop(host, connection) })
	return connection, true
}

func (c *Caller) give(host string, connection *nbhttp.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[host]) >= idlePerHost {
		go connection.Close() // takes the connection's lock, under which drop takes ours
		return
	}
	c.idle[host] = append(c.idle[host], idleConnection{connection: connection, since: time.Now()})
}

// drop forgets an idle connection that the other side closed.
func (c *Caller) drop(host string, connection *nbhttp.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[host]
	for i, other := range kept {
		if other.connection == connection {
			c.idle[host] = append(kept[:i], kept[i+1:]...)
			return
		}
	}
}

// Close ends the idle connections; those in use end with their requests. The
// engine's loops are left to the end of the process: stopping them hung when it
// followed their start closely, and panicked when connections closed meanwhile.
func (c *Caller) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle = make(map[string][]idleConnection)
	c.closed = true
	c.mu.Unlock()
	for _, kept := range idle {
		for _, one := range kept {
			one.connection.Close()
		}
	}
}
