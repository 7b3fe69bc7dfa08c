package planner

import (
	"maps"

	"github.com/cottonlanding/cottonlanding"
)

// Since when a lasting task is down decides what it may be kept waiting for. It is written with the
// bounds of leases, so that a new owner doesn't count from its own beginning.

const (
	// downToldAfter is how long a task is down before that is written: most run again before.
	downToldAfter = 2 * cottonlanding.Second
	// mostDownTold bounds the tasks that are written.
	mostDownTold = 100
	// downEvery is how often it is worked out which tasks are down.
	downEvery = 250 * cottonlanding.Millis(1)
)

// downSpans holds since when tasks are down, by the table's clock.
type downSpans map[string]cottonlanding.TableInstant

// downRow is what of the row tells of tasks that are down.
type downRow struct {
	// kept is what is written, planned what is in the plan under way, wanted what was worked out at wantedAt.
	kept, planned, wanted downSpans
	wantedAt              cottonlanding.Millis
}

// downWanted returns since when tasks are down, as it should be written.
func (c *Cell) downWanted(now cottonlanding.Millis) downSpans {
	d := &c.bounds.down
	if d.wantedAt > 0 && now-d.wantedAt < downEvery {
		return d.wanted
	}
	d.wantedAt, d.wanted = now, make(downSpans)
	if c.bounds.clock == nil {
		return d.wanted
	}
	for _, j := range c.openJobs {
		if !j.hasLasting {
			continue
		}
		j.eachTask(func(t *task) {
			if t.missedFor(now) < downToldAfter || len(d.wanted) >= mostDownTold {
				return
			}
			name := t.ref.String()
			if shown, kept := d.kept[name]; kept {
				d.wanted[name] = shown
				return
			}
			d.wanted[name] = c.bounds.clock.Latest(t.downSince())
		})
	}
	return d.wanted
}

// inheritSilence takes over since when a worker is silent about at least: its lasting tasks may be down since then.
func (c *Cell) inheritSilence(w *worker, since cottonlanding.Millis) {
	for _, r := range w.runs.all() {
		if t := r.task; t != nil && t.run == r && t.stage.Lasting && since < t.downSince() {
			t.lastRunningAt = max(1, since)
		}
	}
}

// missedFor returns for how long a lasting task that has run is down, or may be since its worker is silent. It is zero for
// one that runs or never did.
func (t *task) missedFor(now cottonlanding.Millis) cottonlanding.Millis {
	waits := t.state == taskWaiting || t.run != nil && (t.run.phase < started || t.run.worker.pollFailed)
	if !waits || !t.stage.Lasting || t.stage.Fills || t.number == 0 {
		return 0
	}
	return now - t.downSince()
}

// downDue reports whether what is written of tasks that are down has changed.
func (c *Cell) downDue(now cottonlanding.Millis) bool {
	return !maps.Equal(c.downWanted(now), c.bounds.down.kept)
}

// inheritDown takes over since when tasks are down. One that runs all the same is seen to by the first look.
func (c *Cell) inheritDown(spans downSpans, now cottonlanding.Millis) {
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
