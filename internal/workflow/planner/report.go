package planner

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// reportInterval is how often what is left of a cell is worked out for others: as often as
// an owner sends a beat.
const reportInterval = 300 * cottonlanding.Millis(1)

// maxReportedHoles bounds the holes of a service in a report. So many tasks may be delegated to a cell that is full
// in sum before it tells of its holes anew.
const maxReportedHoles = 8

// Report says how much of its workers a cell has left, as parts of their processors.
type Report struct {
	// Free is the part that no run holds, less what waits for room. It is negative when
	// more waits than there is room for.
	Free float64
	// Spare is the part that all runs are expected to leave unused, less what filling
	// tasks wait for.
	Spare float64
	// Lasting is the part that lasting tasks hold or wait for. It may be more than one: what is
	// left of it comes free when other tasks end.
	Lasting float64
	// Capacity is the processors of the usable workers.
	Capacity cottonlanding.Millicores
	// Largest is what the worker with the most free processors has free, by service. Owners of older
	// code don't tell it, so that nothing is delegated to them.
	Largest map[cottonlanding.ServiceName]cottonlanding.Resources `json:",omitempty"`
	// Holes is what single workers have free, by service: the largest first, at most holesTold of them.
	Holes map[cottonlanding.ServiceName][]cottonlanding.Millicores `json:",omitempty"`
}

// Report returns what is left of the cell, and false for one without usable workers.
func (c *Cell) Report(now cottonlanding.Millis) (Report, bool) {
	if c.reportedAt == 0 || now-c.reportedAt >= reportInterval {
		c.reportedAt = now
		c.report, c.reportable = c.computeReport(now)
	}
	return c.report, c.reportable
}

func (c *Cell) computeReport(now cottonlanding.Millis) (Report, bool) {
	var capacity, free, spare, lasting cottonlanding.Millicores
	largest := make(map[cottonlanding.ServiceName]cottonlanding.Resources)
	holes := make(map[cottonlanding.ServiceName][]cottonlanding.Millicores)
	for _, w := range c.sortedWorkers() {
		if !w.usable(now) {
			continue
		}
		room := c.room(w, now)
		capacity += w.info.Capacity.CPU
		free += max(room.free.CPU, 0)
		spare += max(room.spare, 0)
		lasting += w.info.Capacity.CPU - w.roomBesideLasting().CPU
		if w.held(now) || room.free.CPU <= 0 {
			continue
		}
		holes[w.info.Service] = append(holes[w.info.Service], room.free.CPU)
		if room.free.CPU > largest[w.info.Service].CPU {
			largest[w.info.Service] = room.free
		}
	}
	if capacity == 0 {
		return Report{}, false
	}
	for _, j := range c.openJobs {
		for number := range len(j.rounds) {
			for _, s := range j.rounds[number].steps {
				if !s.ready || s.finished() {
					continue
				}
				waits := cottonlanding.Millicores(s.waiting()) * s.Resources.CPU
				if s.Fills {
					spare -= waits
					continue
				}
				free -= waits
				if s.Lasting {
					lasting += waits
				}
			}
		}
	}
	return Report{
		Free:     float64(free) / float64(capacity),
		Spare:    float64(spare) / float64(capacity),
		Lasting:  float64(lasting) / float64(capacity),
		Capacity: capacity,
		Largest:  largest,
		Holes:    largestHoles(holes),
	}, true
}

// largestHoles keeps the largest holes of each service.
func largestHoles(holes map[cottonlanding.ServiceName][]cottonlanding.Millicores) map[cottonlanding.ServiceName][]cottonlanding.Millicores {
	for service, sizes := range holes {
		slices.SortFunc(sizes, func(a, b cottonlanding.Millicores) int { return cmp.Compare(b, a) })
		holes[service] = sizes[:min(len(sizes), maxReportedHoles)]
	}
	return holes
}
