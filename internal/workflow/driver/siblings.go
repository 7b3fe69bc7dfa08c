package driver

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// learntReadInterval is how often the rows are read in which other cells store their findings about images; these are
// written as often.
const learntReadInterval = 3 * cottonlanding.Second

// followLearnt loads the findings of other cells: how much tasks of one image raise the utilization of tasks of
// another. It begins only when a workflow of this cell names an image, because each cell reads the rows of all others.
func (d *Driver) followLearnt() {
	for d.ctx.Err() == nil {
		if d.usesImages() {
			d.applyLearnt(d.readLearnt())
		}
		d.sleep(learntReadInterval)
	}
}

// usesImages reports whether the cell uses findings about images.
func (d *Driver) usesImages() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cell != nil && d.cell.HasImages()
}

// readLearnt reads the rows in which other cells store their findings. A row that can't be read is left out until the
// next time.
func (d *Driver) readLearnt() []cottonlanding.Row {
	var rows []cottonlanding.Row
	for _, partition := range d.deps.Siblings() {
		learnt, err := d.read(planner.LearntKey(partition))
		if err != nil {
			continue // package holder logs that the table can't be reached
		}
		rows = append(rows, learnt...)
	}
	return rows
}

func (d *Driver) applyLearnt(rows []cottonlanding.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cell == nil || len(rows) == 0 {
		return
	}
	if err := d.cell.LoadLearntByOthers(rows); err != nil {
		d.deps.Log.Warn("learnt image weights of other cells could not be loaded", "Error", err)
	}
}
