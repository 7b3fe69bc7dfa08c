package planner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A workflow is submitted to its home, the cell that its id names. If that has much less room than another cell, it
// refers the workflow there: it stores the chosen cell and gives the same answer from then on, so that the workflow
// is in one cell however often, and through whichever host, it is submitted.

const referralPrefix = "Referrals/"

// referralRow is the stored form of a referral.
type referralRow struct {
	Cell cottonlanding.CellNumber
	// Workflow is set until the other cell has accepted it: see handover.go.
	Workflow *cottonlanding.Workflow `json:",omitempty"`
}

// referral records that another cell owns a workflow.
type referral struct {
	cell    cottonlanding.CellNumber
	version cottonlanding.Version
	// knownSince is when this owner created, loaded or last renewed the referral.
	knownSince cottonlanding.Millis
	// forgotten says that the other cell no longer knows the workflow.
	forgotten bool
	// pendingWorkflow is a workflow that this cell had accepted, until the other cell has accepted it.
	pendingWorkflow *cottonlanding.Workflow
	// deleteRows says that the workflow's rows in this cell are to be deleted with the next write.
	deleteRows bool
}

// ReferralKey returns the key of a workflow's referral.
func ReferralKey(p cottonlanding.Partition, id cottonlanding.WorkflowID) cottonlanding.Key {
	return p.Key(referralPrefix + string(id))
}

// DecodeReferral returns from a referral's row the cell that owns the workflow, and whether that cell has yet to
// accept it. It fails if the row can't be decoded.
func DecodeReferral(row cottonlanding.Row) (cell cottonlanding.CellNumber, pending bool, err error) {
	var value referralRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return 0, false, fmt.Errorf("row %s: %w", row.Key, err)
	}
	return value.Cell, value.Workflow != nil, nil
}

// Referral returns the cell that owns a workflow, if it isn't this one. The referral may still be uncommitted:
// see Refer.
func (c *Cell) Referral(id cottonlanding.WorkflowID) (cottonlanding.CellNumber, bool) {
	known, found := c.referrals[id]
	if !found {
		return 0, false
	}
	return known.cell, true
}

// CommittedReferral is Referral for committed referrals of which the other cell has accepted the workflow.
func (c *Cell) CommittedReferral(id cottonlanding.WorkflowID) (cottonlanding.CellNumber, bool) {
	known, found := c.referrals[id]
	if !found || known.version == 0 || known.forgotten || known.pendingWorkflow != nil {
		return 0, false
	}
	return known.cell, true
}

// Refer assigns an unknown workflow to another cell, unless it was referred before. done is called once that is
// committed, or with an error once it can't be; it gets ErrNotFound if the workflow was withdrawn.
func (c *Cell) Refer(id cottonlanding.WorkflowID, to cottonlanding.CellNumber, now cottonlanding.Millis, done func(error)) {
	known, found := c.referrals[id]
	switch {
	case !found && c.withdrawals[id] != nil:
		done(c.refuseWithdrawn(id))
	case !found:
		c.referrals[id] = &referral{cell: to, knownSince: now}
		c.unplannedReferrals[id] = append(c.unplannedReferrals[id], done)
		c.counts.Referred++
		c.log.Info("workflow referred", "Workflow", id, "To", to, "Epoch", c.setup.Epoch)
	case known.forgotten && c.unplannedReferrals[id] != nil:
		known.forgotten = false // it is submitted once more
		delete(c.unplannedReferrals, id)
		done(nil)
	case known.forgotten:
		done(fmt.Errorf("the referral of workflow %s is being forgotten: %w", id, cottonlanding.ErrUnavailable))
	case known.version > 0:
		done(nil)
	case c.unplannedReferrals[id] != nil:
		c.unplannedReferrals[id] = append(c.unplannedReferrals[id], done)
	default:
		c.inFlight.callbacks = append(c.inFlight.callbacks, done)
	}
}

// planReferrals adds the unplanned referrals to a plan, as many as fit.
func (c *Cell) planReferrals(plan *Plan) {
	for _, id := range slices.Sorted(maps.Keys(c.unplannedReferrals)) {
		if !plan.hasRoom(maxReferralWrites) {
			return
		}
		plan.add(c.referralWrites(id)...)
		plan.referred = append(plan.referred, id)
		plan.callbacks = append(plan.callbacks, c.unplannedReferrals[id]...)
		delete(c.unplannedReferrals, id)
	}
}

// maxReferralWrites is the largest number of rows that one referral writes.
const maxReferralWrites = 3

func (c *Cell) referralWrites(id cottonlanding.WorkflowID) []cottonlanding.Write {
	known := c.referrals[id]
	write := cottonlanding.Write{Key: ReferralKey(c.setup.Partition, id), Expect: known.version, Unchecked: true}
	if known.forgotten {
		write.Delete = true
		return []cottonlanding.Write{write}
	}
	write.Value = encode(referralRow{Cell: known.cell, Workflow: known.pendingWorkflow})
	if !known.deleteRows {
		return []cottonlanding.Write{write}
	}
	known.deleteRows = false
	return []cottonlanding.Write{write,
		{Key: SpecKey(c.setup.Partition, id), Delete: true, Unchecked: true},
		{Key: StateKey(c.setup.Partition, id), Delete: true, Unchecked: true},
	}
}

// recordCommittedReferrals records that referrals were committed.
func (c *Cell) recordCommittedReferrals(ids []cottonlanding.WorkflowID, version cottonlanding.Version) {
	for _, id := range ids {
		if c.referrals[id].forgotten {
			delete(c.referrals, id)
			continue
		}
		c.referrals[id].version = version
	}
}

// OldReferrals returns up to most workflows whose referrals are older than the retention of final workflows, so that
// the other cells, which it returns with them, may no longer know them.
func (c *Cell) OldReferrals(most int, now cottonlanding.Millis) map[cottonlanding.WorkflowID]cottonlanding.CellNumber {
	out := make(map[cottonlanding.WorkflowID]cottonlanding.CellNumber)
	for id, known := range c.referrals {
		if len(out) < most && known.version > 0 && !known.forgotten && known.pendingWorkflow == nil && now-known.knownSince > c.timing.Retention {
			out[id] = known.cell
		}
	}
	return out
}

// RenewReferral keeps a referral for another retention period, as the other cell still knows the workflow.
func (c *Cell) RenewReferral(id cottonlanding.WorkflowID, now cottonlanding.Millis) {
	if known := c.referrals[id]; known != nil {
		known.knownSince = now
	}
}

// ForgetReferral removes a referral whose workflow the other cell no longer knows.
func (c *Cell) ForgetReferral(id cottonlanding.WorkflowID) {
	known := c.referrals[id]
	if known == nil || known.version == 0 || known.forgotten {
		return
	}
	known.forgotten = true
	c.unplannedReferrals[id] = []func(error){}
}

// LoadReferrals loads the referrals of previous owners. It fails if a row can't be decoded.
func (c *Cell) LoadReferrals(rows []cottonlanding.Row, now cottonlanding.Millis) error {
	for _, row := range rows {
		var value referralRow
		if err := json.Unmarshal(row.Value, &value); err != nil {
			return fmt.Errorf("row %s: %w", row.Key, err)
		}
		c.referrals[cottonlanding.WorkflowID(lastSegment(row.Key))] = &referral{cell: value.Cell, version: row.Version, knownSince: now, pendingWorkflow: value.Workflow}
	}
	return nil
}
