package committer

import (
	"context"
	"errors"
	"fmt"

	"github.com/cottonlanding/cottonlanding"
)

// resolve sends one transaction until it has taken effect or can't take effect
// any more. The error is ErrConflict, or after Close one of those of
// Proposal.Done.
func (c *Committer) resolve(transaction cottonlanding.Transaction) (cottonlanding.Receipt, error) {
	c.counts.transactions.Add(1)
	retryInterval := minRetryInterval
	ambiguous := false
	for try := 0; ; try++ {
		if try > 0 {
			c.counts.resent.Add(1)
		}
		receipt, err := c.send(transaction)
		switch {
		case err == nil:
			c.stalled.Store(false)
			return receipt, nil
		case errors.Is(err, cottonlanding.ErrConflict):
			c.stalled.Store(false)
			if !ambiguous {
				return receipt, err
			}
			return c.resolveConflict(transaction.ID)
		case errors.Is(err, cottonlanding.ErrAmbiguous):
			c.counts.lostAnswers.Add(1)
			ambiguous = true
		}
		c.stalled.Store(true)
		if !c.sleep(retryInterval) {
			return cottonlanding.Receipt{}, c.closedError(ambiguous)
		}
		retryInterval = min(2*retryInterval, maxRetryInterval)
		if !ambiguous {
			continue
		}
		if receipt, found := c.findCommitted(transaction.ID); found {
			c.stalled.Store(false)
			return receipt, nil
		}
	}
}

func (c *Committer) closedError(ambiguous bool) error {
	if ambiguous {
		return fmt.Errorf("committer closed while in doubt: %w", cottonlanding.ErrAmbiguous)
	}
	return fmt.Errorf("committer closed: %w", cottonlanding.ErrUnavailable)
}

func (c *Committer) send(transaction cottonlanding.Transaction) (cottonlanding.Receipt, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.timeout.Duration())
	defer cancel()
	return c.table.Commit(ctx, transaction)
}

// resolveConflict determines the outcome after a conflict that may be due to an
// earlier copy of the same transaction, by a read of the lane.
func (c *Committer) resolveConflict(id cottonlanding.TransactionID) (cottonlanding.Receipt, error) {
	retryInterval := minRetryInterval
	for {
		row, err := c.readLane()
		if err == nil {
			if row.Transaction == id {
				return cottonlanding.Receipt{Version: row.Version}, nil
			}
			return cottonlanding.Receipt{}, cottonlanding.ErrConflict
		}
		if !c.sleep(retryInterval) {
			return cottonlanding.Receipt{}, c.closedError(true)
		}
		retryInterval = min(2*retryInterval, maxRetryInterval)
	}
}

// findCommitted returns the receipt of a transaction if the lane shows that it
// took effect. False doesn't mean that it never will.
func (c *Committer) findCommitted(id cottonlanding.TransactionID) (cottonlanding.Receipt, bool) {
	row, err := c.readLane()
	if err != nil || row.Transaction != id {
		return cottonlanding.Receipt{}, false
	}
	return cottonlanding.Receipt{Version: row.Version}, true
}

func (c *Committer) readLane() (cottonlanding.Row, error) {
	rows, err := c.read([]cottonlanding.Key{c.lane})
	if err != nil || len(rows) == 0 {
		return cottonlanding.Row{}, err
	}
	return rows[0], nil
}

func (c *Committer) read(keys []cottonlanding.Key) ([]cottonlanding.Row, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.timeout.Duration())
	defer cancel()
	return c.table.Read(ctx, keys...)
}
