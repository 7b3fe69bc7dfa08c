package gateway

import (
	"fmt"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/holder"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// holderTTL is how long an owner lasts without a beat: less than the 2 s in
	// which another should have taken over.
	holderTTL     = 1200 * cottonlanding.Millis(1)
	holderPoll    = 300 * cottonlanding.Millis(1)
	holderTimeout = 600 * cottonlanding.Millis(1)
	// holderRestPoll is the poll of hosts that leave the cells to larger ones: nine in ten
	// of a deployment of 147. An owner that falls silent is seen within three polls.
	holderRestPoll = 2 * holderPoll
	// holderDelayPerOwned is how much longer a host waits for each cell that it owns already:
	// as long as the jitter, so that hosts without a cell go first.
	holderDelayPerOwned = holderJitter
	// holderRemoteDelay is how much longer hosts of other data centres wait than those of the
	// cell's workers: longer than the jitter, shorter than the handicap of small hosts.
	holderRemoteDelay = 300 * cottonlanding.Millis(1)
	// slowHolderTTL and slowHolderTimeout are the same while the store takes slowCall
	// and more: a slow store was seen to take two seconds for a write behind another.
	slowHolderTTL     = 4 * cottonlanding.Second
	slowHolderTimeout = 2500 * cottonlanding.Millis(1)
	slowCall          = 150 * cottonlanding.Millis(1)
	// holderSmallShareDelay is how much longer a small host waits than large ones to take
	// over from a large one: all of those have tried by then, also those that saw the last beat
	// a poll later and look again a poll after their wait. slowHolderHandicap is
	// the same while the store is slow.
	holderSmallShareDelay     = 900 * cottonlanding.Millis(1)
	slowHolderSmallShareDelay = 2 * cottonlanding.Second
	// holderRestartGrace is how long the next life of a host whose process has ended has to take its cells back: its start
	// and two calls. Others need as long to take over, and leave the cells where their work was.
	holderRestartGrace = 600 * cottonlanding.Millis(1)
	// holderFirstOwnerDelay spreads hosts by size when nobody has owned anything yet, which
	// is well before traffic starts.
	holderFirstOwnerDelay = 2 * cottonlanding.Second
	// cutOffGrace is how long an owner that lost the store keeps renewing leases.
	// With a lease it covers outages of nine seconds, the longest that were seen.
	cutOffGrace = 2 * cottonlanding.Second
	// leaseExtension is by how much more than a lease the leases of an owner last after it surely owned its cell: with
	// the time to live they outlast an outage of eight seconds, and a lasting task that is lost together with its
	// owner runs again within nine.
	leaseExtension = cottonlanding.Second
	// maxPlannerLease bounds leases below what workers grant: a worker that is gone for
	// good, and its owner with it, must be given up within ten seconds or so.
	maxPlannerLease = 6 * cottonlanding.Second
	// holderJitter spreads the hosts that would take over at the same moment;
	// slowHolderJitter is the same while the store is slow: eight writes of one row
	// then take four seconds.
	holderJitter     = 250 * cottonlanding.Millis(1)
	slowHolderJitter = 2 * cottonlanding.Second
)

// HolderTiming returns the spans of ownership. With reclaim, a host takes what an earlier
// life of its own held at once.
func HolderTiming(reclaim bool) holder.Timing {
	return holder.Timing{
		Reclaim:             reclaim,
		TTL:                 holderTTL,
		SlowTTL:             slowHolderTTL,
		SlowCall:            slowCall,
		Poll:                holderPoll,
		IdlePoll:            holderRestPoll,
		DelayPerOwned:       holderDelayPerOwned,
		Remote:              holderRemoteDelay,
		Timeout:             holderTimeout,
		SlowTimeout:         slowHolderTimeout,
		Jitter:              holderJitter,
		SlowJitter:          slowHolderJitter,
		SmallShareDelay:     holderSmallShareDelay,
		SlowSmallShareDelay: slowHolderSmallShareDelay,
		FirstOwnerDelay:     holderFirstOwnerDelay,
		RestartGrace:        holderRestartGrace,
	}
}

const (
	// checkedCallTime is up to which length of the table's calls a killed owner is replaced for sure before its workers'
	// leases run out.
	checkedCallTime = 300 * cottonlanding.Millis(1)
	// killDetectionTime is how long those that watch a process take to know that it was killed.
	killDetectionTime = 150 * cottonlanding.Millis(1)
	// takeOverCalls is how many calls of the table are made one after the other from then until a new owner renews
	// leases: a look at the beats, the owner row without an owner, its news, the owner row with the new one; two
	// for the fence, two for the rows.
	takeOverCalls = 8
	// leaseRenewalDivisor is the part of a lease, as a divisor, that is used up when it is renewed.
	leaseRenewalDivisor = 4
)

// CheckTakeOverTime returns an error that names the spans if an owner that is killed while the table is slow may be replaced only
// after its workers' leases have run out, so that their lasting tasks are interrupted. It is for hosts of
// similar size; small ones that have to wait for large ones may need longer.
func CheckTakeOverTime(timing holder.Timing, lease cottonlanding.Millis) error {
	remaining := lease - lease/leaseRenewalDivisor
	waits := timing.Jitter + timing.SlowSpan(timing.Jitter, timing.SlowJitter, checkedCallTime) + 2*timing.DelayPerOwned + timing.Remote
	if needed := killDetectionTime + waits + takeOverCalls*checkedCallTime; needed > remaining {
		return fmt.Errorf("a killed owner is replaced after up to %s with calls of %s (waits %s), a lease of %s has %s left", needed, checkedCallTime, waits, lease, remaining)
	}
	return nil
}

const (
	// maxWorkersPerCell is how many workers a cell has at most, by intent: with as many, deciding
	// for all their tasks takes a third of a turn.
	maxWorkersPerCell = 250
	// workersPerCore and workersPerMegabit are how many workers' tasks an owner carries
	// with a third of its processor and of its link: one with 1,100 workers and 2.7 starts
	// a second on each was seen to use 0.57 of a core and 16 to 30 Mbit/s.
	workersPerCore    = 640
	workersPerMegabit = 12.5
)

// WorkersPerCell returns how many workers a cell should have if hosts like this one are
// to carry one each.
func WorkersPerCell(share float64, link cottonlanding.Megabits) int {
	workers := float64(maxWorkersPerCell)
	if share > 0 {
		workers = min(workers, share*workersPerCore)
	}
	if link > 0 {
		workers = min(workers, float64(link)*workersPerMegabit)
	}
	return max(1, int(workers))
}

// PlannerTiming returns the spans of the decisions, from what workers promise: the
// longest lease that they grant, how long they take to stop a run, and for how long
// the state of a final workflow can be asked for.
func PlannerTiming(lease, stopTimeout, retention cottonlanding.Millis) planner.Timing {
	return planner.Timing{
		Lease:                 min(lease, maxPlannerLease),
		MaxLease:              lease,
		CutOffGrace:           cutOffGrace,
		MaxLeasePastOwnership: min(lease, maxPlannerLease) + leaseExtension,
		StopTimeout:           stopTimeout,
		Retention:             retention,
	}
}
