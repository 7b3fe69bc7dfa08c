package listener

import (
	"errors"
	"net"

	"github.com/cottonlanding/cottonlanding"
)

// phase is what a connection is doing.
type phase int

const (
	// idle connections wait for the first byte of a request.
	idle phase = iota
	// head and body are the parts of a request that are being received.
	head
	body
	// serving connections have a whole request that isn't answered yet.
	serving
)

// connection is an open connection of a client. Its fields are guarded by the mutex of its admitter.
type connection struct {
	net.Conn
	admitter *admitter
	phase    phase
	// since is when the phase began. A request that is being received began with its first byte.
	since cottonlanding.Millis
	// writingSince is when a write began that hasn't ended, zero if there is none.
	writingSince cottonlanding.Millis
	// headBytes are those received since the request began, up to its handler. They may include some of the body.
	headBytes int
	// charged is what is charged for the request.
	charged cottonlanding.Bytes
	// used says that the connection had a whole request.
	used bool
	// closed says that the connection is no longer counted.
	closed bool
}

// errNoRoom reports that a request has to give way.
var errNoRoom = errors.New("no memory is left for the request")

// Read implements net.Conn. It charges for the head of a request.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 && !c.admitter.recordRead(c, count) {
		c.admitter.evict(c)
		return 0, errNoRoom
	}
	return count, err
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	c.admitter.recordWriting(c, true)
	defer c.admitter.recordWriting(c, false)
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.admitter.forget(c)
	return c.Conn.Close()
}
