package planner

import (
	"maps"

	"github.com/cottonlanding/cottonlanding"
)

// Since when a lasting task is down decides what it may be kept waiting for. It is written with the
// bounds of leases, so that a new owner doesn't count from its own beginning.

const (
	// downRecordDelay is how long a task is down before that is written: most run again before.
	downRecordDelay = 2 * cottonlanding.Second
	// maxDownRecords bounds the tasks that are written.
	maxDownRecords = 100
	// downCheckInterval is how often it is worked out which tasks are down.
	downCheckInterval = 250 * cottonlanding.Millis(1)
)

// downInstants holds since when tasks are down, by the table's clock.
type downInstants map[string]cottonlanding.TableInstant

// downRecord is what of the row tells of tasks that are down.
type downRecord struct {
	// stored is what is written, planned what is in the plan under way, required what was worked out at wantedAt.
	stored, planned, required downInstants
	computedAt                cottonlanding.Millis
}

// requiredDownRecord returns since when tasks are down, as it should be written.
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
			if shown, stored := d.stored[name]; stored {
				d.required[name] = shown
				return
			}
			d.required[name] = c.bounds.clock.Latest(t.downSince())
		})
	}
	return d.required
}

// inheritSilentSince takes over since when a worker is silent about at least: its lasting tasks may be down since then.
func (c *Cell) inheritSilentSince(w *worker, since cottonlanding.Millis) {
	for _, r := range w.runs.all() {
		if t := r.task; t != nil && t.run == r && t.stage.Lasting && since < t.downSince() {
			t.lastRunningAt = max(1, since)
		}
	}
}

// downFor returns for how long a lasting task that has run is down, or may be since its worker is silent. It is zero for
// one that runs or never did.
func (t *task) downFor(now cottonlanding.Millis) cottonlanding.Millis {
	waits := t.state == taskWaiting || t.run != nil && (t.run.phase < started || t.run.worker.pollFailed)
	if !waits || !t.stage.Lasting || t.stage.Fills || t.number == 0 {
		return 0
	}
	return now - t.downSince()
}

// downRecordChanged reports whether what is written of tasks that are down has changed.
func (c *Cell) downRecordChanged(now cottonlanding.Millis) bool {
	return !maps.Equal(c.requiredDownRecord(now), c.bounds.down.stored)
}

// loadDownRecord takes over since when tasks are down. One that runs all the same is seen to by the first look.
func (c *Cell) loadDownRecord(spans downInstants, now cottonlanding.Millis) {
	for name, shown := range spans {
		ref, err := cottonlanding.ParseTaskRef(name)
		if err != nil || c.jobs[ref.Workflow] == nil {
			continue
		}
		t := c.jobs[ref.Workflow].task(ref)
		if t == nil || !t.stage.Lasting {
			continue
		}
		span := max(0, cottonlanding.Millis(c.bounds.clock.Latest(now)-shown))
		t.lastRunningAt = max(1, now-span)
	}
}
