package planner_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// referringCell simulates a cell that refers workflows, with its owners and its table.
type referringCell struct {
	t       *rapid.T
	now     cottonlanding.Millis
	cell    *planner.Cell
	rows    map[cottonlanding.Key]cottonlanding.Row
	version cottonlanding.Version
	// confirmed holds the cell that callers were told for each workflow.
	confirmed map[cottonlanding.WorkflowID]cottonlanding.CellNumber
	// forgotten holds the workflows that the other cell has forgotten.
	forgotten []cottonlanding.WorkflowID
}

func (h *referringCell) takeOver() {
	if h.cell != nil {
		h.cell.Abandon(cottonlanding.ErrAmbiguous)
	}
	h.cell = planner.New(planner.Setup{Partition: partition, Epoch: 1}, timing, selector.Default().Planner, discardLog())
	var rows []cottonlanding.Row
	for _, row := range h.rows {
		rows = append(rows, row)
	}
	require.NoError(h.t, h.cell.LoadReferrals(rows, h.now))
}

// refer submits a workflow. The cell that is to own it may differ each time.
func (h *referringCell) refer(id cottonlanding.WorkflowID, to cottonlanding.CellNumber) {
	if known, found := h.cell.Referral(id); found {
		to = known
	}
	h.cell.Refer(id, to, h.now, func(err error) {
		if err != nil {
			return
		}
		if before, found := h.confirmed[id]; found && !slices.Contains(h.forgotten, id) {
			require.Equal(h.t, before, to, "workflow %s is kept in two cells", id)
		}
		h.confirmed[id] = to
		h.forgotten = slices.DeleteFunc(h.forgotten, func(other cottonlanding.WorkflowID) bool { return other == id })
	})
}

// commit makes a plan and applies it, or maybe not if the answer is lost; then the owner ends.
func (h *referringCell) commit(lost, applied bool) {
	plan := h.cell.Plan(h.now)
	if plan == nil {
		return
	}
	if !lost || applied {
		h.version++
		for _, write := range plan.Writes {
			if write.Delete {
				delete(h.rows, write.Key)
				continue
			}
			h.rows[write.Key] = cottonlanding.Row{Key: write.Key, Version: h.version, Value: write.Value}
		}
	}
	if lost {
		h.takeOver()
		return
	}
	h.cell.Committed(plan, h.version)
}

// TestReferralsAreStable refers workflows repeatedly, with owners that end before, during and after their commits. It
// guards against a referred workflow that is in two cells, or is forgotten while the other cell still knows it.
func TestReferralsAreStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &referringCell{t: t, now: 1000, rows: make(map[cottonlanding.Key]cottonlanding.Row), confirmed: make(map[cottonlanding.WorkflowID]cottonlanding.CellNumber)}
		h.takeOver()
		ids := []cottonlanding.WorkflowID{"a", "b", "c", "d"}
		t.Repeat(map[string]func(*rapid.T){
			"refer": func(t *rapid.T) {
				id := rapid.SampledFrom(ids).Draw(t, "id")
				h.refer(id, cottonlanding.CellNumber(rapid.IntRange(1, 9).Draw(t, "to")))
			},
			"commit":   func(*rapid.T) { h.commit(false, true) },
			"lose":     func(t *rapid.T) { h.commit(true, rapid.Bool().Draw(t, "applied")) },
			"takeOver": func(*rapid.T) { h.takeOver() },
			"settle": func(t *rapid.T) {
				h.now += timing.Retention + 1
				for id := range h.cell.OldReferrals(10, h.now) {
					known := rapid.Bool().Draw(t, "known")
					if known {
						h.cell.RenewReferral(id, h.now)
						continue
					}
					h.forgotten = append(h.forgotten, id)
					h.cell.ForgetReferral(id)
				}
			},
			"": func(t *rapid.T) {
				for id, to := range h.confirmed {
					known, found := h.cell.Referral(id)
					if slices.Contains(h.forgotten, id) {
						continue
					}
					require.True(t, found, "workflow %s is denied", id)
					require.Equal(t, to, known)
				}
			},
		})
	})
}
