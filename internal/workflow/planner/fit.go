package planner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// maxRow is the longest row that is written, in bytes: the table takes 64 KiB, with what is put
// before the value.
const maxRow = 65_000

// encodeFitting encodes a state row so that the table takes it: an owner whose commit is
// refused loses its cell. Checkpoints for which there is no room are left out, the longest
// first, but those with which present runs are started last: a start that the next owner repeats
// must bring the same. It starts the other tasks without one if their runs don't go on.
func encodeFitting(row stateRow) []byte {
	data := encode(row)
	if excess := len(data) - maxRow; excess > 0 {
		row.leaveOut(excess)
		data = encode(row)
	}
	return data
}

// rowText is a checkpoint of a row that can be left out.
type rowText struct {
	length int
	// startsRun says that a present run is started with it.
	startsRun bool
	drop      func()
}

// texts returns the checkpoints of the row, in the order in which they are left out. A task's
// newest one goes before that with which its run is started: what stood alone would be taken
// for the latter.
func (r stateRow) texts() []rowText {
	var out []rowText
	for at := range r.Tasks {
		task := &r.Tasks[at]
		if task.Checkpoint != "" {
			out = append(out, rowText{len(encode(task.Checkpoint)), task.startsRun, func() { task.Checkpoint = "" }})
		}
		if task.ResumeFrom != nil {
			out = append(out, rowText{len(encode(task.ResumeFrom)), true, func() { task.ResumeFrom = nil }})
		}
	}
	slices.SortStableFunc(out, func(a, b rowText) int {
		return cmp.Or(cmp.Compare(asInt(a.startsRun), asInt(b.startsRun)), cmp.Compare(b.length, a.length))
	})
	return out
}

// leaveOut drops checkpoints until the row is that many bytes shorter, or has none.
func (r stateRow) leaveOut(excess int) {
	empty := len(encode(""))
	for _, text := range r.texts() {
		if excess <= 0 {
			return
		}
		text.drop()
		excess -= text.length - empty
	}
}

// encodeSpec encodes what never changes of a new workflow, or returns ErrCannotRun if the table
// takes no such row: nobody could own the cell that has it.
func encodeSpec(workflow cottonlanding.Workflow, queue cottonlanding.Queue) ([]byte, error) {
	data := encode(specRow{workflow, queue})
	if len(data) > maxRow {
		return nil, fmt.Errorf("%w: it takes %d bytes to keep, at most %d are allowed", cottonlanding.ErrCannotRun, len(data), maxRow)
	}
	return data, nil
}
