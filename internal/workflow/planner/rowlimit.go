package planner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// maxRowBytes is the longest row value that is written. The table takes 64 KiB including a prefix of the value.
const maxRowBytes = 65_000

// encodeWithinLimit encodes a state row that the table accepts, since an owner whose commit is refused loses its
// cell. It drops checkpoints that don't fit, the longest first and those that current runs are started with last: a
// start that the next owner repeats must carry the same checkpoint. Tasks whose checkpoint is dropped and whose
// runs don't continue start without one.
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
	// startsRun says that a current run is started with the checkpoint.
	startsRun bool
	drop      func()
}

// droppableCheckpoints returns the checkpoints of the row in the order in which they are dropped. A task's newest
// checkpoint goes before the one that its run is started with: if only the newest were left, it would be read as
// the latter.
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

// dropCheckpoints drops checkpoints until the row is excess bytes shorter or has none left.
func (r stateRow) dropCheckpoints(excess int) {
	empty := len(encode(""))
	for _, droppable := range r.droppableCheckpoints() {
		if excess <= 0 {
			return
		}
		droppable.drop()
		excess -= droppable.length - empty
	}
}

// encodeSpec encodes the immutable part of a new workflow. It returns ErrCannotRun if the table would refuse the
// row, since no owner could keep a cell with it.
func encodeSpec(workflow cottonlanding.Workflow, queue cottonlanding.Queue) ([]byte, error) {
	data := encode(specRow{workflow, queue})
	if len(data) > maxRowBytes {
		return nil, fmt.Errorf("%w: it takes %d bytes to keep, at most %d are allowed", cottonlanding.ErrCannotRun, len(data), maxRowBytes)
	}
	return data, nil
}
