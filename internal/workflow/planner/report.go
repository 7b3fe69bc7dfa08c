package planner

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// reportInterval is how often the report for other cells is recomputed, which is as often as an owner writes its beat.
const reportInterval = 300 * cottonlanding.Millis(1)

// maxReportedHoles bounds the holes that a report lists for each service. As many tasks may be delegated to a cell that
// is full in total before it reports its holes again.
const maxReportedHoles = 8

// Report describes the capacity that a cell has left, as fractions of the processors of its usable workers.
type Report struct {
	// Free is the fraction that no run has reserved, less what waiting tasks need. It is negative when they need more
	// than there is.
	Free float64
	// Spare is the fraction that all runs are expected to leave unused, less what waiting filling tasks need.
	Spare float64
	// Lasting is the fraction that lasting tasks use or wait for, which may exceed one. The rest becomes free as other
	// tasks end.
	Lasting float64
	// Capacity is the total of the processors of the usable workers.
	Capacity cottonlanding.Millicores
	// Largest holds, by service, the free resources of the worker with the most free processors. Owners of older
	// versions omit it, and nothing is delegated to them.
	Largest map[cottonlanding.ServiceName]cottonlanding.Resources `json:",omitempty"`
	// Holes holds, by service, the free processors of single workers, largest first, at most maxReportedHoles of them.
	Holes map[cottonlanding.ServiceName][]cottonlanding.Millicores `json:",omitempty"`
}

// Report returns the capacity left in the cell, and false if it has no usable workers.
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
