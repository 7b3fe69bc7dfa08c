package cottonlanding

// Bounds of what clients, workers and operators declare. A figure beyond its bound counts as the bound, so that sums and
// products of declared figures stay within their types. Go leaves the result of converting a float that is out of range
// to the processor, and an overflow changes the sign. An estimate beyond MaxEstimate counts as none: as a bound it would
// keep its workflow in time for days, before all those that are late.
const (
	MaxEstimate                          = 24 * 60 * Minute
	MaxDeclaredTime                      = 365 * 24 * 60 * Minute
	MaxDeclaredCPU          Millicores   = 1_000_000 * Core
	MaxDeclaredMemory                    = 100_000 * Gigabyte
	MaxDeclaredAccelerators Accelerators = 1_000_000
)

// Bounded returns the resources with each field at most its bound. Negative ones are refused elsewhere.
func (r Resources) Bounded() Resources {
	return Resources{
		CPU:          min(r.CPU, MaxDeclaredCPU),
		Memory:       min(r.Memory, MaxDeclaredMemory),
		Accelerators: min(r.Accelerators, MaxDeclaredAccelerators),
	}
}

// Bounded returns the duration, at least zero and at most MaxDeclaredTime.
func (m Millis) Bounded() Millis { return min(max(m, 0), MaxDeclaredTime) }

// Bounded returns the workflow with the declared figures of its steps within their bounds.
func (w Workflow) Bounded() Workflow {
	steps := make([]Step, len(w.Steps))
	for at, step := range w.Steps {
		step.Resources = step.Resources.Bounded()
		if step.Estimate < 0 || step.Estimate > MaxEstimate {
			step.Estimate = 0
		}
		step.LatencyTarget = step.LatencyTarget.Bounded()
		steps[at] = step
	}
	w.Steps = steps
	return w
}

// maxInstant bounds instants of schedules, in milliseconds since 1970.
const maxInstant = 1 << 62

// Due returns when a round is due, in milliseconds since 1970.
func (s Schedule) Due(round int) int64 {
	interval, first := max(int64(s.Interval), 0), min(max(s.First, 0), maxInstant)
	if round > 0 && interval > (maxInstant-first)/int64(round) {
		return maxInstant
	}
	return first + int64(round)*interval
}

// Bounded returns the queue with its figures within their bounds.
func (q Queue) Bounded() Queue {
	q.Stretch = min(max(q.Stretch, 0), maxStretch)
	q.LatencyTarget = q.LatencyTarget.Bounded()
	return q
}

// maxStretch keeps the product with a chain of estimates of 64 steps exact.
const maxStretch = 1000
