package listener

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// requestTimeout closes connections whose request isn't whole so long after its first byte. It is several times as
	// long as clients wait for an answer.
	requestTimeout = 30 * cottonlanding.Second
	// writeTimeout closes connections whose answers aren't read.
	writeTimeout = 30 * cottonlanding.Second
	// slowWrite is how long a write must have lasted for its connection to give way to others.
	slowWrite = cottonlanding.Second
	// refusalTimeout bounds the write of an answer to a connection that is closed.
	refusalTimeout = 5 * time.Millisecond
)

// refusal is the answer to a connection that is closed before its request was whole.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// admitter keeps the connections of a listener, and what is charged for their requests, within its limits.
type admitter struct {
	limits Limits
	clock  cottonlanding.Clock

	mu      sync.Mutex
	closed  bool
	open    map[*connection]struct{}
	charged cottonlanding.Bytes
	counts  tally
	// logged is what counts were when they were last logged.
	logged tally
}

// tally is what a listener has turned away.
type tally struct {
	// evicted counts the connections that gave way to others, refused those that were closed because all others had whole
	// requests, and refusedRequests the requests for which there was no memory.
	evicted, refused, refusedRequests int64
}

func newAdmitter(limits Limits) *admitter {
	return &admitter{limits: limits, clock: cottonlanding.NewClock(), open: make(map[*connection]struct{})}
}

// admit counts an accepted connection, for which another one may have to give way. It returns nil if it was refused.
func (a *admitter) admit(accepted net.Conn) *connection {
	now := a.clock.Now()
	c := &connection{Conn: accepted, admitter: a, since: now}
	a.mu.Lock()
	var victim *connection
	full := a.closed || len(a.open) >= a.limits.Connections
	if full && !a.closed {
		victim = a.victim(now)
	}
	if full && victim == nil {
		a.counts.refused++
		a.mu.Unlock()
		refuse(accepted)
		return nil
	}
	receiving := victim != nil && victim.receiving()
	if victim != nil {
		a.counts.evicted++
		a.remove(victim)
	}
	a.open[c] = struct{}{}
	a.mu.Unlock()
	end(victim, receiving)
	return c
}

// victim returns the connection that has to give way to a new one, nil if there is none.
func (a *admitter) victim(now cottonlanding.Millis) *connection {
	var best *connection
	for c := range a.open {
		if c.order(now) < last && (best == nil || c.before(best, now)) {
			best = c
		}
	}
	return best
}

// The order in which connections give way.
const (
	// incomplete connections have never had a whole request, or are receiving one.
	incomplete = iota
	unread
	unused
	last
)

func (c *connection) order(now cottonlanding.Millis) int {
	switch {
	case c.receiving(), c.phase == idle && !c.used:
		return incomplete
	case c.writingSince > 0 && now-c.writingSince >= slowWrite:
		return unread
	case c.phase == idle:
		return unused
	}
	return last
}

func (c *connection) receiving() bool { return c.phase == head || c.phase == body }

func (c *connection) before(other *connection, now cottonlanding.Millis) bool {
	if mine, others := c.order(now), other.order(now); mine != others {
		return mine < others
	}
	return c.since < other.since
}

// charge charges for a request. If no memory is left, the oldest requests that aren't whole give way; it returns false if
// this is the oldest, or there is no other.
func (a *admitter) charge(c *connection, amount cottonlanding.Bytes) bool {
	var victims []*connection
	a.mu.Lock()
	fits := !c.closed
	for fits && a.charged+amount > a.limits.Memory {
		victim := a.oldestCharged()
		if victim == nil || victim == c {
			fits = false
			break
		}
		a.counts.evicted++
		a.remove(victim)
		victims = append(victims, victim)
	}
	if fits {
		a.charged += amount
		c.charged += amount
	} else {
		a.counts.refusedRequests++
	}
	a.mu.Unlock()
	for _, victim := range victims {
		end(victim, true)
	}
	return fits
}

// oldestCharged returns the oldest request that isn't whole and for which something is charged.
func (a *admitter) oldestCharged() *connection {
	var oldest *connection
	for c := range a.open {
		if c.receiving() && c.charged > 0 && (oldest == nil || c.since < oldest.since) {
			oldest = c
		}
	}
	return oldest
}

// recordRead records received bytes and charges for them if they belong to a head. It returns false if no memory is left.
func (a *admitter) recordRead(c *connection, count int) bool {
	a.mu.Lock()
	if c.phase == idle {
		c.phase, c.since, c.headBytes = head, a.clock.Now(), 0
	}
	if c.phase != head {
		a.mu.Unlock()
		return true
	}
	before := max(c.headBytes, freeHead)
	c.headBytes += count
	beyond := c.headBytes - before
	a.mu.Unlock()
	return beyond <= 0 || a.charge(c, headCharge*cottonlanding.Bytes(beyond))
}

func (a *admitter) recordWriting(c *connection, writing bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.writingSince = 0
	if writing {
		c.writingSince = max(1, a.clock.Now())
	}
}

// begin records that the body of a request is being received, and returns the length of its head, which may include some
// of the body.
func (a *admitter) begin(c *connection) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.phase = body
	return c.headBytes
}

// serve records that a request is whole.
func (a *admitter) serve(c *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.phase, c.since, c.used = serving, a.clock.Now(), true
}

// rest records that a request is answered.
func (a *admitter) rest(c *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.charged -= c.charged
	c.phase, c.since, c.headBytes, c.charged = idle, a.clock.Now(), 0, 0
}

// forget stops to count a connection.
func (a *admitter) forget(c *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(c)
}

// remove is forget for callers that hold the lock.
func (a *admitter) remove(c *connection) {
	if c.closed {
		return
	}
	c.closed = true
	delete(a.open, c)
	a.charged -= c.charged
	c.charged = 0
}

// close refuses further connections, and ends those that have never had a request: the server would wait for one for
// seconds.
func (a *admitter) close() {
	var unused []*connection
	a.mu.Lock()
	a.closed = true
	for c := range a.open {
		if c.phase == idle && !c.used {
			a.remove(c)
			unused = append(unused, c)
		}
	}
	a.mu.Unlock()
	for _, c := range unused {
		end(c, false)
	}
}

// evict closes a connection whose request has to give way.
func (a *admitter) evict(c *connection) {
	a.forget(c)
	end(c, true)
}

// sweep closes connections that take too long. A connection without a request is kept for idleTimeout.
func (a *admitter) sweep(idleTimeout cottonlanding.Millis) {
	now := a.clock.Now()
	var overdue []*connection
	a.mu.Lock()
	for c := range a.open {
		if c.phase == idle && now-c.since >= idleTimeout || c.receiving() && now-c.since >= min(requestTimeout, idleTimeout) ||
			c.writingSince > 0 && now-c.writingSince >= writeTimeout {
			a.remove(c)
			overdue = append(overdue, c)
		}
	}
	counts, changed := a.counts, a.counts != a.logged
	a.logged = a.counts
	connections, charged := len(a.open), a.charged
	a.mu.Unlock()
	for _, c := range overdue {
		end(c, false)
	}
	if changed {
		a.limits.Log.Warn("clients are turned away", "Evicted", counts.evicted, "Refused", counts.refused,
			"RefusedRequests", counts.refusedRequests, "Connections", connections, "Charged", charged)
	}
}

// end closes a connection that is no longer counted, with an answer if it sends a request.
func end(c *connection, receiving bool) {
	switch {
	case c == nil:
	case receiving:
		refuse(c.Conn)
	default:
		_ = c.Conn.Close() // its client has given up or comes again
	}
}

// refuse closes a connection with an answer that says when to come back, if that can be written at once.
func refuse(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(conn, refusal)
	_ = conn.Close()
}
