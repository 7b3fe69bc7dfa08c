package driver

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// siblingsPoll is how often is read what other cells have learnt of images, which they
// write down as often.
const siblingsPoll = 3 * cottonlanding.Second

// followSiblings tells the cell what other cells have learnt, again and again, from when a
// workflow of its own names an image: each cell reads the rows of all others.
func (d *Driver) followSiblings() {
	for d.ctx.Err() == nil {
		if d.weighs() {
			d.shareLearnt(d.readSiblings())
		}
		d.sleep(siblingsPoll)
	}
}

// weighs reports whether the cell has to weigh images.
func (d *Driver) weighs() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cell != nil && d.cell.HasImages()
}

// readSiblings reads what other cells have learnt. Of a cell whose row can't be read nothing
// is known until the next time.
func (d *Driver) readSiblings() []cottonlanding.Row {
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

func (d *Driver) shareLearnt(rows []cottonlanding.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cell == nil || len(rows) == 0 {
		return
	}
	if err := d.cell.LoadLearntByOthers(rows); err != nil {
		d.deps.Log.Warn("what other cells have learnt is left out", "Error", err)
	}
}
