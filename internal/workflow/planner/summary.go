package planner

import "github.com/cottonlanding/cottonlanding"

// summaryEvery is how often the use of the workers is logged: often enough to
// follow a burst, and one line a second at most.
const summaryEvery = 2 * cottonlanding.Second

// kind tells apart what a task asks of its worker.
type kind int

const (
	// shortTask ends by itself and has room reserved for it.
	shortTask kind = iota
	// lastingTask runs until its workflow is cancelled.
	lastingTask
	// fillingTask takes the processors that others leave.
	fillingTask
	kinds
)

func kindOf(step cottonlanding.Step) kind {
	switch {
	case step.Fills:
		return fillingTask
	case step.Lasting:
		return lastingTask
	}
	return shortTask
}

// usage sums up what one kind of task holds and waits for.
type usage struct {
	runs    int
	waiting int
	// cpu is what its runs ask for, used what filling ones really get.
	cpu    cottonlanding.Millicores
	used   cottonlanding.Millicores
	paused int
}

// logSummary tells how the workers are used, from time to time.
func (c *Cell) logSummary(now cottonlanding.Millis) {
	if now-c.summaryAt < summaryEvery {
		return
	}
	c.summaryAt = now
	var by [kinds]usage
	var capacity, spare cottonlanding.Millicores
	var free cottonlanding.Resources
	usable, mixed := 0, 0
	for _, w := range c.sortedWorkers() {
		if !w.usable(now) {
			continue
		}
		usable++
		room := c.room(w, now)
		capacity += w.info.Capacity.CPU
		spare += max(room.spare, 0)
		free = free.Plus(room.free)
		if len(room.slacks) > 1 {
			mixed++
		}
		for _, r := range w.runs.all() {
			by[kindOf(r.step)].add(r)
		}
	}
	for _, s := range c.waitingStages(now) {
		for _, t := range s.tasks {
			if t.state == taskWaiting {
				by[kindOf(s.Step)].waiting++
			}
		}
	}
	short, lasting, filling := by[shortTask], by[lastingTask], by[fillingTask]
	c.log.Info("use of workers", "Usable", usable, "Workers", len(c.workers), "CPU", int64(capacity),
		"FreeCPU", int64(free.CPU), "FreeMemory", free.Memory.String(), "SpareCPU", int64(spare), "MixedImages", mixed,
		"ShortRuns", short.runs, "ShortCPU", int64(short.cpu), "ShortWaiting", short.waiting,
		"LastingRuns", lasting.runs, "LastingCPU", int64(lasting.cpu), "LastingWaiting", lasting.waiting,
		"FillingRuns", filling.runs, "FillingCPU", int64(filling.cpu), "FillingUsed", int64(filling.used),
		"FillingPaused", filling.paused, "FillingWaiting", filling.waiting)
}

func (u *usage) add(r *run) {
	u.runs++
	u.cpu += r.step.Resources.CPU
	u.used += r.used
	if r.paceGoal == 0 {
		u.paused++
	}
}
