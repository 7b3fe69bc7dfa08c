package holder

import (
	"encoding/json"

	"github.com/cottonlanding/cottonlanding"
)

// Member is a process that can own cells.
type Member struct {
	ID      cottonlanding.SessionID
	Address cottonlanding.Address
	// Share is the part of a core that the process has for the work.
	Share float64 `json:",omitempty"`
}

// Owner is the value of the owner row.
type Owner struct {
	// Member has no id after a release, but still the share of who released.
	Member
	Epoch cottonlanding.Epoch
	// Remaining is, in a row without an owner, for how long after it was written the owner before may
	// still believe in itself.
	Remaining cottonlanding.Millis `json:",omitempty"`
}

// View is what one member knows of a cell's owner.
type View struct {
	Owner Owner
	// Version is that of the owner row.
	Version cottonlanding.Version
	// Read is when this was last confirmed.
	Read cottonlanding.Millis
	// BeatAge is for how long the owner's beat row stood still by then, as far as
	// this member has seen.
	BeatAge cottonlanding.Millis
	// BeforeUntil is, in an owner's own view, the instant by which the owner before
	// it surely knew that it had ended.
	BeforeUntil cottonlanding.Millis
	// Report is what the owner told of its cell with its last beat; others read it up
	// to a poll later.
	Report []byte
}

// Beat is the value of the beat row.
type Beat struct {
	// TTL is how long the owner lasts without another beat.
	TTL cottonlanding.Millis
	// Report is what the owner tells of its cell.
	Report json.RawMessage `json:",omitempty"`
}

// Timing holds the spans of a holder.
type Timing struct {
	// TTL is how long an owner lasts without a beat.
	TTL cottonlanding.Millis
	// SlowTTL is the same while the table is slow, from calls of SlowCall on.
	SlowTTL  cottonlanding.Millis
	SlowCall cottonlanding.Millis
	// Poll is the time between two reads, or beats of the owner.
	Poll cottonlanding.Millis
	// RestPoll is the time between two reads of a member that leaves the cell to larger
	// ones, while the owner is alive.
	RestPoll cottonlanding.Millis
	// DelayPerOwned is how much longer a member waits before it takes a cell for each one
	// that it owns already, so that others go first.
	DelayPerOwned cottonlanding.Millis
	// Remote is how much longer a member waits that is in another data centre than the
	// cell's workers, so that others go first.
	Remote cottonlanding.Millis
	// Jitter is over how long the take-overs of members are spread, SlowJitter the
	// same while the table is slow.
	Jitter     cottonlanding.Millis
	SlowJitter cottonlanding.Millis
	// SmallShareDelay is how much longer a member waits than others before it takes over
	// from one with a larger share, so that others with a large share go first.
	// SlowHandicap is the same while the table is slow.
	SmallShareDelay     cottonlanding.Millis
	SlowSmallShareDelay cottonlanding.Millis
	// RestartGrace is how long the next life of a process that has ended has to take back its cells before others
	// do. A slow table leaves no time for that.
	RestartGrace cottonlanding.Millis
	// Reclaim says that a member takes over at once from an owner at its own address: only
	// one process can have that, so that the owner has ended.
	Reclaim bool
	// FirstOwnerDelay is how long a member without a share of a core waits before it
	// becomes the first owner ever, one with half a core half as long, and so on.
	FirstOwnerDelay cottonlanding.Millis
	// Timeout bounds one call of the table, SlowTimeout the same while it is slow.
	Timeout     cottonlanding.Millis
	SlowTimeout cottonlanding.Millis
}

// slowCallFactor is by how many calls of a slow table the waits are longer than usual.
const slowCallFactor = 2

// SlowSpan returns a wait while calls of the table take a given time: longer than the usual one by some calls from
// SlowCall on, up to the one for a table as slow as was ever seen.
func (t Timing) SlowSpan(usual, slowest, call cottonlanding.Millis) cottonlanding.Millis {
	if call < t.SlowCall {
		return usual
	}
	return min(slowest, usual+slowCallFactor*call)
}
