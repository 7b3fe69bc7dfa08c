package messenger

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/pauser"
)

const (
	// endedTries is how many connections in a row must end at once for nobody to listen at an address, endedPause
	// the pause between two: a process that is short of descriptors ends some.
	endedTries = 2
	endedPause = 50 * cottonlanding.Millis(1)
	// greetingTimeout is how long a process may take to greet a new connection. One that is slow, frozen or cut
	// off says nothing, and counts as alive.
	greetingTimeout = 300 * time.Millisecond
)

// Ended reports whether no process listens at an address any more: connections to it are refused or end before a
// byte comes. Silence shows nothing.
func (m *Messenger) Ended(ctx context.Context, address cottonlanding.Address) bool {
	for try := range endedTries {
		if try > 0 {
			pauser.Pause(ctx, endedPause)
		}
		if ctx.Err() != nil || !m.endsAtOnce(ctx, address) {
			return false
		}
	}
	return true
}

// endsAtOnce reports whether a connection to an address is refused, or ends without a greeting.
func (m *Messenger) endsAtOnce(ctx context.Context, address cottonlanding.Address) bool {
	ctx, cancel := context.WithTimeout(ctx, greetingTimeout)
	defer cancel()
	connection, err := m.dial(ctx, string(address))
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer func() { _ = connection.Close() }() // nothing was written
	if err := connection.SetReadDeadline(time.Now().Add(greetingTimeout)); err != nil {
		return false
	}
	_, err = connection.Read(make([]byte, 1))
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}
