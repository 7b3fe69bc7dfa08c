// Package ticker tells a duty when its next turn is due.
package ticker

import (
	"time"

	"github.com/cottonlanding/cottonlanding"
)

// Ticker marks the turns of one duty at a fixed interval. It serves one goroutine.
//
// Unlike time.Ticker it holds no timer while the duty is at work: only a timer that
// somebody waits for ever comes due. A duty that is slower than its interval has
// one turn at once for all those it missed, and then keeps to the same grid.
type Ticker struct {
	interval time.Duration
	due      time.Time
	timer    *time.Timer
	armed    bool // whether the timer runs until due, or did
}

// elapsed is the channel of a turn that is due already.
var elapsed = func() chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}()

// New returns a ticker whose first turn is due after one interval.
func New(interval cottonlanding.Millis) *Ticker {
	span := interval.Duration()
	return &Ticker{interval: span, due: time.Now().Add(span), timer: time.NewTimer(span), armed: true}
}

// Next returns a channel that can be received from once the next turn is due. It
// replaces the channel that it returned before.
func (t *Ticker) Next() <-chan time.Time {
	if t.armed && !t.timer.Stop() {
		t.due = t.due.Add(t.interval) // its time was received: that turn has begun
	}
	now := time.Now()
	wait := t.due.Sub(now)
	if t.armed = wait > 0; t.armed {
		t.timer.Reset(wait)
		return t.timer.C
	}
	missed := now.Sub(t.due)/t.interval + 1
	t.due = t.due.Add(missed * t.interval)
	return elapsed
}

// Stop ends the ticker's timer.
func (t *Ticker) Stop() { t.timer.Stop() }
