package gateway_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// recorder is a table that notes which cell keeps which workflow, by what is committed. A cell
// counts each workflow that it accepts, also one that another cell has handed over to it, so that
// those counts don't tell whether a workflow was accepted twice.
type recorder struct {
	cottonlanding.Table

	mu         sync.Mutex
	histories  map[cottonlanding.WorkflowID]history
	violations []string
}

// history says which cells have kept a workflow, in order.
type history struct {
	holders []cottonlanding.Partition
	// held says that the last of them keeps it still, moving that it has handed it over to one that
	// hasn't accepted it yet.
	held, moving bool
}

func newRecorder(table cottonlanding.Table) *recorder {
	return &recorder{Table: table, histories: make(map[cottonlanding.WorkflowID]history)}
}

func (r *recorder) Commit(ctx context.Context, transaction cottonlanding.Transaction) (cottonlanding.Receipt, error) {
	receipt, err := r.Table.Commit(ctx, transaction)
	if err == nil {
		for _, write := range transaction.Writes {
			r.record(write, transaction.Writes)
		}
	}
	return receipt, err
}

// record takes in a write of the row that a cell has of each workflow that it keeps. The cell hands
// the workflow over if it writes in the same transaction where it goes.
func (r *recorder) record(write cottonlanding.Write, all []cottonlanding.Write) {
	partition, name, _ := strings.Cut(string(write.Key), ":")
	cell := cottonlanding.Partition(partition)
	id := cottonlanding.WorkflowID(name[strings.LastIndex(name, "/")+1:])
	if write.Key != planner.SpecKey(cell, id) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.histories[id]
	if write.Delete {
		known.held = false
		known.moving = slices.ContainsFunc(all, func(other cottonlanding.Write) bool {
			return other.Key == planner.ReferralKey(cell, id) && !other.Delete
		})
	} else {
		if len(known.holders) > 0 && !known.moving {
			r.violations = append(r.violations, fmt.Sprintf("workflow %s is accepted by %s, but nobody has handed it over: %v", id, cell, known.holders))
		}
		known.holders = append(known.holders, cell)
		known.held, known.moving = true, false
	}
	r.histories[id] = known
}

// history returns what is known of a workflow.
func (r *recorder) history(id cottonlanding.WorkflowID) history {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.histories[id]
	known.holders = slices.Clone(known.holders)
	return known
}

// inconsistencies returns what must never have happened.
func (r *recorder) inconsistencies() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}
