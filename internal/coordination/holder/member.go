package holder

import (
	"encoding/json"

	"github.com/cottonlanding/cottonlanding"
)

// EpochSpan is how many epochs an owner takes, so that it can supersede its own earlier calls. Owners of older code
// take one, the next after the last.
const EpochSpan cottonlanding.Epoch = 1_000_000

// Member is a process that can own cells.
type Member struct {
	ID      cottonlanding.SessionID
	Address cottonlanding.Address
	// Share is the processor time that the process has for cells, in cores.
	Share float64 `json:",omitempty"`
}

// Owner is the value of the owner row.
type Owner struct {
	// Member has no id while the cell has no owner; members with about its Share or more then take
	// over first.
	Member
	// Epoch is the last of the EpochSpan epochs that the owner may use, which are above those of all earlier owners.
	Epoch cottonlanding.Epoch
	// Remaining is set in a row without an owner: for how long after the row was written the
	// previous owner may still act as the owner.
	Remaining cottonlanding.Millis `json:",omitempty"`
}

// FirstEpoch returns the first epoch that the owner may use.
func (o Owner) FirstEpoch() cottonlanding.Epoch { return o.Epoch - EpochSpan + 1 }

// View is what one member knows of a cell's owner.
type View struct {
	Owner Owner
	// Version is the version of the owner row.
	Version cottonlanding.Version
	// Read is when the view was last confirmed.
	Read cottonlanding.Millis
	// BeatAge is how long the owner's beat row had been unchanged at Read, as far as this member
	// has seen.
	BeatAge cottonlanding.Millis
	// BeforeUntil is set in the owner's own view: the instant by which the previous ownership had
	// expired in the previous owner's view, at the latest.
	BeforeUntil cottonlanding.Millis
	// EarlierLeasesEnd is set in the owner's own view: the instant by which the leases of all earlier
	// owners end, by their own clocks, at the latest. It is zero if there are none, or if it isn't known.
	EarlierLeasesEnd cottonlanding.Millis
	// Report is the owner's report of its cell from its last beat; other members see it up to a
	// poll later.
	Report []byte
}

// Beat is the value of the beat row.
type Beat struct {
	// TTL is how long the ownership lasts without another beat.
	TTL cottonlanding.Millis
	// Report is the owner's report of its cell.
	Report json.RawMessage `json:",omitempty"`
	// LeasesSince and LeaseSpan say when all leases have ended that earlier owners have granted and that
	// the owner grants before it has written another beat: LeaseSpan after an instant of the table's
	// clock. They are zero if the owner doesn't say, like those of older code.
	LeasesSince cottonlanding.TableInstant `json:",omitempty"`
	LeaseSpan   cottonlanding.Millis       `json:",omitempty"`
}

// Timing holds the intervals, delays and limits of a Holder.
type Timing struct {
	// TTL is how long an ownership lasts without a beat.
	TTL cottonlanding.Millis
	// SlowTTL replaces TTL while the table is slow, that is, while calls take SlowCall or more.
	SlowTTL cottonlanding.Millis
	// UntimedLeases is how long leases last at most after the ownership of an owner whose beats don't
	// say when they end, zero if that isn't known.
	UntimedLeases cottonlanding.Millis
	SlowCall      cottonlanding.Millis
	// Poll is the time between two reads, or between two beats of the owner.
	Poll cottonlanding.Millis
	// IdlePoll is the time between two reads of a member that leaves the cell to larger
	// ones or owns other cells, while the owner is alive.
	IdlePoll cottonlanding.Millis
	// DelayPerOwned is added to a member's take-over delay for each cell that it owns, so that
	// members with fewer cells go first.
	DelayPerOwned cottonlanding.Millis
	// Remote is added to the take-over delay of a member in another data centre than the cell's
	// workers, so that members in the same one go first.
	Remote cottonlanding.Millis
	// Jitter is the span over which the take-overs of members are spread; SlowJitter replaces it
	// while the table is slow.
	Jitter     cottonlanding.Millis
	SlowJitter cottonlanding.Millis
	// SmallShareDelay is added to the take-over delay of a member with a much smaller share than
	// the previous owner, so that members with a large share go first. SlowSmallShareDelay replaces
	// it while the table is slow.
	SmallShareDelay     cottonlanding.Millis
	SlowSmallShareDelay cottonlanding.Millis
	// RestartGrace is how long an ended process has to restart and reclaim its cells before other
	// members take them. It doesn't apply while the table is slow, which leaves no time for it.
	RestartGrace cottonlanding.Millis
	// Reclaim makes a member take over at once from an owner with its own address: only one
	// process can have the address, so the owner has ended.
	Reclaim bool
	// FirstOwnerDelay is the delay before a member with a share of zero becomes the first owner of
	// a cell; it decreases linearly to zero at a share of one core.
	FirstOwnerDelay cottonlanding.Millis
	// Timeout bounds one call of the table; SlowTimeout replaces it while the table is slow.
	Timeout     cottonlanding.Millis
	SlowTimeout cottonlanding.Millis
}

// MaxTakeOver returns how long after its end an owner is replaced at the latest while the table isn't slow:
// a poll until its last beat is seen, the time to live with the margin, the jitter, and another poll.
func (t Timing) MaxTakeOver() cottonlanding.Millis {
	return t.TTL + t.TTL/driftMarginDivisor + t.Jitter + 2*t.Poll
}

// slowCallFactor is the number of calls by whose duration a delay grows while the table is slow.
const slowCallFactor = 2

// SlowSpan returns the delay to use while calls of the table take the time call: usual below SlowCall,
// and from there on usual plus slowCallFactor calls, at most slowest, the delay for the slowest table
// to be expected.
func (t Timing) SlowSpan(usual, slowest, call cottonlanding.Millis) cottonlanding.Millis {
	if call < t.SlowCall {
		return usual
	}
	return min(slowest, usual+slowCallFactor*call)
}
