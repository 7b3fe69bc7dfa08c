package gateway

import (
	"fmt"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/holder"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// holderTTL is how long an ownership lasts without a heartbeat. With a poll and the jitter it stays below the 2 s
	// within which another host is to take over.
	holderTTL     = 1200 * cottonlanding.Millis(1)
	holderPoll    = 300 * cottonlanding.Millis(1)
	holderTimeout = 600 * cottonlanding.Millis(1)
	// holderIdlePoll is the poll interval of hosts that needn't be among the first to take over: those that leave the
	// cells to larger ones, nine in ten of a deployment of 147 hosts, and with several cells also their owners. Hosts
	// without a cell may poll less often (see holder.Holder.readInterval). At this interval a host detects within three
	// polls that heartbeats have stopped.
	holderIdlePoll = 2 * holderPoll
	// holderDelayPerOwned is the additional delay of a host for each cell that it owns already. It is as long as the
	// jitter, so that hosts without a cell go first.
	holderDelayPerOwned = holderJitter
	// holderRemoteDelay is the additional delay of hosts in another data centre than the cell's workers. It is longer
	// than the jitter and shorter than holderSmallShareDelay.
	holderRemoteDelay = 300 * cottonlanding.Millis(1)
	// slowHolderTTL and slowHolderTimeout apply while calls of the table take slowCall or longer. A slow table can take
	// two seconds for a write that is queued behind another.
	slowHolderTTL     = 4 * cottonlanding.Second
	slowHolderTimeout = 2500 * cottonlanding.Millis(1)
	slowCall          = 150 * cottonlanding.Millis(1)
	// holderSmallShareDelay is the additional delay of a small host before it takes over from a large one. By then all
	// large hosts have tried, also those that read the last heartbeat one poll later and read again one poll after
	// their delay. slowHolderSmallShareDelay applies while the table is slow.
	holderSmallShareDelay     = 900 * cottonlanding.Millis(1)
	slowHolderSmallShareDelay = 2 * cottonlanding.Second
	// holderRestartGrace is how long a host whose process has ended has to restart and take its cells back, with two
	// calls of the table. Another host would need as long to take over, and this way the cells don't change hosts.
	holderRestartGrace = 600 * cottonlanding.Millis(1)
	// holderFirstOwnerDelay orders hosts by size if no cell has had an owner yet. It ends well before traffic starts.
	holderFirstOwnerDelay = 2 * cottonlanding.Second
	// cutOffGrace is how long an owner that has lost the table keeps renewing leases after its ownership has ended. The
	// limit in its last heartbeat applies all the while.
	cutOffGrace = 2 * cottonlanding.Second
	// leaseExtension is how much longer than one lease leases may last after the oldest last answer of a worker that has
	// lasting tasks and no lease bound. Usually that answer is less than a second older than the last heartbeat, so that
	// leases outlast a table outage of over six seconds. A lasting task whose worker is lost runs again within nine,
	// whenever its owner is lost.
	leaseExtension = 2200 * cottonlanding.Millis(1)
	// maxPlannerLease bounds leases below what workers grant. A worker that is lost together with its owner must be given
	// up within about ten seconds.
	maxPlannerLease = 6 * cottonlanding.Second
	// maxCallDelay is how long after it was sent a call to a worker that got no answer may still be carried out (source:
	// orders that workers carry out late, in the users' list of disruptions).
	maxCallDelay = 12 * cottonlanding.Second
	// holderJitter spreads hosts that would take over at the same moment. slowHolderJitter applies while the table is
	// slow: eight writes of one row then take four seconds.
	holderJitter     = 250 * cottonlanding.Millis(1)
	slowHolderJitter = 2 * cottonlanding.Second
)

// HolderTiming returns the timing of ownership. With reclaim, a host takes back the cells of its earlier process
// without delay.
func HolderTiming(reclaim bool) holder.Timing {
	return holder.Timing{
		Reclaim:             reclaim,
		TTL:                 holderTTL,
		SlowTTL:             slowHolderTTL,
		UntimedLeases:       maxPlannerLease + cutOffGrace,
		SlowCall:            slowCall,
		Poll:                holderPoll,
		IdlePoll:            holderIdlePoll,
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
	// checkedCallTime is the longest duration of a table call at which a killed owner must be replaced before the leases
	// of its workers expire.
	checkedCallTime = 300 * cottonlanding.Millis(1)
	// killDetectionTime is how long the hosts that watch a process take to detect that it was killed.
	killDetectionTime = 150 * cottonlanding.Millis(1)
	// takeOverCalls is the number of successive table calls from then until the new owner renews leases: read the
	// heartbeats, clear the owner row, receive the update, write the owner row, two for the fence, two for the rows.
	takeOverCalls = 8
	// leaseRenewalDivisor gives the part of a lease, as a divisor, that may be used up when it is renewed.
	leaseRenewalDivisor = 4
)

// CheckTakeOverTime returns an error if an owner that is killed while the table is slow may be replaced only after the
// leases of its workers have expired, which interrupts their lasting tasks. It applies to hosts of similar size; small
// hosts that wait for large ones may take longer.
func CheckTakeOverTime(timing holder.Timing, lease cottonlanding.Millis) error {
	remaining := lease - lease/leaseRenewalDivisor
	waits := timing.Jitter + timing.SlowSpan(timing.Jitter, timing.SlowJitter, checkedCallTime) + 2*timing.DelayPerOwned + timing.Remote
	if needed := killDetectionTime + waits + takeOverCalls*checkedCallTime; needed > remaining {
		return fmt.Errorf("a killed owner is replaced after up to %s with calls of %s (waits %s), a lease of %s has %s left", needed, checkedCallTime, waits, lease, remaining)
	}
	return nil
}

const (
	// maxWorkersPerCell is the maximum number of workers of a cell. With these, the decisions for all tasks take a third
	// of the time between two decisions.
	maxWorkersPerCell = 250
	// workersPerCore and workersPerMegabit are the numbers of workers that an owner serves with a third of its CPU and
	// of its link. An owner of 1,100 workers with 2.7 starts a second on each uses 0.57 of a core and 16 to 30 Mbit/s.
	workersPerCore    = 640
	workersPerMegabit = 12.5
)

// WorkersPerCell returns the number of workers that a cell should have so that a host like this one can own one cell.
// Share is in cores; a share or link of 0 sets no limit.
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

// PlannerTiming returns the timing of decisions. Lease is the longest lease that workers accept, stopTimeout the
// longest that they take to stop a run, and retention how long the state of a final workflow must be available.
func PlannerTiming(lease, stopTimeout, retention cottonlanding.Millis) planner.Timing {
	return planner.Timing{
		Lease:              min(lease, maxPlannerLease),
		MaxLease:           lease,
		MaxCallDelay:       maxCallDelay,
		CutOffGrace:        cutOffGrace,
		MaxLeasePastAnswer: min(lease, maxPlannerLease) + leaseExtension,
		StopTimeout:        stopTimeout,
		Retention:          retention,
	}
}
