// Package listener serves HTTP through nbhttp.
package listener

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/web/allocator"
)

// Limits of what a caller may send.
const (
	// MaxBody is the largest body of a request, in bytes.
	MaxBody = 8 << 20
	// maxConnections bounds the open connections of one listener.
	maxConnections = 4096
	// idleTimeout closes connections that send no further request.
	idleTimeout = 60 * time.Second
	// handlerLimit bounds the requests that are handled at a time.
	handlerLimit = 2048
)

// Listener serves HTTP on one or more addresses.
type Listener struct {
	engine *nbhttp.Engine
}

// New starts to serve handler on the addresses. It fails if one is in use.
func New(handler http.Handler, addresses ...cottonlanding.Address) (*Listener, error) {
	return serve(handler, idleTimeout, addresses)
}

// serve is New with the time after which a connection without a request is closed.
func serve(handler http.Handler, idle time.Duration, addresses []cottonlanding.Address) (*Listener, error) {
	logging.SetLevel(logging.LevelNone)
	opened, err := open(addresses)
	if err != nil {
		return nil, err
	}
	engine := nbhttp.NewEngine(nbhttp.Config{
		Network:                "tcp",
		Addrs:                  texts(addresses),
		Listen:                 func(_, address string) (net.Listener, error) { return opened[address], nil },
		MaxLoad:                maxConnections,
		MaxHTTPBodySize:        MaxBody,
		KeepaliveTime:          idle,
		MessageHandlerPoolSize: handlerLimit,
		BodyAllocator:          allocator.Get(),
		Handler:                handler,
	})
	if err := engine.Start(); err != nil {
		return nil, fmt.Errorf("listen on %v: %w", addresses, err)
	}
	return &Listener{engine: engine}, nil
}

// open listens on all addresses before the engine starts: an engine that fails to
// start stops itself, and that may hang.
func open(addresses []cottonlanding.Address) (map[string]net.Listener, error) {
	opened := make(map[string]net.Listener, len(addresses))
	for _, address := range addresses {
		one, err := net.Listen("tcp", string(address))
		if err != nil {
			for _, other := range opened {
				_ = other.Close() // nothing was accepted on it
			}
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		opened[string(address)] = one
	}
	return opened, nil
}

// Close stops accepting and ends the connections, or gives up when ctx ends. The
// library's shutdown hangs if it follows the start closely, and panics when
// connections close at the wrong moment; neither may keep the process from
// handing over the rest.
func (l *Listener) Close(ctx context.Context) error {
	done := make(chan error, 1)
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				done <- fmt.Errorf("shut down the HTTP engine: %v", cause)
			}
		}()
		done <- l.engine.Shutdown(ctx)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("shut down the HTTP engine: %w", ctx.Err())
	}
}

func texts(addresses []cottonlanding.Address) []string {
	out := make([]string, len(addresses))
	for i, address := range addresses {
		out[i] = string(address)
	}
	return out
}
