// Package reserver computes how much room short tasks need in the next seconds, so that lasting tasks that
// have never run leave it to them.
//
// It is made for cells of which lasting tasks hold nine tenths: these keep their room for a minute and more,
// while a short task is of no use to its caller after a few seconds. If lasting tasks take each hole as it
// appears, short ones wait for longer than that, although they need less than a tenth of the room.
package reserver

import "github.com/cottonlanding/cottonlanding"

const (
	// span is how long a peak of the demand is remembered: short workflows arrive in bursts that are some
	// seconds apart.
	span = 10 * cottonlanding.Second
	// buckets is the number of parts in which the span is remembered.
	buckets = 10
	// sizeWeight is the weight of the newest task in the mean size.
	sizeWeight = 0.02
)

// Demand is the recent demand of short tasks for room.
type Demand struct {
	// peaks holds the largest number of tasks that ran or waited in each part of the span.
	peaks [buckets]peak
	// cpu and memory are the mean size of a task.
	cpu, memory float64
}

type peak struct {
	index int64
	tasks int
}

// New returns a demand of nothing.
func New() *Demand { return &Demand{} }

// Observe records how many short tasks run or wait for room.
func (d *Demand) Observe(tasks int, now cottonlanding.Millis) {
	index := int64(now / (span / buckets))
	slot := &d.peaks[index%buckets]
	if slot.index != index {
		*slot = peak{index: index}
	}
	slot.tasks = max(slot.tasks, tasks)
}

// RecordSize records the resources of a task that is placed.
func (d *Demand) RecordSize(size cottonlanding.Resources) {
	if d.cpu == 0 {
		d.cpu, d.memory = float64(size.CPU), float64(size.Memory)
	}
	d.cpu += sizeWeight * (float64(size.CPU) - d.cpu)
	d.memory += sizeWeight * (float64(size.Memory) - d.memory)
}

// Slots returns how many tasks of the mean size fit into a room; zero if no size is known.
func (d *Demand) Slots(room cottonlanding.Resources) int {
	if d.cpu <= 0 {
		return 0
	}
	slots := float64(room.CPU) / d.cpu
	if d.memory > 0 {
		slots = min(slots, float64(room.Memory)/d.memory)
	}
	return max(0, int(slots))
}

// Needed returns how many slots short tasks need beside those that are running, going by the peak of the span.
func (d *Demand) Needed(running int, now cottonlanding.Millis) int {
	current, sum, n := int64(now/(span/buckets)), 0, 0
	for _, p := range d.peaks {
		if p.tasks > 0 && current-p.index < buckets {
			sum += p.tasks
			n++
		}
	}
	return max(0, sum/max(n,1)-running)
}
