package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// mutingListener accepts connections that can go silent for good, without a reset.
type mutingListener struct {
	net.Listener
	mu   sync.Mutex
	open []*mutingConn
}

type mutingConn struct {
	net.Conn
	silent atomic.Bool
}

// Accept implements net.Listener.
func (l *mutingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	one := &mutingConn{Conn: accepted}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, one)
	return one, nil
}

// silence makes all open connections silent. New ones work.
func (l *mutingListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, one := range l.open {
		one.silent.Store(true)
	}
	l.open = nil
}

// Read implements net.Conn. What comes on a silent connection is lost.
func (c *mutingConn) Read(data []byte) (int, error) {
	for {
		count, err := c.Conn.Read(data)
		if err != nil || !c.silent.Load() {
			return count, err
		}
	}
}

// Write implements net.Conn. What is written to a silent connection is lost.
func (c *mutingConn) Write(data []byte) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}
