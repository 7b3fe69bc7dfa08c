// Package listener serves HTTP to clients that may send anything.
//
// The memory and the descriptors that clients can make a process hold are bounded. Requests are read whole before their
// handlers begin, so that a request that never becomes whole holds no handler.
package listener

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// idleTimeout closes connections that send no further request.
	idleTimeout = cottonlanding.Minute
	// sweepInterval is how often connections are looked at that take too long.
	sweepInterval = cottonlanding.Second
	// kernelBuffer bounds the bytes that the kernel holds for a connection in each direction.
	kernelBuffer = 16 << 10
	// firstBuffer is the size of the buffer of a body of unknown length.
	firstBuffer = 4 << 10
	// readAhead is how much of a body may be received with a head.
	readAhead = 4 << 10
)

// Listener serves HTTP on one or more addresses.
type Listener struct {
	server   *http.Server
	admitter *admitter
	handler  http.Handler
}

// New starts to serve handler on the addresses with the default limits. It fails if one is in use.
func New(handler http.Handler, addresses ...cottonlanding.Address) (*Listener, error) {
	return NewLimited(handler, Limits{}, addresses...)
}

// NewLimited is New with limits.
func NewLimited(handler http.Handler, limits Limits, addresses ...cottonlanding.Address) (*Listener, error) {
	return serve(handler, limits, idleTimeout, addresses)
}

// serve is NewLimited with the time after which a connection without a request is closed.
func serve(handler http.Handler, limits Limits, idleTimeout cottonlanding.Millis, addresses []cottonlanding.Address) (*Listener, error) {
	opened, err := open(addresses)
	if err != nil {
		return nil, err
	}
	l := &Listener{handler: handler, admitter: newAdmitter(limits.withDefaults())}
	l.server = &http.Server{
		Handler:                      http.HandlerFunc(l.serveRequest),
		DisableGeneralOptionsHandler: true,
		MaxHeaderBytes:               maxHead,
		ErrorLog:                     log.New(io.Discard, "", 0),
		ConnState:                    recordState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		},
	}
	ended := make(chan struct{})
	l.server.RegisterOnShutdown(sync.OnceFunc(func() { close(ended) }))
	for _, one := range opened {
		go func() { _ = l.server.Serve(&admittingListener{one, l.admitter}) }() // ends with Close
	}
	go func() {
		sweeps := time.NewTicker(min(sweepInterval, max(idleTimeout/4, 1)).Duration())
		defer sweeps.Stop()
		for {
			select {
			case <-sweeps.C:
				l.admitter.sweep(idleTimeout)
			case <-ended:
				return
			}
		}
	}()
	return l, nil
}

// open listens on all addresses, or on none.
func open(addresses []cottonlanding.Address) ([]net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// Without them the kernel may buffer megabytes for each connection. They are hints.
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, kernelBuffer)
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF, kernelBuffer)
		})
	}}
	var opened []net.Listener
	for _, address := range addresses {
		one, err := config.Listen(context.Background(), "tcp", string(address))
		if err != nil {
			for _, other := range opened {
				_ = other.Close() // nothing was accepted on it
			}
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		opened = append(opened, one)
	}
	return opened, nil
}

// admittingListener accepts connections within the limits.
type admittingListener struct {
	net.Listener
	admitter *admitter
}

// Accept implements net.Listener.
func (l *admittingListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.admitter.admit(accepted); admitted != nil {
			return admitted, nil
		}
	}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// recordState records that a request is answered.
func recordState(conn net.Conn, state http.ConnState) {
	if c, ours := conn.(*connection); ours && state == http.StateIdle {
		c.admitter.rest(c)
	}
}

// serveRequest receives a request whole and passes it to the handler.
func (l *Listener) serveRequest(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	limits := l.admitter.limits.Request().withDefaults()
	if l.admitter.begin(c) > limits.Head+readAhead {
		refuseRequest(w, http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	content, err := l.receive(c, r, limits.Body)
	switch {
	case errors.Is(err, errNoRoom):
		refuseRequest(w, http.StatusServiceUnavailable)
		return
	case errors.Is(err, errTooLarge):
		refuseRequest(w, http.StatusRequestEntityTooLarge)
		return
	case err != nil:
		refuseRequest(w, http.StatusBadRequest)
		return
	}
	l.admitter.serve(c)
	// A client that has closed its sending side may still read its answer.
	whole := r.WithContext(context.WithoutCancel(r.Context()))
	whole.Body = io.NopCloser(bytes.NewReader(content))
	l.handler.ServeHTTP(w, whole)
}

// refuseRequest answers a request that isn't received whole, and has its connection closed.
func refuseRequest(w http.ResponseWriter, status int) {
	w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	http.Error(w, strings.ToLower(http.StatusText(status)), status)
}

// errTooLarge reports a body beyond the limit.
var errTooLarge = errors.New("the body is too large")

// receive reads the body of a request and charges for it as it comes.
func (l *Listener) receive(c *connection, r *http.Request, most int) ([]byte, error) {
	if r.ContentLength > int64(most) {
		return nil, errTooLarge
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	size := min(firstBuffer, most+1)
	if r.ContentLength > 0 {
		size = min(firstBuffer, int(r.ContentLength))
	}
	if !l.admitter.charge(c, bodyCharge*cottonlanding.Bytes(size)) {
		return nil, errNoRoom
	}
	content := make([]byte, 0, size)
	for {
		count, err := r.Body.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		switch {
		case len(content) > most:
			return nil, errTooLarge
		case err == io.EOF:
			return content, nil
		case err != nil:
			return nil, err
		case len(content) < cap(content):
			continue
		}
		if int64(len(content)) == r.ContentLength {
			return content, nil
		}
		next := min(2*cap(content), most+1)
		if r.ContentLength > 0 {
			next = min(next, int(r.ContentLength))
		}
		if !l.admitter.charge(c, bodyCharge*cottonlanding.Bytes(next-cap(content))) {
			return nil, errNoRoom
		}
		content = append(make([]byte, 0, next), content...)
	}
}

// Close stops accepting, waits for the requests that are being served until ctx ends, and ends the connections.
func (l *Listener) Close(ctx context.Context) error {
	l.admitter.close()
	err := l.server.Shutdown(ctx)
	if err != nil {
		err = errors.Join(fmt.Errorf("shut down the HTTP server: %w", err), l.server.Close())
	}
	return err
}
