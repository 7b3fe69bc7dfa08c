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

// leaveOut drops the longest checkpoints until the row is that many bytes shorter, or has none.
func (r stateRow) leaveOut(excess int) {
	lengths := make([]int, len(r.Tasks))
	order := make([]int, len(r.Tasks))
	for at, task := range r.Tasks {
		lengths[at] = len(encode(task.Checkpoint))
		order[at] = at
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(asInt(r.Tasks[a].startsRun), asInt(r.Tasks[b].startsRun)), cmp.Compare(lengths[b], lengths[a]))
	})
	empty := len(encode(""))
	for _, at := range order {
		if excess <= 0 {
			return
		}
		excess -= lengths[at] - empty
		r.Tasks[at].Checkpoint = ""
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
