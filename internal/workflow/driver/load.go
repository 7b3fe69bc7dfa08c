package driver

import (
	"context"
	"errors"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// load reads the rows of the predecessor until that succeeds.
func (d *Driver) load() *planner.Cell {
	page := firstPage
	for d.ctx.Err() == nil {
		cell, err := d.tryLoad(page)
		if err == nil {
			return cell
		}
		d.deps.Log.Warn("load workflows", "Page", page, "Error", err)
		if !errors.Is(err, errNotReady) {
			page = max(page/2, leastPage)
		}
		d.sleep(loadPause)
	}
	return nil
}

var errNotReady = errors.New("configuration, evacuations or workers not known yet")

func (d *Driver) tryLoad(page int) (*planner.Cell, error) {
	workers, known := d.deps.ListWorkers()
	queues, evacuations := d.deps.Queues(), d.deps.Evacuations()
	if !known || queues.Version == 0 || evacuations.ReadAt == 0 {
		return nil, errNotReady
	}
	began := d.deps.Clock.Now()
	specs, err := d.scan(planner.SpecKey(d.setup.Partition, ""), page)
	if err != nil {
		return nil, err
	}
	states, err := d.scan(planner.StateKey(d.setup.Partition, ""), page)
	if err != nil {
		return nil, err
	}
	referrals, err := d.scan(planner.ReferralKey(d.setup.Partition, ""), page)
	if err != nil {
		return nil, err
	}
	guests, err := d.scan(planner.GuestsKey(d.setup.Partition), page)
	if err != nil {
		return nil, err
	}
	learnt, err := d.read(planner.LearntKey(d.setup.Partition))
	if err != nil {
		return nil, err
	}
	cell := planner.New(d.setup, d.timing, d.policy, d.deps.Log)
	now := d.deps.Clock.Now()
	cell.SetQueues(queues)
	cell.SetEvacuations(evacuations, now)
	cell.SetWorkers(workers, now)
	if err := cell.Load(specs, states, now); err != nil {
		return nil, err
	}
	if err := cell.LoadGuests(guests, now); err != nil {
		return nil, err
	}
	if err := cell.LoadReferrals(referrals, now); err != nil {
		return nil, err
	}
	for _, row := range learnt {
		if err := cell.LoadLearnt(row); err != nil {
			d.deps.Log.Warn("what was learnt of images is lost", "Error", err) // it is learnt anew
		}
	}
	d.deps.Log.Info("workflows loaded", "Workflows", len(specs), "Workers", len(workers), "Epoch", d.setup.Epoch, "After", now-began)
	return cell, nil
}

func (d *Driver) read(key cottonlanding.Key) ([]cottonlanding.Row, error) {
	ctx, cancel := context.WithTimeout(d.ctx, tableTimeout.Duration())
	defer cancel()
	return d.deps.Table.Read(ctx, key)
}

// scan reads all rows of a prefix, some at a time.
func (d *Driver) scan(prefix cottonlanding.Key, page int) ([]cottonlanding.Row, error) {
	var out []cottonlanding.Row
	after := cottonlanding.Key("")
	for {
		ctx, cancel := context.WithTimeout(d.ctx, tableTimeout.Duration())
		rows, err := d.deps.Table.Scan(ctx, prefix, after, page)
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
