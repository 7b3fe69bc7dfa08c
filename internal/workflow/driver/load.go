package driver

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// load reads the rows of the previous owner, and retries until that succeeds.
func (d *Driver) load() *planner.Cell {
	pageSize := initialPageSize
	for d.ctx.Err() == nil {
		cell, err := d.tryLoad(pageSize)
		if err == nil {
			return cell
		}
		d.deps.Log.Warn("load workflows", "Page", pageSize, "Error", err)
		if !errors.Is(err, errNotReady) {
			pageSize = max(pageSize/2, minPageSize)
		}
		d.sleep(loadRetryInterval)
	}
	return nil
}

var errNotReady = errors.New("configuration, evacuations or workers not known yet")

func (d *Driver) tryLoad(pageSize int) (*planner.Cell, error) {
	workers, known := d.deps.ListWorkers()
	queues, evacuations := d.deps.Queues(), d.deps.Evacuations()
	if !known || queues.Version == 0 || evacuations.ReadAt == 0 {
		return nil, errNotReady
	}
	began := d.deps.Clock.Now()
	rows, err := d.readCell(pageSize)
	if err != nil {
		return nil, err
	}
	cell := planner.New(d.setup, d.timing, d.policy, d.deps.Log)
	now := d.deps.Clock.Now()
	cell.SetQueues(queues)
	cell.SetEvacuations(evacuations, now)
	cell.SetWorkers(workers, now)
	if err := cell.Load(rows.specs, rows.states, now); err != nil {
		return nil, err
	}
	if err := cell.LoadDelegated(rows.delegated, now); err != nil {
		return nil, err
	}
	if err := cell.LoadReferrals(rows.referrals, now); err != nil {
		return nil, err
	}
	cell.LoadWithdrawals(rows.withdrawals, now)
	for _, row := range rows.learnt {
		if err := cell.LoadLearnt(row); err != nil {
			d.deps.Log.Warn("learnt image weights could not be loaded", "Error", err) // they are learnt again
		}
	}
	for _, row := range rows.runTimes {
		if err := cell.LoadRunTimes(row); err != nil {
			d.deps.Log.Warn("learnt run times could not be loaded", "Error", err) // they are learnt again
		}
	}
	d.readTableClock(cell)
	for _, row := range rows.bounds {
		if err := cell.LoadLeaseBounds(row, now); err != nil {
			d.deps.Log.Warn("lease bounds could not be loaded", "Error", err)
		}
	}
	d.deps.Log.Info("workflows loaded", "Workflows", len(rows.specs), "Workers", len(workers), "Epoch", d.setup.Epoch, "After", now-began)
	return cell, nil
}

// cellRows holds the rows of a cell by kind.
type cellRows struct {
	specs, states, delegated, referrals, withdrawals, learnt, runTimes, bounds []cottonlanding.Row
}

// readCell reads all rows of the cell. The kinds are read concurrently: the rows don't change any more, and a slow
// table takes long for each call.
func (d *Driver) readCell(pageSize int) (cellRows, error) {
	var rows cellRows
	partition := d.setup.Partition
	var reads errgroup.Group
	for prefix, dst := range map[cottonlanding.Key]*[]cottonlanding.Row{
		planner.SpecKey(partition, ""):      &rows.specs,
		planner.StateKey(partition, ""):     &rows.states,
		planner.DelegatedRowsKey(partition): &rows.delegated,
		planner.ReferralKey(partition, ""):  &rows.referrals,

		planner.WithdrawalKey(partition, ""): &rows.withdrawals,
	} {
		reads.Go(func() (err error) {
			*dst, err = d.scan(prefix, pageSize)
			return err
		})
	}
	reads.Go(func() (err error) {
		rows.learnt, err = d.read(planner.LearntKey(partition))
		return err
	})
	if d.policy.LearnsRunTimes {
		reads.Go(func() (err error) {
			rows.runTimes, err = d.read(planner.RunTimesKey(partition))
			return err
		})
	}
	reads.Go(func() (err error) {
		rows.bounds, err = d.read(planner.LeaseBoundsKey(partition))
		return err
	})
	return rows, reads.Wait()
}

func (d *Driver) read(key cottonlanding.Key) ([]cottonlanding.Row, error) {
	ctx, cancel := context.WithTimeout(d.ctx, tableTimeout.Duration())
	defer cancel()
	return d.deps.Table.Read(ctx, key)
}

// scan reads all rows of a prefix, page by page.
func (d *Driver) scan(prefix cottonlanding.Key, pageSize int) ([]cottonlanding.Row, error) {
	var out []cottonlanding.Row
	after := cottonlanding.Key("")
	for {
		ctx, cancel := context.WithTimeout(d.ctx, tableTimeout.Duration())
		rows, err := d.deps.Table.Scan(ctx, prefix, after, pageSize)
		cancel()
		if err != nil {
			return nil, err
		}
		out = append(out, rows...)
		if len(rows) == 0 {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// readTableClock passes the newest reading of the table's clock to a cell. The caller holds the lock, unless the cell
// is still being loaded.
func (d *Driver) readTableClock(cell *planner.Cell) {
	if d.deps.TableClock == nil {
		return
	}
	if reading, known := d.deps.TableClock(); known {
		cell.SetTableClock(reading)
	}
}
