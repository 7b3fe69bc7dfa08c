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

// ledger is a table that notes which cell keeps which workflow, by what is committed. A cell
// counts each workflow that it accepts, also one that another cell has handed over to it, so that
// those counts don't tell whether a workflow was accepted twice.
type ledger struct {
	cottonlanding.Table

	mu         sync.Mutex
	accounts   map[cottonlanding.WorkflowID]account
	violations []string
}

// account says which cells have kept a workflow, in order.
type account struct {
	keepers []cottonlanding.Partition
	// kept says that the last of them keeps it still, moving that it has handed it over to one that
	// hasn't accepted it yet.
	kept, moving bool
}

func newLedger(table cottonlanding.Table) *ledger {
	return &ledger{Table: table, accounts: make(map[cottonlanding.WorkflowID]account)}
}

func (l *ledger) Commit(ctx context.Context, transaction cottonlanding.Transaction) (cottonlanding.Receipt, error) {
	receipt, err := l.Table.Commit(ctx, transaction)
	if err == nil {
		for _, write := range transaction.Writes {
			l.note(write, transaction.Writes)
		}
	}
	return receipt, err
}

// note takes in a write of the row that a cell has of each workflow that it keeps. The cell hands
// the workflow over if it writes in the same transaction where it goes.
func (l *ledger) note(write cottonlanding.Write, all []cottonlanding.Write) {
	partition, name, _ := strings.Cut(string(write.Key), ":")
	cell := cottonlanding.Partition(partition)
	id := cottonlanding.WorkflowID(name[strings.LastIndex(name, "/")+1:])
	if write.Key != planner.SpecKey(cell, id) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.accounts[id]
	if write.Delete {
		known.kept = false
		known.moving = slices.ContainsFunc(all, func(other cottonlanding.Write) bool {
			return other.Key == planner.ReferralKey(cell, id) && !other.Delete
		})
	} else {
		if len(known.keepers) > 0 && !known.moving {
			l.violations = append(l.violations, fmt.Sprintf("workflow %s is accepted by %s, but nobody has handed it over: %v", id, cell, known.keepers))
		}
		known.keepers = append(known.keepers, cell)
		known.kept, known.moving = true, false
	}
	l.accounts[id] = known
}

// account returns what is known of a workflow.
func (l *ledger) account(id cottonlanding.WorkflowID) account {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.accounts[id]
	known.keepers = slices.Clone(known.keepers)
	return known
}

// broken returns what must never have happened.
func (l *ledger) broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}
