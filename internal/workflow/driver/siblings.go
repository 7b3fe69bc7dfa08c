package driver

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// learntReadInterval is how often is read what other cells have learnt of images, which they
// write down as often.
const learntReadInterval = 3 * cottonlanding.Second

// followLearnt tells the cell what other cells have learnt, again and again, from when a
// workflow of its own names an image: each cell reads the rows of all others.
func (d *Driver) followLearnt() {
	for d.ctx.Err() == nil {
		if d.usesImages() {
			d.applyLearnt(d.readLearnt())
		}
		d.sleep(learntReadInterval)
	}
}

// usesImages reports whether the cell has to weigh images.
func (d *Driver) usesImages() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cell != nil && d.cell.HasImages()
}

// readLearnt reads what other cells have learnt. Of a cell whose row can't be read nothing
// is known until the next time.
func (d *Driver) readLearnt() []cottonlanding.Row {
	var rows []cottonlanding.Row
	for _, partition := range d.deps.Siblings() {
		learnt, err := d.read(planner.LearntKey(partition))
		if err != nil {
			continue // the holder tells of a lost table
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
		d.deps.Log.Warn("what other cells have learnt is left out", "Error", err)
	}
}
