package returner

import "github.com/cottonlanding/cottonlanding"

const (
	// growth is the part of an outage's length by which the wait grows. An outage that
	// has lasted long lasts about as long again; half of that costs a caller who comes
	// near its end less than it saves one who comes at its beginning.
	growth = 0.5
	// longestWait bounds the wait: with four returns a caller then outlasts outages of
	// ten seconds, the longest that were seen.
	longestWait = 4 * cottonlanding.Second
)

// Growing lets callers wait the longer the longer nothing could be accepted. Its load
// is callers who come back a few times only, in an outage of several seconds: at equal
// waits of a second they have given up before it ends.
type Growing struct{}

// RetryAfter implements cottonlanding.ReturnPolicy.
func (Growing) RetryAfter(outage cottonlanding.Millis) cottonlanding.Millis {
	return min(shortestWait+cottonlanding.Millis(growth*float64(outage)), longestWait)
}
