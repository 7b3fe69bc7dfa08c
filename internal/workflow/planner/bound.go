package planner

import (
	"log/slog"

	"github.com/cottonlanding/cottonlanding"
)

// boundSource is what the bound of a worker's leases was computed from.
type boundSource string

// The sources of bounds, which are logged.
const (
	boundByGrant         boundSource = "Grant"         // a lease that this owner granted
	boundByEarlierOwners boundSource = "EarlierOwners" // the limit in the heartbeats of earlier owners, or their end
	boundByRow           boundSource = "Row"           // a bound that an earlier owner stored
	boundByNextLife      boundSource = "NextLife"      // leases that a next life may have adopted from calls to an earlier one
	boundByClock         boundSource = "Clock"         // the same, shown by the clock in the answer to an order
	boundByPendingStart  boundSource = "Start"         // a start without an answer that a next life may carry out
)

// bound is the latest instant at which the leases of a worker can end, or a run can go on.
type bound struct {
	until  cottonlanding.Millis
	source boundSource
	// epoch is that of the owner that computed the bound, at the instant setAt.
	epoch cottonlanding.Epoch
	setAt cottonlanding.Millis
}

// latest returns the later of two bounds.
func (b bound) latest(other bound) bound {
	if other.until > b.until {
		return other
	}
	return b
}

// attributes returns the bound as it is logged.
func (b bound) attributes(now cottonlanding.Millis) slog.Attr {
	return slog.Group("Bound", "Source", b.source, "Epoch", b.epoch, "Age", now-b.setAt, "Over", now-b.until)
}

// newBound returns a bound that this owner computes now.
func (c *Cell) newBound(until cottonlanding.Millis, source boundSource, now cottonlanding.Millis) bound {
	return bound{until, source, c.setup.Epoch, now}
}
