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

// yieldTimeout bounds the hand-over to a host with more room: some tries of a write.
const yieldTimeout = 5 * cottonlanding.Second

// participant is this host's part in one cell: it follows who owns the cell, and drives the
// cell while this host does.
type participant struct {
	gateway   *Gateway
	cell      cottonlanding.CellNumber
	partition cottonlanding.Partition
	holder    *holder.Holder
	// unreachableUntil is until when calls are refused because neither the table nor the
	// owner could be reached, in milliseconds of the clock.
	unreachableUntil atomic.Int64
	// lastReplyAt is when an owner last answered a call, on the same clock.
	lastReplyAt atomic.Int64

	mu          sync.Mutex
	driver      *driver.Driver
	lastWaiting map[cottonlanding.QueueName]waitingCount
	workers     cellWorkers
	referred    []referredLoad
	// ownerWatch is this host's watch over the owner, guarded by the gateway's vigilsMu.
	ownerWatch *ownerWatch
	// unplacedLoggedAt is when it was last logged that no cell has room for a task of this one.
	unplacedLoggedAt cottonlanding.Millis
}

func newParticipant(g *Gateway, cell cottonlanding.CellNumber, cells int) *participant {
	p := &participant{
		gateway:     g,
		cell:        cell,
		partition:   partitionOf(cell),
		lastWaiting: make(map[cottonlanding.QueueName]waitingCount),
	}
	ready := make(chan struct{})
	p.holder = holder.New(holder.Dependencies{
		Table:   g.deps.Table,
		Watcher: g.watcher,
		Reader:  g.reader(ownersPartition(cell, cells)),
		Clock:   g.deps.Clock,
		Log:     g.deps.Log,
		Changed: func(view holder.View) {
			<-ready
			p.ownerChanged(view)
		},
		CellRequested: func(to holder.Member) {
			<-ready
			go p.yield(to)
		},
		Owned:      g.Owned,
		OwnedBy:    g.ownedBy,
		Cells:      g.cells,
		CellsKnown: g.ready.Load,
		Remote:     p.isRemote,
		Report:     p.encodeReport,
	}, cell, g.settings.Self, g.settings.Holder)
	close(ready)
	return p
}

// isRemote reports whether the cell's workers are of another data centre than this host. A
// host of theirs goes on to renew their leases when the data centre is cut off.
func (p *participant) isRemote() bool {
	layout := p.gateway.layout.Load()
	if layout == nil {
		return false
	}
	dataCentre, single := layout.CellDataCentre(p.cell)
	return single && dataCentre != p.gateway.settings.DataCentre
}

// isOwner reports whether this host believes to own the cell.
func (p *participant) isOwner() bool { return p.holder.ValidUntil() > 0 }

// ownerChanged starts a driver for an ownership of this host and ends the one before.
func (p *participant) ownerChanged(view holder.View) {
	p.endDriver()
	p.gateway.updateWatches()
	isOwner := view.Owner.Member == p.gateway.settings.Self && p.isOwner()
	p.gateway.followWorkersIfOwner()
	if !isOwner || p.gateway.leaving() {
		return
	}
	setup := planner.Setup{
		Partition: p.partition,
		Epoch:     view.Owner.Epoch,
		// The owner before renewed leases until it had lost the table for a while.
		BeforeUntil:      view.BeforeUntil + p.gateway.settings.Planner.CutOffGrace,
		BeforeOwnedUntil: view.BeforeUntil,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.driver = driver.New(driver.Dependencies{
		Cell:                  p.cell,
		Table:                 p.gateway.deps.Table,
		TableClock:            p.gateway.deps.TableClock,
		Workers:               p.gateway.deps.Workers,
		Clock:                 p.gateway.deps.Clock,
		Log:                   p.gateway.deps.Log.With("Cell", p.cell),
		ListWorkers:           p.listWorkers,
		ListedAt:              p.gateway.deps.ListedAt,
		Queues:                p.gateway.deps.Queues,
		Evacuations:           p.gateway.deps.Evacuations,
		ValidUntil:            p.holder.ValidUntil,
		ReferralTarget:        p.refer,
		HandOverTarget:        p.move,
		Deliver:               p.deliver,
		Delegate:              p.delegate,
		SendDelegationRequest: p.sendDelegationRequest,
		IsHome:                p.isHome,
		Siblings:              p.siblings,
		OnLost:                p.holder.Invalidate,
	}, setup, p.gateway.settings.Planner, p.gateway.settings.Policy)
}

// deliver hands a workflow of this home in at the cell that is to keep it.
func (p *participant) deliver(ctx context.Context, workflow cottonlanding.Workflow, to cottonlanding.CellNumber) error {
	destination := p.gateway.participant(to)
	if destination == nil {
		return fmt.Errorf("cell %s isn't known here: %w", to, cottonlanding.ErrUnavailable)
	}
	return destination.submit(ctx, workflow)
}

// isHome reports whether this cell is the home of a workflow.
func (p *participant) isHome(id cottonlanding.WorkflowID) bool {
	layout := p.gateway.layout.Load()
	return layout != nil && layout.Home(id) == p.cell
}

// siblings returns the partitions of all other cells.
func (p *participant) siblings() []cottonlanding.Partition {
	var out []cottonlanding.Partition
	for _, other := range *p.gateway.participants.Load() {
		if other != p {
			out = append(out, other.partition)
		}
	}
	return out
}

func (p *participant) endDriver() {
	p.mu.Lock()
	old := p.driver
	p.driver = nil
	p.mu.Unlock()
	if old != nil {
		old.Close()
	}
}

// local returns the driver if this host owns the cell.
func (p *participant) local() *driver.Driver {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.driver
}

// leave gives the cell up and keeps this host from owning it again.
func (p *participant) leave(ctx context.Context) {
	p.holder.Leave()
	old := p.local()
	if old == nil {
		return
	}
	old.Release(ctx)
	if err := p.holder.Release(ctx); err != nil {
		p.gateway.deps.Log.Warn("release workflows", "Cell", p.cell, "Error", err)
	}
	p.mu.Lock()
	p.driver = nil
	p.mu.Unlock()
}

// yield hands the cell over to a host that has more room for it. What was decided and
// isn't committed yet is dropped: a host that is too small for the work may need seconds
// for that, and nothing was ordered by it.
func (p *participant) yield(to holder.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), yieldTimeout.Duration())
	defer cancel()
	if err := p.holder.ReleaseTo(ctx, to); err != nil {
		p.gateway.deps.Log.Warn("hand over workflows", "Cell", p.cell, "To", to.ID, "Error", err)
	}
	p.holder.Nudge()
}

func (p *participant) close() {
	p.holder.Close()
	p.endDriver()
}
