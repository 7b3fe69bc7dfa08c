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

// handOverTimeout bounds the hand-over of a cell to a larger host. It allows several attempts of a write.
const handOverTimeout = 5 * cottonlanding.Second

// participant is this host's part in one cell. It follows the cell's owner, and drives the cell while this host owns
// it.
type participant struct {
	gateway   *Gateway
	cell      cottonlanding.CellNumber
	partition cottonlanding.Partition
	holder    *holder.Holder
	// unreachableUntil is until when calls are refused because neither the table nor the owner could be reached, in
	// milliseconds of the clock.
	unreachableUntil atomic.Int64
	// lastReplyAt is when an owner last answered a call, in milliseconds of the clock.
	lastReplyAt atomic.Int64

	mu          sync.Mutex
	driver      *driver.Driver
	lastWaiting map[cottonlanding.QueueName]waitingCount
	workers     cellWorkers
	// referred is the work that this host has recently referred or delegated to this cell from other cells. The report
	// of the cell's owner may not include it yet.
	referred []referredLoad
	// ownerWatch is this host's watch over the owner's process, guarded by Gateway.watchesMu.
	ownerWatch *ownerWatch
	// unplacedLoggedAt is when this cell last logged that no other cell has room for a task.
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
			go p.handOver(to)
		},
		Owned:      g.Owned,
		OwnedBy:    g.ownedBy,
		Cells:      g.cells,
		CellsKnown: g.ready.Load,
		Remote:     p.isRemote,
		TableClock: g.deps.TableClock,
		Leases:     p.nextLeases,
		Report:     p.encodeReport,
	}, cell, g.settings.Self, g.settings.Holder)
	close(ready)
	return p
}

// nextLeases returns what the next heartbeat of this owner is to say of its leases, nothing while it has not loaded the
// cell.
func (p *participant) nextLeases() holder.Leases {
	local, span := p.local(), p.gateway.settings.Planner.MaxLeasePastAnswer
	if local == nil {
		return holder.Leases{}
	}
	end := local.NextLeasesEnd()
	if end == 0 {
		return holder.Leases{}
	}
	return holder.Leases{Since: end - span, Span: span}
}

// isRemote reports whether all workers of the cell are in another data centre than this host. If that data centre is
// partitioned from the others, only a host inside can go on to renew their leases.
func (p *participant) isRemote() bool {
	layout := p.gateway.layout.Load()
	if layout == nil {
		return false
	}
	dataCentre, single := layout.CellDataCentre(p.cell)
	return single && dataCentre != p.gateway.settings.DataCentre
}

// isOwner reports whether this host owns the cell as far as it knows.
func (p *participant) isOwner() bool { return p.holder.ValidUntil() > 0 }

// ownerChanged closes the driver of an earlier ownership, and starts one if this host is the owner.
func (p *participant) ownerChanged(view holder.View) {
	p.endDriver()
	p.gateway.updateWatches()
	isOwner := view.Owner.Member == p.gateway.settings.Self && p.isOwner()
	p.gateway.followWorkersIfOwner()
	if !isOwner || p.gateway.leaving() {
		return
	}
	setup := planner.Setup{
		Partition:  p.partition,
		Epoch:      view.Owner.Epoch,
		FirstEpoch: view.Owner.FirstEpoch(),
		// The previous owner may have renewed leases for CutOffGrace after its ownership.
		BeforeUntil:      view.BeforeUntil + p.gateway.settings.Planner.CutOffGrace,
		EarlierLeasesEnd: view.EarlierLeasesEnd,
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
		LeasesEnd:             p.holder.LeasesEnd,
		ReferralTarget:        p.referralTarget,
		HandOverTarget:        p.handOverTarget,
		Deliver:               p.deliver,
		Delegate:              p.delegate,
		SendDelegationRequest: p.sendDelegationRequest,
		IsHome:                p.isHome,
		Siblings:              p.siblings,
		OnLost:                p.holder.Invalidate,
	}, setup, p.gateway.settings.Planner, p.gateway.settings.Policy)
}

// deliver submits a workflow of this home cell to the cell to which it is referred.
func (p *participant) deliver(ctx context.Context, workflow cottonlanding.Workflow, to cottonlanding.CellNumber) error {
	destination := p.gateway.participant(to)
	if destination == nil {
		return fmt.Errorf("cell %s isn't known here: %w", to, cottonlanding.ErrUnavailable)
	}
	return destination.submit(ctx, workflow, true)
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

// local returns the driver if this host owns the cell, else nil.
func (p *participant) local() *driver.Driver {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.driver
}

// leave releases the cell and keeps this host from owning it again.
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

// handOver hands the cell over to a larger host. It drops decisions that aren't committed yet, which have had no effect
// on workers: a host that is too small may need seconds to commit them.
func (p *participant) handOver(to holder.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout.Duration())
	defer cancel()
	if err := p.holder.ReleaseTo(ctx, to); err != nil {
		p.gateway.deps.Log.Warn("could not hand over the cell", "Cell", p.cell, "To", to.ID, "Error", err)
	}
	p.holder.Nudge()
}

func (p *participant) close() {
	p.holder.Close()
	p.endDriver()
}
