// Package gateway answers clients' calls about workflows at every host. It calls the owner of the workflow's cell, in
// this process or at another host, and reads the table if the owner can't be reached.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/holder"
	"github.com/cottonlanding/cottonlanding/internal/discovery/relayer"
	"github.com/cottonlanding/cottonlanding/internal/duty/repeater"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
	"github.com/cottonlanding/cottonlanding/internal/workflow/driver"
	"github.com/cottonlanding/cottonlanding/internal/workflow/partitioner"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// OperatorsKey names the row that holds a copy of the operators' table.
var OperatorsKey = layoutPartition.Key(cottonlanding.WatchedPrefix + "Operators")

// layoutPartition holds the layout, the copy of the operators' table, and the owner rows of some cells.
const layoutPartition cottonlanding.Partition = "Cells"

// ownersPerPartition is the maximum number of cells whose owner rows share a partition of the table. Each owner writes
// its heartbeats there; together they use a third of the writes that one partition takes.
const ownersPerPartition = 16

// ownersPartition returns the partition that holds the owner row of a cell. Hosts read all owner rows of a partition
// with one call.
func ownersPartition(cell cottonlanding.CellNumber, cells int) cottonlanding.Partition {
	partitions := (cells + ownersPerPartition - 1) / ownersPerPartition
	part := int(cell) % max(partitions, 1)
	if part == 0 {
		return layoutPartition
	}
	return layoutPartition + cottonlanding.Partition("."+strconv.Itoa(part))
}

// partitionOf returns the partition that holds the workflows of a cell. Each cell has its own, since the table
// serialises the writes of a partition.
func partitionOf(cell cottonlanding.CellNumber) cottonlanding.Partition {
	return cottonlanding.Partition("Workflows." + cell.String())
}

// Settings configures a Gateway.
type Settings struct {
	Self        holder.Member
	PeerAddress cottonlanding.Address
	DataCentre  cottonlanding.DataCentre
	Holder      holder.Timing
	Planner     planner.Timing
	Policy      planner.Policy
	Referral    cottonlanding.ReferralPolicy
	// WorkersPerCell is the number of workers that a cell should have.
	WorkersPerCell int
}

// Dependencies are the services that a Gateway uses.
type Dependencies struct {
	Table cottonlanding.Table
	// TableClock returns a reading of the table's clock, and false if there is none. It may be nil.
	TableClock func() (cottonlanding.TableReading, bool)
	// Watched is the feed of the table's watched rows.
	Watched cottonlanding.Feed
	Workers cottonlanding.RunClient
	Clock   cottonlanding.Clock
	Log     *slog.Logger
	// FollowWorkers starts or stops following the list of workers, which only owners need.
	FollowWorkers func(bool)
	// Lists relays the list of workers between the hosts that follow it.
	Lists       *relayer.Relay
	ListWorkers func() ([]cottonlanding.WorkerInfo, bool)
	// ListedAt returns the instant as of which that list is complete.
	ListedAt func() cottonlanding.Millis
	Queues   func() cottonlanding.Queues
	// Evacuations returns the data centres in which no new run may start.
	Evacuations func() cottonlanding.Evacuations
}

// Gateway is a host's access to all workflows. It also owns cells and drives their workflows.
type Gateway struct {
	settings  Settings
	deps      Dependencies
	messenger *messenger.Messenger
	watcher   *holder.Watcher
	// participants holds this host's participant in each cell, by cell number: in the first cell always, in the others
	// once the layout is known.
	participants atomic.Pointer[[]*participant]
	// layout is nil until it is known.
	layout     atomic.Pointer[partitioner.Layout]
	layoutLoop *repeater.Repeater
	// layoutKnownAt is when the first layout was read, ready whether calls are answered.
	layoutKnownAt atomic.Int64
	ready         atomic.Bool
	// referralsLoop finds out what became of referred workflows, and whether delegated ones are still open.
	referralsLoop *repeater.Repeater

	// Only New and, after it, the layout loop use the fields of this group.
	layoutVersion cottonlanding.Version
	// readers holds one reader for each partition of owner rows.
	readers map[cottonlanding.Partition]*holder.Reader
	// refusedVersion is the version of the last layout that was refused.
	refusedVersion cottonlanding.Version
	settling       settling

	// lifetime ends when the gateway is closed.
	lifetime    context.Context
	endLifetime context.CancelFunc
	// watchesMu guards the owner watches of all cells.
	watchesMu sync.Mutex

	mu sync.Mutex
	// left is set by Leave: this host takes no cells any more.
	left bool
}

// New starts to follow the owners of all cells, and to take over cells that have no owner. The error is that of the
// listener for other hosts.
func New(settings Settings, deps Dependencies) (*Gateway, error) {
	g := &Gateway{
		settings: settings,
		deps:     deps,
		readers:  make(map[cottonlanding.Partition]*holder.Reader),
	}
	g.lifetime, g.endLifetime = context.WithCancel(context.Background())
	g.participants.Store(&[]*participant{})
	if err := CheckTakeOverTime(settings.Holder, settings.Planner.Lease); err != nil {
		deps.Log.Warn("spans do not fit", "Error", err)
	}
	if err := driver.CheckDown(settings.Planner, settings.Holder.MaxTakeOver()); err != nil {
		deps.Log.Warn("spans do not fit", "Error", err)
	}
	var err error
	g.messenger, err = messenger.Serve(settings.PeerAddress, func(server grpc.ServiceRegistrar) {
		wire.RegisterWorkflowsServer(server, &peerServer{gateway: g})
		wire.RegisterListsServer(server, &listServer{source: deps.Lists})
	})
	if err != nil {
		return nil, err
	}
	g.watcher = holder.NewWatcher(deps.Watched, deps.Clock, deps.Log, settings.Holder.SlowCall)
	g.addParticipants(1)
	deps.Lists.ChooseBy(g.listSource)
	g.layoutLoop = repeater.New(layoutInterval, g.followLayout)
	g.watcher.Listen(layoutKey, g.layoutLoop.Nudge)
	g.referralsLoop = repeater.New(referralsInterval, g.resolveReferredAndDelegated)
	return g, nil
}

// addParticipants adds participants until there are count cells.
func (g *Gateway) addParticipants(count int) {
	next := slices.Clone(*g.participants.Load())
	for number := len(next); number < count; number++ {
		next = append(next, newParticipant(g, cottonlanding.CellNumber(number), count))
	}
	g.participants.Store(&next)
}

// reader returns the reader of a partition of owner rows.
func (g *Gateway) reader(partition cottonlanding.Partition) *holder.Reader {
	if g.readers[partition] == nil {
		g.readers[partition] = holder.NewReader(g.deps.Table, g.deps.Clock, g.watcher, partition)
	}
	return g.readers[partition]
}

// participant returns this host's participant in a cell, or nil if the layout known here has no such cell.
func (g *Gateway) participant(cell cottonlanding.CellNumber) *participant {
	participants := *g.participants.Load()
	if cell < 0 || int(cell) >= len(participants) {
		return nil
	}
	return participants[cell]
}

// home returns this host's participant in the home cell of a workflow, to which its id maps. The error is
// ErrUnavailable until the gateway is ready (see Ready).
func (g *Gateway) home(id cottonlanding.WorkflowID) (*participant, error) {
	if !g.Ready() {
		return nil, fmt.Errorf("the cells are not known yet: %w", cottonlanding.ErrUnavailable)
	}
	return g.participant(g.layout.Load().Home(id)), nil
}

// Owned returns the number of cells that this host owns.
func (g *Gateway) Owned() int {
	count := 0
	for _, p := range *g.participants.Load() {
		if p.isOwner() {
			count++
		}
	}
	return count
}

// ownedBy returns the number of cells that a host owns according to the owner rows read here.
func (g *Gateway) ownedBy(owner cottonlanding.SessionID) int {
	count := 0
	for _, p := range *g.participants.Load() {
		if p.holder.View().Owner.ID == owner {
			count++
		}
	}
	return count
}

// Idle reports whether there are several cells of which this host owns none.
func (g *Gateway) Idle() bool { return g.cells() > 1 && g.Owned() == 0 }

// OwnsFirstCell reports whether there are several cells and this host owns the first one.
func (g *Gateway) OwnsFirstCell() bool { return g.cells() > 1 && g.participant(firstCell).isOwner() }

// Watcher returns the follower of the table's watched rows.
func (g *Gateway) Watcher() *holder.Watcher { return g.watcher }

// cells returns the number of cells, 1 until the layout is known.
func (g *Gateway) cells() int { return max(1, len(*g.participants.Load())) }

// followWorkersIfOwner follows the list of workers while this host owns a cell.
func (g *Gateway) followWorkersIfOwner() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deps.FollowWorkers(g.Owned() > 0)
}

// LastConfirmedAt returns when the table last confirmed the owners, in milliseconds of the clock.
func (g *Gateway) LastConfirmedAt() cottonlanding.Millis {
	latest := g.watcher.LastContactAt()
	for _, p := range *g.participants.Load() {
		latest = max(latest, p.holder.View().Read, p.holder.ValidUntil()-g.settings.Holder.TTL)
	}
	return latest
}

// Slow reports whether calls of the table are slow.
func (g *Gateway) Slow() bool {
	if g.watcher.Slow() {
		return true
	}
	for _, p := range *g.participants.Load() {
		if p.holder.Slow() {
			return true
		}
	}
	return false
}

// Counts returns the sum of the counters of the cells that this host owns, and whether it owns any.
func (g *Gateway) Counts() (planner.Counts, bool) {
	var sum planner.Counts
	owns := false
	for _, p := range *g.participants.Load() {
		if local := p.local(); local != nil {
			sum.Add(local.Counts())
			owns = true
		}
	}
	return sum, owns
}

// Submit submits a workflow. ErrUnavailable, ErrNotFound and ErrCannotRun mean that it was not accepted and never will
// be, ErrBusy that it was rejected because of overload, with a retry time, and ErrAmbiguous that it may have been
// accepted.
func (g *Gateway) Submit(ctx context.Context, workflow cottonlanding.Workflow) error {
	if err := workflow.Check(); err != nil {
		return err // before it is sent to another host
	}
	return g.callFollowingReferral(workflow.ID, func(p *participant) error { return p.submit(ctx, workflow, false) })
}

// Cancel cancels a workflow. The errors are those of Submit.
func (g *Gateway) Cancel(ctx context.Context, id cottonlanding.WorkflowID) error {
	return g.callFollowingReferral(id, func(p *participant) error { return p.cancel(ctx, id) })
}

// State returns the committed state of a workflow, read from the table if the owner can't be reached. The error is
// ErrNotFound if there is no such workflow.
func (g *Gateway) State(ctx context.Context, id cottonlanding.WorkflowID) (cottonlanding.WorkflowState, error) {
	var state cottonlanding.WorkflowState
	err := g.callFollowingReferral(id, func(p *participant) error {
		var err error
		state, err = p.state(ctx, id)
		return err
	})
	return state, err
}

// callFollowingReferral calls the home cell of a workflow and, if that has referred the workflow, the cell that has it.
func (g *Gateway) callFollowingReferral(id cottonlanding.WorkflowID, call func(*participant) error) error {
	homeParticipant, err := g.home(id)
	if err != nil {
		return err
	}
	err = call(homeParticipant)
	var referred *driver.ReferredError
	if !errors.As(err, &referred) {
		return err
	}
	destination := g.participant(referred.To)
	if destination == nil {
		return fmt.Errorf("workflow %s is kept in cell %s, which isn't known here: %w", id, referred.To, cottonlanding.ErrUnavailable)
	}
	return call(destination)
}

// Waiting returns the number of accepted workflows of a queue that have not started, in all cells.
func (g *Gateway) Waiting(ctx context.Context, queue cottonlanding.QueueName) (int, error) {
	if !g.Ready() {
		return 0, fmt.Errorf("the cells are not known yet: %w", cottonlanding.ErrUnavailable)
	}
	participants := *g.participants.Load()
	counts, errs := make([]int, len(participants)), make([]error, len(participants))
	var queries sync.WaitGroup
	for at, p := range participants {
		queries.Go(func() { counts[at], errs[at] = p.waiting(ctx, queue) })
	}
	queries.Wait()
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum, errors.Join(errs...)
}

// Leave releases the cells that this host owns and keeps it from taking any. Calls are forwarded to the next owners
// until Close.
func (g *Gateway) Leave(ctx context.Context) {
	g.mu.Lock()
	g.left = true
	g.mu.Unlock()
	g.updateWatches()
	var released sync.WaitGroup
	for _, p := range *g.participants.Load() {
		released.Go(func() { p.leave(ctx) })
	}
	released.Wait()
}

// leaving reports whether this host takes no cells any more.
func (g *Gateway) leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.left
}

// Close stops all activity of the gateway without releasing its cells.
func (g *Gateway) Close(ctx context.Context) {
	g.endLifetime()
	g.layoutLoop.Close()
	g.referralsLoop.Close()
	for _, p := range *g.participants.Load() {
		p.close()
	}
	g.watcher.Close()
	g.messenger.Close(ctx)
}
