package planner

import "github.com/cottonlanding/cottonlanding"

const (
	// rateWindow is the time over which rates are measured: several run times, and short enough to follow a change of
	// what lasting tasks leave.
	rateWindow   = 10 * cottonlanding.Second
	rateSlots    = 100
	rateSlotSpan = rateWindow / rateSlots
	// maxArrivals bounds the recorded arrivals. It is ten times what the busiest deployment has in rateWindow.
	maxArrivals = 2000
	// maxCountedEstimate bounds the estimate of a task in forecasts, so that a single absurd estimate doesn't affect
	// other workflows.
	maxCountedEstimate = cottonlanding.Minute
)

// workRate measures the rate at which a cell completes work of a kind, and that at which it accepts it.
type workRate struct {
	slots [rateSlots]rateSlot
	// saturated says that work of the kind waits for room, saturatedSince since when, and lastSaturatedAt when it last
	// did.
	saturated       bool
	saturatedSince  cottonlanding.Millis
	lastSaturatedAt cottonlanding.Millis
	// arrivals are the accepted workflows of the last rateWindow, oldest first.
	arrivals []arrival
}

// rateSlot is the work completed in a rateSlotSpan, in millicore-milliseconds.
type rateSlot struct {
	// number is the start of the slot divided by rateSlotSpan.
	number int64
	work   float64
	// saturatedTime is the part of the slot in which the cell was saturated, saturatedWork the work completed in it.
	saturatedTime cottonlanding.Millis
	saturatedWork float64
}

// arrival is an accepted workflow.
type arrival struct {
	at       cottonlanding.Millis
	work     float64
	priority int
	rank     cottonlanding.Rank
}

// countedWork returns the work of a task of the step in forecasts, in millicore-milliseconds.
func countedWork(step cottonlanding.Step) float64 {
	return float64(max(0, min(step.Estimate, maxCountedEstimate))) * float64(step.Resources.CPU)
}

func (r *workRate) slot(now cottonlanding.Millis) *rateSlot {
	number := int64(now / rateSlotSpan)
	s := &r.slots[number%rateSlots]
	if s.number != number {
		*s = rateSlot{number: number}
	}
	return s
}

// recordWork records completed work.
func (r *workRate) recordWork(work float64, now cottonlanding.Millis) {
	s := r.slot(now)
	s.work += work
	if r.saturated {
		s.saturatedWork += work
	}
}

func (r *workRate) recordArrival(a arrival) {
	if len(r.arrivals) >= maxArrivals {
		r.arrivals = r.arrivals[1:]
	}
	r.arrivals = append(r.arrivals, a)
}

// total returns the sum of the slots of the last rateWindow.
func (r *workRate) total(now cottonlanding.Millis) rateSlot {
	var sum rateSlot
	oldest := int64(now/rateSlotSpan) - rateSlots
	for _, s := range r.slots {
		if s.number > oldest {
			sum.work += s.work
			sum.saturatedTime += s.saturatedTime
			sum.saturatedWork += s.saturatedWork
		}
	}
	return sum
}

// advance records whether the cell is saturated, given the backlog, after a time during which it was as recorded
// before.
func (r *workRate) advance(backlog float64, elapsed, now cottonlanding.Millis) {
	if r.saturated {
		r.slot(now).saturatedTime += elapsed
	}
	throughput := r.total(now).work / float64(rateWindow)
	r.saturated = backlog > throughput*float64(minBacklog)
	if r.saturated {
		if r.lastSaturatedAt == 0 || now-r.lastSaturatedAt > saturationGap {
			r.saturatedSince = now
		}
		r.lastSaturatedAt = now
	}
	for len(r.arrivals) > 0 && now-r.arrivals[0].at >= rateWindow {
		r.arrivals = r.arrivals[1:]
	}
}

// perMillisecond returns the work completed in a millisecond while the cell was saturated, and whether it is known.
// When it isn't saturated it completes no more than it is given.
func (r *workRate) perMillisecond(now cottonlanding.Millis) (float64, bool) {
	sum := r.total(now)
	if sum.saturatedTime < minSaturatedTime || sum.saturatedWork <= 0 {
		return 0, false
	}
	return sum.saturatedWork / float64(sum.saturatedTime), true
}

// arrivalsBefore returns the work per millisecond of the accepted workflows that go before later ones of a priority and
// rank. Workflows of equal rank go in the order of acceptance.
func (r *workRate) arrivalsBefore(priority int, rank cottonlanding.Rank, now cottonlanding.Millis) float64 {
	sum := 0.0
	for _, a := range r.arrivals {
		if now-a.at < rateWindow && compareOrder(a.priority, a.rank, priority, rank) < 0 {
			sum += a.work
		}
	}
	return sum / float64(rateWindow)
}
