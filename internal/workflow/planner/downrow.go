package planner

import (
	"maps"

	"github.com/cottonlanding/cottonlanding"
)

// How long a lasting task has been down decides what it may be kept waiting for. The instants are written with the
// lease bounds, so that a new owner does not count from its own start.

const (
	// downRecordDelay is how long a task is down before that is written: most tasks run again earlier.
	downRecordDelay = 2 * cottonlanding.Second
	// maxDownRecords bounds the tasks that are written.
	maxDownRecords = 100
	// downCheckInterval is how often the tasks that are down are determined.
	downCheckInterval = 250 * cottonlanding.Millis(1)
)

// downInstants maps tasks to the instants at which they went down, by the table's clock.
type downInstants map[string]cottonlanding.TableInstant

// downRecord is the part of the row of lease bounds on tasks that are down, as of task.downSince.
type downRecord struct {
	// stored is in the row, planned is in the plan in flight, required was computed at computedAt.
	stored, planned, required downInstants
	computedAt                cottonlanding.Millis
}

// requiredDownRecord returns when tasks went down, as the row should hold it.
func (c *Cell) requiredDownRecord(now cottonlanding.Millis) downInstants {
	d := &c.bounds.down
	if d.computedAt > 0 && now-d.computedAt < downCheckInterval {
		return d.required
	}
	d.computedAt, d.required = now, make(downInstants)
	if c.bounds.clock == nil {
		return d.required
	}
	for _, j := range c.openJobs {
		if !j.hasLasting {
			continue
		}
		j.eachTask(func(t *task) {
			if t.downFor(now) < downRecordDelay || len(d.required) >= maxDownRecords {
				return
			}
			name := t.ref.String()
			if instant, stored := d.stored[name]; stored {
				d.required[name] = instant
				return
			}
			d.required[name] = c.bounds.clock.Latest(t.downSince())
		})
	}
	return d.required
}

// inheritSilentSince backdates the downtime of lasting tasks on a worker that has been silent since about the given
// instant at the latest: they may be down since then.
func (c *Cell) inheritSilentSince(w *worker, since cottonlanding.Millis) {
	for _, r := range w.runs.all() {
		if t := r.task; t != nil && t.run == r && t.stage.Lasting && since < t.downSince() {
			t.lastRunningAt = max(1, since)
		}
	}
}

// inheritUnboundedSilence backdates the downtime of lasting tasks on workers that have not answered this owner and whose
// bounds are written for the first time: they may have been silent since the last answer that earlier owners' leases
// were limited by.
func (c *Cell) inheritUnboundedSilence(required map[cottonlanding.WorkerID]cottonlanding.TableInstant) {
	if c.setup.EarlierLeasesEnd == 0 || c.timing.MaxLeasePastAnswer == 0 {
		return
	}
	for id := range required {
		w := c.workers[id]
		if _, stored := c.bounds.stored[id]; !stored && w.lastAnswerAt == 0 {
			c.inheritSilentSince(w, c.setup.EarlierLeasesEnd-c.timing.MaxLeasePastAnswer)
		}
	}
}

// downFor returns how long a lasting task that has run is down, or may be because its worker is silent. It is zero
// for a task that runs or never ran.
func (t *task) downFor(now cottonlanding.Millis) cottonlanding.Millis {
	waits := t.state == taskWaiting || t.run != nil && (t.run.phase < started || t.run.worker.pollFailed)
	if !waits || !t.stage.Lasting || t.stage.Fills || t.number == 0 {
		return 0
	}
	return now - t.downSince()
}

// downRecordChanged reports whether the row has to hold other instants than it does.
func (c *Cell) downRecordChanged(now cottonlanding.Millis) bool {
	return !maps.Equal(c.requiredDownRecord(now), c.bounds.down.stored)
}

// loadDownRecord loads when tasks went down. The first poll corrects that of a task that runs all the same.
func (c *Cell) loadDownRecord(instants downInstants, now cottonlanding.Millis) {
	for name, instant := range instants {
		ref, err := cottonlanding.ParseTaskRef(name)
		if err != nil || c.jobs[ref.Workflow] == nil {
			continue
		}
		t := c.jobs[ref.Workflow].task(ref)
		if t == nil || !t.stage.Lasting {
			continue
		}
		span := max(0, cottonlanding.Millis(c.bounds.clock.Latest(now)-instant))
		t.lastRunningAt = max(1, now-span)
	}
}
