package gateway

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/holder"
	"github.com/cottonlanding/cottonlanding/internal/workflow/driver"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// yieldWithin bounds the hand-over to a host with more room: some tries of a write.
const yieldWithin = 5 * cottonlanding.Second

// seat is this host's part in one cell: it follows who owns the cell, and drives the
// cell while this host does.
type seat struct {
	gateway   *Gateway
	cell      cottonlanding.CellNumber
	partition cottonlanding.Partition
	holder    *holder.Holder
	// cutOffUntil is until when calls are refused because neither the table nor the
	// owner could be reached, in milliseconds of the clock.
	cutOffUntil atomic.Int64
	// answeredAt is when an owner last answered a call, on the same clock.
	answeredAt atomic.Int64

	mu          sync.Mutex
	driver      *driver.Driver
	lastWaiting map[cottonlanding.QueueName]waitingCount
	workers     cellWorkers
	referred    []referredWork
	// vigil is this host's watch over the owner, guarded by the gateway's vigilsMu.
	vigil *vigil
	// unhostedAt is when it was last logged that no cell has room for a task of this one.
	unhostedAt cottonlanding.Millis
}

func newSeat(g *Gateway, cell cottonlanding.CellNumber, cells int) *seat {
	s := &seat{
		gateway:     g,
		cell:        cell,
		partition:   partitionOf(cell),
		lastWaiting: make(map[cottonlanding.QueueName]waitingCount),
	}
	ready := make(chan struct{})
	s.holder = holder.New(holder.Dependencies{
		Table:   g.deps.Table,
		Watcher: g.watcher,
		Reader:  g.reader(ownersPartition(cell, cells)),
		Clock:   g.deps.Clock,
		Log:     g.deps.Log,
		Changed: func(view holder.View) {
			<-ready
			s.ownerChanged(view)
		},
		CellRequested: func(to holder.Member) {
			<-ready
			go s.yield(to)
		},
		Owned:      g.Owned,
		OwnedBy:    g.ownedBy,
		Cells:      g.cells,
		CellsKnown: g.ready.Load,
		Remote:     s.away,
		Report:     s.report,
	}, cell, g.settings.Self, g.settings.Holder)
	close(ready)
	return s
}

// away reports whether the cell's workers are of another data centre than this host. A
// host of theirs goes on to renew their leases when the data centre is cut off.
func (s *seat) away() bool {
	layout := s.gateway.layout.Load()
	if layout == nil {
		return false
	}
	place, one := layout.CellDataCentre(s.cell)
	return one && place != s.gateway.settings.DataCentre
}

// mine reports whether this host believes to own the cell.
func (s *seat) mine() bool { return s.holder.ValidUntil() > 0 }

// ownerChanged starts a driver for an ownership of this host and ends the one before.
func (s *seat) ownerChanged(view holder.View) {
	s.endDriver()
	s.gateway.reviewVigils()
	mine := view.Owner.Member == s.gateway.settings.Self && s.mine()
	s.gateway.recordOwned()
	if !mine || s.gateway.leaving() {
		return
	}
	setup := planner.Setup{
		Partition: s.partition,
		Epoch:     view.Owner.Epoch,
		// The owner before renewed leases until it had lost the table for a while.
		BeforeUntil:      view.BeforeUntil + s.gateway.settings.Planner.CutOffGrace,
		BeforeOwnedUntil: view.BeforeUntil,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.driver = driver.New(driver.Dependencies{
		Cell:                  s.cell,
		Table:                 s.gateway.deps.Table,
		TableClock:            s.gateway.deps.TableClock,
		Workers:               s.gateway.deps.Workers,
		Clock:                 s.gateway.deps.Clock,
		Log:                   s.gateway.deps.Log.With("Cell", s.cell),
		ListWorkers:           s.listWorkers,
		ListedAt:              s.gateway.deps.ListedAt,
		Queues:                s.gateway.deps.Queues,
		Evacuations:           s.gateway.deps.Evacuations,
		ValidUntil:            s.holder.ValidUntil,
		ReferralTarget:        s.refer,
		HandOverTarget:        s.move,
		Deliver:               s.deliver,
		Delegate:              s.delegate,
		SendDelegationRequest: s.askGuests,
		IsHome:                s.isHome,
		Siblings:              s.siblings,
		OnLost:                s.holder.Invalidate,
	}, setup, s.gateway.settings.Planner, s.gateway.settings.Policy)
}

// deliver hands a workflow of this home in at the cell that is to keep it.
func (s *seat) deliver(ctx context.Context, workflow cottonlanding.Workflow, to cottonlanding.CellNumber) error {
	keeper := s.gateway.seat(to)
	if keeper == nil {
		return fmt.Errorf("cell %s isn't known here: %w", to, cottonlanding.ErrUnavailable)
	}
	return keeper.submit(ctx, workflow)
}

// isHome reports whether this cell is the home of a workflow.
func (s *seat) isHome(id cottonlanding.WorkflowID) bool {
	layout := s.gateway.layout.Load()
	return layout != nil && layout.Home(id) == s.cell
}

// siblings returns the partitions of all other cells.
func (s *seat) siblings() []cottonlanding.Partition {
	var out []cottonlanding.Partition
	for _, other := range *s.gateway.seats.Load() {
		if other != s {
			out = append(out, other.partition)
		}
	}
	return out
}

func (s *seat) endDriver() {
	s.mu.Lock()
	old := s.driver
	s.driver = nil
	s.mu.Unlock()
	if old != nil {
		old.Close()
	}
}

// local returns the driver if this host owns the cell.
func (s *seat) local() *driver.Driver {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.driver
}

// leave gives the cell up and keeps this host from owning it again.
func (s *seat) leave(ctx context.Context) {
	s.holder.Leave()
	old := s.local()
	if old == nil {
		return
	}
	old.Release(ctx)
	if err := s.holder.Release(ctx); err != nil {
		s.gateway.deps.Log.Warn("release workflows", "Cell", s.cell, "Error", err)
	}
	s.mu.Lock()
	s.driver = nil
	s.mu.Unlock()
}

// yield hands the cell over to a host that has more room for it. What was decided and
// isn't committed yet is dropped: a host that is too small for the work may need seconds
// for that, and nothing was ordered by it.
func (s *seat) yield(to holder.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), yieldWithin.Duration())
	defer cancel()
	if err := s.holder.ReleaseTo(ctx, to); err != nil {
		s.gateway.deps.Log.Warn("hand over workflows", "Cell", s.cell, "To", to.ID, "Error", err)
	}
	s.holder.Nudge()
}

func (s *seat) close() {
	s.holder.Close()
	s.endDriver()
}
