package owner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/committer"
	"github.com/cottonlanding/cottonlanding/internal/coordination/observer"
	"github.com/cottonlanding/cottonlanding/internal/coordination/registrar"
	"github.com/cottonlanding/cottonlanding/internal/coordination/seizer"
	"github.com/cottonlanding/cottonlanding/internal/duty/pauser"
	"github.com/cottonlanding/cottonlanding/internal/placement/scheduler"
)

// CellName returns the id of a data centre's cell.
func CellName(dataCentre cottonlanding.DataCentre, number int) cottonlanding.CellID {
	return cottonlanding.CellID(string(dataCentre) + "/" + strconv.Itoa(number))
}

// cellOf returns the cell of a rack: racks are spread over the cells by hash,
// so that a rack's cell doesn't change when other racks come and go.
func (o *Owner) cellOf(rack cottonlanding.Rack) cottonlanding.CellID {
	return CellName(o.dataCentre, int(xxhash.Sum64String(string(rack))%uint64(o.cellCount)))
}

func (o *Owner) workersOf(cell cottonlanding.CellID) []cottonlanding.WorkerInfo {
	var out []cottonlanding.WorkerInfo
	for _, worker := range o.hosts {
		if o.cellOf(worker.Rack) == cell {
			out = append(out, worker)
		}
	}
	return out
}

// preferred returns the session that should own a cell: the one with the highest
// hash of cell and session among the candidates.
func (o *Owner) preferred(cell cottonlanding.CellID) cottonlanding.SessionID {
	var best cottonlanding.SessionID
	var highest uint64
	for _, session := range o.candidates() {
		rank := xxhash.Sum64String(string(cell) + "|" + string(session.ID))
		if best == "" || rank > highest {
			best, highest = session.ID, rank
		}
	}
	return best
}

// candidates returns the sessions that are alive and staying. Those that are
// starting count only if there are no others: one that came after an owner died
// sees its end later than those that were there, and all would wait for it.
func (o *Owner) candidates() []registrar.Session {
	var settled, starting []registrar.Session
	for _, session := range o.view.Live {
		switch {
		case session.DataCentre != o.dataCentre || session.Leaving:
		case session.Starting:
			starting = append(starting, session)
		default:
			settled = append(settled, session)
		}
	}
	if len(settled) == 0 {
		return starting
	}
	return settled
}

// handsOver reports whether a cell should be given to the preferred session.
func (o *Owner) handsOver(owned *ownedCell, preferred cottonlanding.SessionID, now cottonlanding.Millis) bool {
	self := o.deps.Registrar.Session().ID
	if preferred == "" || preferred == self || now-owned.since < o.timing.LeaseTTL/keepsPerLease {
		return false
	}
	return !slices.ContainsFunc(o.view.Live, func(s registrar.Session) bool { return s.ID == self && s.Starting })
}

// seizeDue seizes the cells that fall to this daemon, and begins to release
// those that fall to another.
func (o *Owner) seizeDue(now cottonlanding.Millis) {
	if o.view.Read == 0 || o.draining {
		return
	}
	self := o.deps.Registrar.Session().ID
	for number := range o.cellCount {
		id := CellName(o.dataCentre, number)
		preferred := o.preferred(id)
		owned := o.cells[id]
		switch {
		case owned != nil:
			owned.releasing = owned.releasing || o.handsOver(owned, preferred, now)
		case preferred == self && o.hasRules && o.hasHosts && o.deps.Registrar.Valid():
			o.seize(id, now)
		}
	}
}

// seize tries to become the owner of a cell that has none.
func (o *Owner) seize(id cottonlanding.CellID, now cottonlanding.Millis) {
	row := o.view.Cells[id]
	self := o.deps.Registrar.Session().ID
	foreign := row.Owner != "" && row.Owner != self
	if foreign && o.view.Alive(row.Owner) || o.seizing[id] || now < o.seizeAfter[id] {
		return
	}
	o.seizing[id], o.seizeAfter[id] = true, now+seizePause
	row.Cell = id
	// A row that names this session is of a try whose answer was lost, or of a cell
	// that was lost here: nothing is known of the owner before.
	setup := scheduler.Setup{ID: id, Epoch: row.Epoch + 1, HandedOver: row.Owner == "", PredecessorEnded: now}
	if ended, known := o.view.Ended[row.Owner]; known && foreign {
		setup.PredecessorEnded = ended
	}
	o.work.Go(func() {
		o.post(o.seizeRow(row, self, setup))
	})
}

// seizedEvent is the outcome of a try to seize a cell.
type seizedEvent struct {
	row   observer.OwnerRow
	setup scheduler.Setup
	rows  cellRows
	err   error
}

// cellRows are the rows that a predecessor left.
type cellRows struct {
	lists []cottonlanding.Row
	jobs  []cottonlanding.Row
	tasks []cottonlanding.Row
}

// seizeRow runs outside the owner's goroutine.
func (o *Owner) seizeRow(row observer.OwnerRow, self cottonlanding.SessionID, setup scheduler.Setup) seizedEvent {
	ctx, cancel := context.WithTimeout(o.ctx, (5 * tableTimeout).Duration())
	defer cancel()
	next, err := o.seizer.Seize(ctx, row, self)
	if err != nil {
		return seizedEvent{row: row, err: err}
	}
	setup.Guard = seizer.Guard(next)
	rows, err := o.readCell(ctx, setup.ID)
	return seizedEvent{row: next, setup: setup, rows: rows, err: err}
}

func (o *Owner) readCell(ctx context.Context, id cottonlanding.CellID) (cellRows, error) {
	var rows cellRows
	var err error
	if rows.lists, err = o.scanAll(ctx, scheduler.JobListPrefix(id)); err != nil {
		return rows, err
	}
	prefix := len(scheduler.JobListPrefix(id))
	var keys []cottonlanding.Key
	for _, row := range rows.lists {
		keys = append(keys, scheduler.JobKey(cottonlanding.JobName(row.Key[prefix:])))
	}
	if rows.jobs, err = o.readAll(ctx, keys); err != nil {
		return rows, err
	}
	rows.tasks, err = o.scanAll(ctx, scheduler.TaskPrefix(id))
	return rows, err
}

// insist repeats a read of the table that got no answer until ctx ends: a take-over
// that began anew for each lost answer might never end.
func insist(ctx context.Context, read func() ([]cottonlanding.Row, error)) ([]cottonlanding.Row, error) {
	for {
		rows, err := read()
		if !unanswered(err) {
			return rows, err
		}
		pauser.Pause(ctx, readPause)
		if ctx.Err() != nil {
			return nil, err
		}
	}
}

func (o *Owner) readAll(ctx context.Context, keys []cottonlanding.Key) ([]cottonlanding.Row, error) {
	var out []cottonlanding.Row
	for len(keys) > 0 {
		part := keys[:min(len(keys), scanLimit)]
		keys = keys[len(part):]
		rows, err := insist(ctx, func() ([]cottonlanding.Row, error) { return o.deps.Table.Read(ctx, part...) })
		if err != nil {
			return nil, err
		}
		out = append(out, rows...)
	}
	return out, nil
}

func (o *Owner) scanAll(ctx context.Context, prefix cottonlanding.Key) ([]cottonlanding.Row, error) {
	var out []cottonlanding.Row
	after := cottonlanding.Key("")
	for {
		rows, err := insist(ctx, func() ([]cottonlanding.Row, error) {
			return o.deps.Table.Scan(ctx, prefix, after, scanLimit)
		})
		if err != nil {
			return nil, err
		}
		out = append(out, rows...)
		if len(rows) < scanLimit {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (e seizedEvent) apply(o *Owner, now cottonlanding.Millis) {
	o.seizing[e.row.Cell] = false
	if e.err != nil {
		o.deps.Log.Warn("could not take cell", "Cell", e.row.Cell, "Epoch", e.row.Epoch, "Error", e.err)
		return
	}
	cell := scheduler.New(e.setup, o.timing, o.rules)
	cell.SetWorkers(o.workersOf(e.setup.ID), now)
	if err := cell.Load(e.rows.lists, e.rows.jobs, e.rows.tasks, now); err != nil {
		o.deps.Log.Error("could not load cell", "Cell", e.row.Cell, "Error", err)
		return
	}
	o.cells[e.setup.ID] = &ownedCell{cell: cell, row: e.row, since: now, releasing: o.draining}
	o.takeovers.Add(1)
	o.deps.Log.Info("took cell", "Cell", e.row.Cell, "Epoch", e.row.Epoch, "HandedOver", e.setup.HandedOver,
		"Jobs", len(e.rows.jobs), "Tasks", len(e.rows.tasks))
}

// release gives up a cell once nothing waits to be committed.
func (o *Owner) release(owned *ownedCell) {
	if owned.committing || owned.releaseSent {
		return
	}
	owned.releaseSent = true
	row := owned.row
	o.work.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, tableTimeout.Duration())
		defer cancel()
		err := o.seizer.Release(ctx, row)
		o.post(releasedEvent{cell: owned.cell, err: err})
	})
}

// releasedEvent is the outcome of a try to release a cell.
type releasedEvent struct {
	cell *scheduler.Cell
	err  error
}

func (e releasedEvent) apply(o *Owner, _ cottonlanding.Millis) {
	id := e.cell.ID()
	owned := o.cells[id]
	if owned == nil || owned.cell != e.cell {
		return
	}
	if e.err != nil && !errors.Is(e.err, cottonlanding.ErrConflict) {
		owned.releaseSent = false
		return
	}
	delete(o.cells, id)
	owned.cell.Abandon(fmt.Errorf("cell %s was handed over: %w", id, cottonlanding.ErrNotOwner))
	o.handovers.Add(1)
	o.deps.Log.Info("released cell", "Cell", id, "Epoch", owned.row.Epoch)
	o.deps.Released(id)
}

// commitPlan sends a cell's waiting decisions to the committer.
func (o *Owner) commitPlan(owned *ownedCell) {
	if owned.committing {
		return
	}
	plan := owned.cell.Plan()
	if plan == nil {
		return
	}
	owned.committing = true
	proposal := committer.Proposal{
		Checks: plan.Checks,
		Writes: plan.Writes,
		Done: func(receipt cottonlanding.Receipt, err error) {
			o.work.Go(func() { o.post(o.resolve(owned.cell, plan, receipt, err)) })
		},
	}
	if err := o.deps.Committer.Propose(proposal); err != nil {
		owned.cell.Rejected(plan, nil)
		owned.committing = false
	}
}

// committedEvent is the outcome of a plan.
type committedEvent struct {
	cell    *scheduler.Cell
	plan    *scheduler.Plan
	receipt cottonlanding.Receipt
	// taken holds the names of jobs that other cells have.
	taken map[cottonlanding.JobName]bool
	err   error
}

// resolve finds out why a plan conflicted. It runs outside the owner's goroutine.
func (o *Owner) resolve(cell *scheduler.Cell, plan *scheduler.Plan, receipt cottonlanding.Receipt, err error) committedEvent {
	out := committedEvent{cell: cell, plan: plan, receipt: receipt, err: err}
	if !errors.Is(err, cottonlanding.ErrConflict) {
		return out
	}
	ctx, cancel := context.WithTimeout(o.ctx, tableTimeout.Duration())
	defer cancel()
	guard := plan.Checks[0]
	keys := []cottonlanding.Key{guard.Key}
	names := make(map[cottonlanding.Key]cottonlanding.JobName)
	for _, name := range plan.NewJobs() {
		keys = append(keys, scheduler.JobKey(name))
		names[scheduler.JobKey(name)] = name
	}
	rows, readErr := o.deps.Table.Read(ctx, keys...)
	if readErr != nil || len(rows) == 0 || rows[0].Key != guard.Key || rows[0].Version != guard.Expect {
		return out
	}
	out.taken = make(map[cottonlanding.JobName]bool)
	for _, row := range rows[1:] {
		out.taken[names[row.Key]] = true
	}
	return out
}

func (e committedEvent) apply(o *Owner, _ cottonlanding.Millis) {
	owned := o.cells[e.cell.ID()]
	if owned == nil || owned.cell != e.cell {
		return
	}
	owned.committing = false
	switch {
	case e.err == nil:
		owned.cell.Committed(e.plan, e.receipt)
	case len(e.taken) > 0:
		owned.cell.Rejected(e.plan, e.taken)
	default:
		o.lose(e.cell.ID(), e.err.Error())
	}
}

// unanswered reports whether a worker gave no answer of its own.
func unanswered(err error) bool {
	return errors.Is(err, cottonlanding.ErrUnavailable) || errors.Is(err, cottonlanding.ErrAmbiguous)
}
