package planner

import "github.com/cottonlanding/cottonlanding"

// summaryInterval is how often the use of the workers is logged: short enough to follow a burst of a few seconds.
const summaryInterval = 2 * cottonlanding.Second

// summary is the use of the usable workers.
type summary struct {
	usable   int
	capacity cottonlanding.Millicores
	// free is the capacity that no run has reserved, spare the processor time that is expected to be unused.
	free  cottonlanding.Resources
	spare cottonlanding.Millicores
	// mixed counts the workers that serve several images.
	mixed int
	kinds [kinds]usage
	// heavyRuns counts the filling runs beside a serving task with which they form a heavy pair, heavyPaused those of
	// them whose pace is zero.
	heavyRuns, heavyPaused int
	// spread is the largest spread of the samples of a serving image.
	spread float64
}

// usage is what tasks of one kind use and how many of them wait.
type usage struct {
	runs    int
	waiting int
	// cpu is what the runs request, used what filling runs actually get.
	cpu  cottonlanding.Millicores
	used cottonlanding.Millicores
	// paused counts the filling runs whose pace is zero.
	paused int
}

// logSummary logs the use of the workers every summaryInterval.
func (c *Cell) logSummary(now cottonlanding.Millis) {
	if now-c.summaryAt < summaryInterval {
		return
	}
	c.summaryAt = now
	s := c.summarize(now)
	short, lasting, filling := s.kinds[shortTask], s.kinds[lastingTask], s.kinds[fillingTask]
	c.log.Info("use of workers", "Usable", s.usable, "Workers", len(c.workers), "CPU", int64(s.capacity),
		"FreeCPU", int64(s.free.CPU), "FreeMemory", s.free.Memory.String(), "SpareCPU", int64(s.spare), "MixedImages", s.mixed,
		"ShortRuns", short.runs, "ShortCPU", int64(short.cpu), "ShortWaiting", short.waiting, "ReservedSlots", c.reservedSlots(),
		"LastingRuns", lasting.runs, "LastingCPU", int64(lasting.cpu), "LastingWaiting", lasting.waiting,
		"FillingRuns", filling.runs, "FillingCPU", int64(filling.cpu), "FillingUsed", int64(filling.used),
		"FillingPaused", filling.paused, "FillingWaiting", filling.waiting, "HeavyRuns", s.heavyRuns, "HeavyPaused", s.heavyPaused,
		"Samples", c.counts.Samples-c.summaryCounts.Samples, "SamplesOverTarget", c.counts.SamplesOverTarget-c.summaryCounts.SamplesOverTarget,
		"OverTargetBesideHeavy", c.counts.SamplesOverTargetBesideHeavy-c.summaryCounts.SamplesOverTargetBesideHeavy, "SampleSpread", rounded(s.spread),
		"LearntQueues", c.learntQueues())
	c.summaryCounts = c.counts
}

func (c *Cell) summarize(now cottonlanding.Millis) summary {
	var out summary
	for _, w := range c.sortedWorkers() {
		if w.usable(now) {
			out.addWorker(w, c.room(w, now))
			c.summarizeHeavy(&out, w)
		}
	}
	for _, spread := range c.interference.spreads {
		out.spread = max(out.spread, spread.Value())
	}
	for _, s := range c.waitingStages(now) {
		out.kinds[kindOf(s.Step)].waiting += s.waiting()
	}
	return out
}

// summarizeHeavy adds the heavy filling runs of a worker.
func (c *Cell) summarizeHeavy(s *summary, w *worker) {
	serving, filling := w.servingAndFilling()
	for _, f := range filling {
		if c.maxWeight(f, serving) <= cottonlanding.LightWeight {
			continue
		}
		s.heavyRuns++
		if f.paceGoal == 0 {
			s.heavyPaused++
		}
	}
}

func (s *summary) addWorker(w *worker, room *room) {
	s.usable++
	s.capacity += w.info.Capacity.CPU
	s.free = s.free.Plus(room.free)
	s.spare += max(room.spare, 0)
	if len(room.slacks) > 1 {
		s.mixed++
	}
	for _, r := range w.runs.all() {
		s.kinds[kindOf(r.step)].add(r)
	}
}

func (u *usage) add(r *run) {
	u.runs++
	u.cpu += r.step.Resources.CPU
	u.used += r.used
	if r.paceGoal == 0 {
		u.paused++
	}
}
