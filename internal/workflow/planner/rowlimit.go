package planner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// maxRowBytes is the longest row that is written, in bytes: the table takes 64 KiB, with what is put
// before the value.
const maxRowBytes = 65_000

// encodeWithinLimit encodes a state row so that the table takes it: an owner whose commit is
// refused loses its cell. Checkpoints for which there is no room are left out, the longest
// first, but those with which present runs are started last: a start that the next owner repeats
// must bring the same. It starts the other tasks without one if their runs don't go on.
func encodeWithinLimit(row stateRow) []byte {
	data := encode(row)
	if excess := len(data) - maxRowBytes; excess > 0 {
		row.dropCheckpoints(excess)
		data = encode(row)
	}
	return data
}

// droppableCheckpoint is a checkpoint of a row that can be left out.
type droppableCheckpoint struct {
	length int
	// startsRun says that a present run is started with it.
	startsRun bool
	drop      func()
}

// droppableCheckpoints returns the checkpoints of the row, in the order in which they are left out. A task's
// newest one goes before that with which its run is started: what stood alone would be taken
// for the latter.
func (r stateRow) droppableCheckpoints() []droppableCheckpoint {
	var out []droppableCheckpoint
	for at := range r.Tasks {
		task := &r.Tasks[at]
		if task.Checkpoint != "" {
			out = append(out, droppableCheckpoint{len(encode(task.Checkpoint)), task.startsRun, func() { task.Checkpoint = "" }})
		}
		if task.ResumeFrom != nil {
			out = append(out, droppableCheckpoint{len(encode(task.ResumeFrom)), true, func() { task.ResumeFrom = nil }})
		}
	}
	slices.SortStableFunc(out, func(a, b droppableCheckpoint) int {
		return cmp.Or(cmp.Compare(asInt(a.startsRun), asInt(b.startsRun)), cmp.Compare(b.length, a.length))
	})
	return out
}

// dropCheckpoints drops checkpoints until the row is that many bytes shorter, or has none.
func (r stateRow) dropCheckpoints(excess int) {
	empty := len(encode(""))
	for _, text := range r.droppableCheckpoints() {
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
	if len(data) > maxRowBytes {
		return nil, fmt.Errorf("%w: it takes %d bytes to keep, at most %d are allowed", cottonlanding.ErrCannotRun, len(data), maxRowBytes)
	}
	return data, nil
}
