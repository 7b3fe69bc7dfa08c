// Package owner drives the cells that one daemon owns: it seizes and releases
// them, commits their decisions, visits their workers, and hands them jobs.
//
// One goroutine holds all cells and takes one event after the other from a
// ring. All I/O is done by other goroutines, which answer with events.
package owner

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/committer"
	"github.com/cottonlanding/cottonlanding/internal/coordination/observer"
	"github.com/cottonlanding/cottonlanding/internal/coordination/registrar"
	"github.com/cottonlanding/cottonlanding/internal/coordination/seizer"
	"github.com/cottonlanding/cottonlanding/internal/duty/buffer"
	"github.com/cottonlanding/cottonlanding/internal/duty/ticker"
	"github.com/cottonlanding/cottonlanding/internal/placement/scheduler"
)

const (
	ringCapacity = 4096
	tick         = 50 * cottonlanding.Millis(1)
	// visitors is how many workers are visited at a time.
	visitors = 64
	// callsPerLease bounds a call to a worker by a share of its lease.
	callsPerLease = 4
	tableTimeout  = 2 * cottonlanding.Second
	scanLimit     = 1000
	// seizePause is the least time between two tries to seize a cell.
	seizePause = 500 * cottonlanding.Millis(1)
	// readPause is the time between two tries of a read in a take-over.
	readPause = 50 * cottonlanding.Millis(1)
	// keepsPerLease is the share of LeaseTTL for which a new owner keeps its cell:
	// two renewals, after which all leases are as long as they get. Each change of
	// owner uses them up by a little.
	keepsPerLease = 2
)

// Dependencies are what an owner works with.
type Dependencies struct {
	Table     cottonlanding.Table
	Workers   cottonlanding.WorkerClient
	Clock     cottonlanding.Clock
	Committer *committer.Committer
	Registrar *registrar.Registrar
	Log       *slog.Logger
	// Released is called after a cell was released, so that its next owner can
	// be told.
	Released func(cottonlanding.CellID)
}

// Owner owns cells of one data centre.
type Owner struct {
	deps       Dependencies
	dataCentre cottonlanding.DataCentre
	cellCount  int
	timing     scheduler.Timing

	seizer *seizer.Seizer
	ring   *buffer.Ring[event]
	visits *buffer.Ring[visit]
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	// The fields below belong to the goroutine of run.
	rules    scheduler.Rules
	hasRules bool
	view     observer.View
	hosts    []cottonlanding.WorkerInfo
	hasHosts bool
	cells    map[cottonlanding.CellID]*ownedCell
	// seizing says that a try to seize a cell is under way, seizeAfter when the next may begin.
	seizing    map[cottonlanding.CellID]bool
	seizeAfter map[cottonlanding.CellID]cottonlanding.Millis
	draining   bool
	drained    []chan struct{}

	summaries atomic.Pointer[[]scheduler.Summary]
	takeovers atomic.Int64
	handovers atomic.Int64
	lost      atomic.Int64
}

// ownedCell is a cell with the row that makes it ours.
type ownedCell struct {
	cell *scheduler.Cell
	row  observer.OwnerRow
	// since is when the cell was taken.
	since cottonlanding.Millis
	// releasing says that nothing new is decided; releaseSent that the row was
	// given up.
	releasing   bool
	releaseSent bool
	committing  bool
}

// event is something that happened, taken in by the owner's goroutine.
type event interface {
	apply(o *Owner, now cottonlanding.Millis)
}

// State is an owner's dump.
type State struct {
	Ring      buffer.State
	Visits    buffer.State
	Draining  bool
	Takeovers int64
	Handovers int64
	// Lost counts cells that were taken over by others.
	Lost  int64
	Cells []scheduler.State
}

// New starts an owner for the cells of a data centre.
func New(deps Dependencies, dataCentre cottonlanding.DataCentre, cellCount int, timing scheduler.Timing) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		deps:       deps,
		dataCentre: dataCentre,
		cellCount:  cellCount,
		timing:     timing,
		seizer:     seizer.New(deps.Table),
		ring:       buffer.New[event](ringCapacity),
		visits:     buffer.New[visit](ringCapacity),
		ctx:        ctx,
		cancel:     cancel,
		cells:      make(map[cottonlanding.CellID]*ownedCell),
		seizing:    make(map[cottonlanding.CellID]bool),
		seizeAfter: make(map[cottonlanding.CellID]cottonlanding.Millis),
	}
	o.summaries.Store(&[]scheduler.Summary{})
	o.work.Go(o.run)
	for range visitors {
		o.work.Go(o.visitWorkers)
	}
	return o
}

// Observed takes in a view of sessions and owner rows.
func (o *Owner) Observed(view observer.View) { o.ring.Push(viewEvent{view}) }

// SetHosts takes in the workers of the data centre.
func (o *Owner) SetHosts(workers []cottonlanding.WorkerInfo) { o.ring.Push(hostsEvent{workers}) }

// SetRules replaces the rules of all cells. It waits for room in the ring.
func (o *Owner) SetRules(rules scheduler.Rules) { o.post(rulesEvent{rules}) }

// Submit hands a job to a cell. The error is ErrNotOwner if the cell isn't owned
// here, ErrCannotRun, ErrConflict, ErrBusy or ErrUnavailable if the job was not
// accepted, and ErrAmbiguous if that is unknown when ctx ends.
func (o *Owner) Submit(ctx context.Context, cell cottonlanding.CellID, spec cottonlanding.JobSpec) error {
	if o.deps.Committer.Stalled() {
		return fmt.Errorf("the table can't be reached: %w", cottonlanding.ErrUnavailable)
	}
	done := make(chan error, 1)
	return o.ask(ctx, submitEvent{cell: cell, spec: spec, done: done}, done)
}

// Cancel cancels a job of a cell. The errors are as for Submit, and ErrNotFound.
func (o *Owner) Cancel(ctx context.Context, cell cottonlanding.CellID, name cottonlanding.JobName) error {
	if o.deps.Committer.Stalled() {
		return fmt.Errorf("the table can't be reached: %w", cottonlanding.ErrUnavailable)
	}
	done := make(chan error, 1)
	return o.ask(ctx, cancelEvent{cell: cell, name: name, done: done}, done)
}

func (o *Owner) ask(ctx context.Context, request event, done <-chan error) error {
	if !o.ring.Push(request) {
		return fmt.Errorf("the cell owner's ring: %w", cottonlanding.ErrBusy)
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", cottonlanding.ErrAmbiguous, ctx.Err())
	case <-o.ctx.Done():
		return fmt.Errorf("%w: the daemon ended", cottonlanding.ErrAmbiguous)
	}
}

// Summaries returns the summaries of the owned cells.
func (o *Owner) Summaries() []scheduler.Summary { return *o.summaries.Load() }

// State returns the dump.
func (o *Owner) State() State {
	out := make(chan State, 1)
	if !o.ring.Push(stateEvent{out}) {
		return State{Ring: o.ring.State()}
	}
	select {
	case state := <-out:
		return state
	case <-o.ctx.Done():
		return State{Ring: o.ring.State()}
	}
}

// Drain releases all cells for good and waits until they are released.
func (o *Owner) Drain(ctx context.Context) error {
	done := make(chan struct{})
	o.post(drainEvent{done})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("release cells: %w", ctx.Err())
	}
}

// Close ends the owner without releasing anything.
func (o *Owner) Close() {
	o.cancel()
	o.work.Wait()
}

// post adds an event that must not be lost; it waits for room.
func (o *Owner) post(e event) {
	for !o.ring.Push(e) {
		select {
		case <-o.ctx.Done():
			return
		case <-time.After(time.Millisecond):
		}
	}
}

func (o *Owner) run() {
	turns := ticker.New(tick)
	defer turns.Stop()
	for {
		select {
		case <-o.ctx.Done():
			o.abandonAll()
			return
		case e := <-o.ring.Items():
			e.apply(o, o.deps.Clock.Now())
			o.drainRing()
		case <-turns.Next():
		}
		o.step(o.deps.Clock.Now())
	}
}

// drainRing takes in what else is there, so that one step serves all of it.
func (o *Owner) drainRing() {
	for range ringCapacity {
		select {
		case e := <-o.ring.Items():
			e.apply(o, o.deps.Clock.Now())
		default:
			return
		}
	}
}

func (o *Owner) abandonAll() {
	for _, owned := range o.cells {
		owned.cell.Abandon(fmt.Errorf("%w: the daemon ended", cottonlanding.ErrAmbiguous))
	}
}

// step does what is due.
func (o *Owner) step(now cottonlanding.Millis) {
	o.seizeDue(now)
	for id, owned := range o.cells {
		if owned.cell.Superseded() {
			o.lose(id, "a worker has seen a newer owner")
			continue
		}
		o.stepCell(owned, now)
	}
	o.publish(now)
	o.recordDrained()
}

func (o *Owner) stepCell(owned *ownedCell, now cottonlanding.Millis) {
	switch {
	case owned.releasing:
	case o.deps.Registrar.Valid() && !o.deps.Committer.Stalled():
		owned.cell.Decide(now)
	default:
		owned.cell.Promote(now)
	}
	o.commitPlan(owned)
	if owned.releasing {
		o.release(owned)
		return
	}
	if !o.mayVisit(now) {
		return
	}
	for _, round := range owned.cell.Rounds(now) {
		if !o.visits.Push(visit{round: round, cell: owned.cell}) {
			owned.cell.Report(scheduler.Report{Round: round, Err: cottonlanding.ErrBusy}, now)
		}
	}
}

// mayVisit reports whether this daemon may still keep workers going: its session
// holds, or ended so recently that no successor counts its leases as lapsed.
func (o *Owner) mayVisit(now cottonlanding.Millis) bool {
	return now < o.deps.Registrar.ValidUntil()+o.timing.CutOffGrace
}

func (o *Owner) publish(now cottonlanding.Millis) {
	summaries := make([]scheduler.Summary, 0, len(o.cells))
	for _, owned := range o.cells {
		if !owned.releasing {
			summaries = append(summaries, owned.cell.Summary(now))
		}
	}
	o.summaries.Store(&summaries)
}

func (o *Owner) recordDrained() {
	if !o.draining || len(o.cells) > 0 {
		return
	}
	for _, done := range o.drained {
		close(done)
	}
	o.drained = nil
}

func (o *Owner) lose(id cottonlanding.CellID, why string) {
	owned := o.cells[id]
	owned.cell.Abandon(fmt.Errorf("%w: cell %s was taken over", cottonlanding.ErrAmbiguous, id))
	delete(o.cells, id)
	o.lost.Add(1)
	o.deps.Log.Warn("lost cell", "Cell", id, "Epoch", owned.row.Epoch, "Why", why)
}
