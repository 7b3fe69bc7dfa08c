// Package reserver computes how much room short tasks need in the next seconds, so that lasting tasks that
// have never run leave it to them.
//
// It is made for cells of which lasting tasks hold nine tenths: these keep their room for a minute and more,
// while a short task is of no use to its caller after a few seconds. If lasting tasks take each hole as it
// appears, short ones wait for longer than that, although they need less than a tenth of the room.
package reserver

import "github.com/cottonlanding/cottonlanding"

const (
	// span is the time over which the demand is averaged: short workflows arrive in bursts that are some
	// seconds apart. Its largest value in place of the mean costs lasting tasks a third more room and gains
	// nothing.
	span = 10 * cottonlanding.Second
	// buckets is the number of parts of the span.
	buckets    = 10
	bucketSpan = span / buckets
	// newestSizeWeight is the weight of the newest task in the mean size once many are known.
	newestSizeWeight = 0.02
)

// Demand is the recent demand of short tasks for room.
type Demand struct {
	buckets [buckets]bucket
	// cpu and memory are the mean size of a task, sizes is the number of tasks that it was formed of.
	cpu, memory float64
	sizes       int
}

// bucket holds the largest number of tasks that ran or waited at once in one part of the span.
type bucket struct {
	number   int64
	observed bool
	tasks    int
}

// New returns a demand of nothing.
func New() *Demand { return &Demand{} }

// Observe records how many short tasks run or wait for room.
func (d *Demand) Observe(tasks int, now cottonlanding.Millis) {
	number := int64(now / bucketSpan)
	b := &d.buckets[number%buckets]
	if b.number != number || !b.observed {
		*b = bucket{number: number, observed: true}
	}
	b.tasks = max(b.tasks, tasks)
}

// RecordSize adds a task to the mean size. Tasks that request no processors are ignored: they need no slot.
func (d *Demand) RecordSize(size cottonlanding.Resources) {
	if size.CPU <= 0 {
		return
	}
	d.sizes++
	weight := max(newestSizeWeight, 1/float64(d.sizes))
	d.cpu += weight * (float64(size.CPU) - d.cpu)
	d.memory += weight * (float64(max(size.Memory, 0)) - d.memory)
}

// HasSize reports whether the size of a task is known.
func (d *Demand) HasSize() bool { return d.sizes > 0 }

// Slots returns how many tasks of the mean size fit into the free room of one worker; zero if no size is known.
func (d *Demand) Slots(free cottonlanding.Resources) int {
	if !d.HasSize() {
		return 0
	}
	slots := float64(free.CPU) / d.cpu
	if d.memory > 0 {
		slots = min(slots, float64(free.Memory)/d.memory)
	}
	return max(0, int(slots))
}

// Needed returns how many slots short tasks need beside those that are running, going by the mean of the span. The
// current part of the span counts only where it raises the mean: its burst may be still to come.
func (d *Demand) Needed(running int, now cottonlanding.Millis) int {
	current, latest, sum, count := int64(now/bucketSpan), 0, 0, 0
	for _, b := range d.buckets {
		switch {
		case !b.observed || current-b.number >= buckets:
		case b.number == current:
			latest = b.tasks
		default:
			sum += b.tasks
			count++
		}
	}
	if latest*count >= sum {
		sum += latest
		count++
	}
	return max(0, sum/count-running)
}
