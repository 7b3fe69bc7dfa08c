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
	"slices"
	"sync"
	"sync/atomic"
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
	// sweepsPerTimeout is how often idle connections are looked at in idleTimeout.
	sweepsPerTimeout = 4
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
	// made counts the connections that were made.
	made atomic.Int64

	mu     sync.Mutex
	idle   map[string][]*keptConnection
	swept  time.Time
	closed bool
}

// keptConnection is a connection, when it was opened and when it was last used.
type keptConnection struct {
	*nbhttp.ClientConn
	opened time.Time
	since  time.Time
}

// New returns a caller whose connections come from the IP address local, or
// from any if local is empty.
func New(local string) (*Caller, error) {
	logging.SetLevel(logging.LevelNone)
	engine := nbhttp.NewEngine(nbhttp.Config{BodyAllocator: allocator.Get()})
	c := &Caller{engine: engine, idleTimeout: idleTimeout, idle: make(map[string][]*keptConnection), swept: time.Now()}
	engine.Execute = c.ordered(engine.Execute)
	c.dialer.Timeout = dialTimeout
	if local != "" {
		ip := net.ParseIP(local)
		if ip == nil {
			return nil, fmt.Errorf("%q is no IP address", local)
		}
		c.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	if err := engine.Start(); err != nil {
		return nil, fmt.Errorf("start the client engine: %w", err)
	}
	return c, nil
}

// ordered returns an executor that runs the library's work on connections after what made them.
// The kernel orders the two when a connection is reset before anything is written on it, but the
// memory model doesn't know of that.
func (c *Caller) ordered(execute func(func())) func(func()) {
	return func(work func()) {
		execute(func() {
			c.made.Load()
			work()
		})
	}
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
	host, sent := request.URL.Host, time.Now()
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
		if !fresh && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.suspect(host, sent)
		}
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
	c.made.Add(1)
	return connection, nil
}

// take returns a kept connection, or a fresh one that is not yet made.
func (c *Caller) take(host string) (connection *keptConnection, fresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep()
	if kept := c.idle[host]; len(kept) > 0 {
		last := kept[len(kept)-1]
		c.idle[host] = kept[:len(kept)-1]
		if time.Since(last.since) < c.idleTimeout {
			return last, false
		}
		go last.Close() // the others are older; the next sweep finds them
	}
	connection = &keptConnection{ClientConn: &nbhttp.ClientConn{Engine: c.engine, Dial: c.dial}, opened: time.Now()}
	connection.OnClose(func() { c.drop(host, connection) })
	return connection, true
}

func (c *Caller) give(host string, connection *keptConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[host]) >= idlePerHost {
		go connection.Close() // takes the connection's lock, under which drop takes ours
		return
	}
	connection.since = time.Now()
	c.idle[host] = append(c.idle[host], connection)
}

// suspect closes the idle connections to a host that were opened before a call was
// sent on another one, and got no answer: what made that one silent has struck them
// too, and each would cost a call its time.
func (c *Caller) suspect(host string, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdle(host, func(one *keptConnection) bool { return one.opened.Before(sent) })
}

// sweep closes what was idle for too long, also to hosts that are never called
// again: their end may never arrive. The caller holds the lock.
func (c *Caller) sweep() {
	if time.Since(c.swept) < c.idleTimeout/sweepsPerTimeout {
		return
	}
	c.swept = time.Now()
	for host := range c.idle {
		c.closeIdle(host, func(one *keptConnection) bool { return time.Since(one.since) >= c.idleTimeout })
	}
}

// closeIdle closes some of the idle connections to a host. The caller holds the lock.
func (c *Caller) closeIdle(host string, closes func(*keptConnection) bool) {
	var kept []*keptConnection
	for _, one := range c.idle[host] {
		if closes(one) {
			go one.Close()
			continue
		}
		kept = append(kept, one)
	}
	if len(kept) == 0 {
		delete(c.idle, host)
		return
	}
	c.idle[host] = kept
}

// drop forgets an idle connection that the other side closed.
func (c *Caller) drop(host string, connection *keptConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := slices.Index(c.idle[host], connection); at >= 0 {
		c.idle[host] = slices.Delete(c.idle[host], at, at+1)
	}
}

// Close ends the idle connections; those in use end with their requests. The
// engine's loops are left to the end of the process: stopping them hung when it
// followed their start closely, and panicked when connections closed meanwhile.
func (c *Caller) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle = make(map[string][]*keptConnection)
	c.closed = true
	c.mu.Unlock()
	for _, kept := range idle {
		for _, one := range kept {
			one.Close()
		}
	}
}

// ReadOnly turns the unknown outcome of a call that only reads into a failure without effect.
func ReadOnly(err error) error {
	if errors.Is(err, cottonlanding.ErrAmbiguous) {
		return fmt.Errorf("%w: %s", cottonlanding.ErrUnavailable, err.Error())
	}
	return err
}
