package planner

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A request may arrive long after its client has given up: its host froze, the network held it up, or another host
// forwarded it late. A client that got no answer and cancels finds no workflow then, and is told that there is none. So
// that this stays true, the cell stores a withdrawal for each such id before it answers, and refuses later submissions of
// the id. Withdrawals are kept as long as final workflows are.

const (
	withdrawalPrefix = "Withdrawals/"
	// maxWithdrawals bounds the withdrawals of a cell, since anyone may cancel ids that never existed. Their rows are
	// read in a few pages by the next owner. A cell with so many refuses to cancel further unknown ids: if it dropped one
	// instead, a workflow whose client was told that there is none could start.
	maxWithdrawals = 2000
	// maxPlannedWithdrawals bounds the withdrawals in one plan, so that they leave room for workflows.
	maxPlannedWithdrawals = 20
	// withdrawalRetryAfter is when a cancel that was refused for want of room may be tried again.
	withdrawalRetryAfter = 5 * cottonlanding.Second
)

// withdrawal records that an id was cancelled while the cell knew no workflow with it.
type withdrawal struct {
	// version is that of the committed row; zero before.
	version cottonlanding.Version
	// since is when this owner recorded or loaded the withdrawal.
	since cottonlanding.Millis
	// expired says that the row is to be deleted.
	expired bool
}

// WithdrawalKey returns the key of the row that records that a workflow was cancelled before it was known.
func WithdrawalKey(p cottonlanding.Partition, id cottonlanding.WorkflowID) cottonlanding.Key {
	return p.Key(withdrawalPrefix + string(id))
}

// withdrawalRow is the stored form of a withdrawal. Its key says everything.
type withdrawalRow struct{}

// withdraw records that an unknown workflow was cancelled. done gets ErrNotFound once that is committed.
func (c *Cell) withdraw(id cottonlanding.WorkflowID, now cottonlanding.Millis, done func(error)) {
	notFound := fmt.Errorf("workflow %s: %w", id, cottonlanding.ErrNotFound)
	committed := func(err error) {
		if err == nil {
			err = notFound
		}
		done(err)
	}
	known := c.withdrawals[id]
	switch {
	case known == nil && len(c.withdrawals) >= maxWithdrawals:
		c.counts.RefusedWithdrawals++
		err := fmt.Errorf("%w: too many unknown workflows were cancelled", cottonlanding.ErrBusy)
		done(cottonlanding.WithRetryAfter(err, withdrawalRetryAfter))
	case known == nil:
		c.withdrawals[id] = &withdrawal{since: now}
		c.unplannedWithdrawals[id] = append(c.unplannedWithdrawals[id], committed)
		c.counts.Withdrawn++
	case known.expired && c.unplannedWithdrawals[id] != nil:
		known.expired, known.since = false, now
		delete(c.unplannedWithdrawals, id)
		done(notFound)
	case known.expired:
		done(fmt.Errorf("the withdrawal of workflow %s is being deleted: %w", id, cottonlanding.ErrUnavailable))
	case known.version > 0:
		done(notFound)
	case c.unplannedWithdrawals[id] != nil:
		c.unplannedWithdrawals[id] = append(c.unplannedWithdrawals[id], committed)
	default:
		c.inFlight.callbacks = append(c.inFlight.callbacks, committed)
	}
}

// refuseWithdrawn returns ErrNotFound, wrapped with the reason, for a workflow that was withdrawn.
func (c *Cell) refuseWithdrawn(id cottonlanding.WorkflowID) error {
	if c.withdrawals[id] == nil {
		return nil
	}
	c.counts.RefusedAsWithdrawn++
	c.log.Info("workflow refused: it was cancelled before it arrived", "Workflow", id, "Epoch", c.setup.Epoch)
	return fmt.Errorf("%w: workflow %s was cancelled before it arrived", cottonlanding.ErrNotFound, id)
}

// expireWithdrawals marks the withdrawals that are older than Retention to be deleted.
func (c *Cell) expireWithdrawals(now cottonlanding.Millis) {
	for id, known := range c.withdrawals {
		if known.version > 0 && !known.expired && now-known.since > c.timing.Retention {
			known.expired = true
			c.unplannedWithdrawals[id] = []func(error){}
		}
	}
}

// planWithdrawals adds the unplanned withdrawals to a plan, as many as fit.
func (c *Cell) planWithdrawals(plan *Plan) {
	for _, id := range slices.Sorted(maps.Keys(c.unplannedWithdrawals)) {
		if len(plan.withdrawn) >= maxPlannedWithdrawals || !plan.hasRoom(1) {
			return
		}
		known := c.withdrawals[id]
		write := cottonlanding.Write{Key: WithdrawalKey(c.setup.Partition, id), Expect: known.version, Unchecked: true}
		if known.expired {
			write.Delete = true
		} else {
			write.Value = encode(withdrawalRow{})
		}
		plan.add(write)
		plan.withdrawn = append(plan.withdrawn, id)
		plan.callbacks = append(plan.callbacks, c.unplannedWithdrawals[id]...)
		delete(c.unplannedWithdrawals, id)
	}
}

// recordCommittedWithdrawals records that withdrawals were stored or deleted.
func (c *Cell) recordCommittedWithdrawals(ids []cottonlanding.WorkflowID, version cottonlanding.Version) {
	for _, id := range ids {
		if c.withdrawals[id].expired {
			delete(c.withdrawals, id)
			continue
		}
		c.withdrawals[id].version = version
	}
}

// LoadWithdrawals loads the withdrawals of previous owners.
func (c *Cell) LoadWithdrawals(rows []cottonlanding.Row, now cottonlanding.Millis) {
	for _, row := range rows {
		c.withdrawals[cottonlanding.WorkflowID(lastSegment(row.Key))] = &withdrawal{version: row.Version, since: now}
	}
}
