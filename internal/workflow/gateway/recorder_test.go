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

// recorder is a table that records from the commits which cell holds which workflow. The cells' counters don't show
// whether a workflow was accepted twice, since they include workflows that were handed over.
type recorder struct {
	cottonlanding.Table

	mu         sync.Mutex
	histories  map[cottonlanding.WorkflowID]history
	violations []string
}

// history is the sequence of cells that have held a workflow.
type history struct {
	holders []cottonlanding.Partition
	// held is true while the last of them holds it, moving after that has handed it over and before another cell has
	// accepted it.
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

// record records a write of the row that a cell has of each workflow that it holds. A cell hands the workflow over if
// the transaction also writes its referral.
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
			r.violations = append(r.violations, fmt.Sprintf("workflow %s is accepted by %s without a hand-over from the cells that held it: %v", id, cell, known.holders))
		}
		known.holders = append(known.holders, cell)
		known.held, known.moving = true, false
	}
	r.histories[id] = known
}

// history returns the cells that have held a workflow.
func (r *recorder) history(id cottonlanding.WorkflowID) history {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.histories[id]
	known.holders = slices.Clone(known.holders)
	return known
}

// inconsistencies returns the workflows that a second cell accepted without a hand-over.
func (r *recorder) inconsistencies() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}
