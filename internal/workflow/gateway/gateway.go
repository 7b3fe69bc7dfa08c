// Package gateway answers clients' calls about workflows at every host: it asks
// the owner of the workflow's cell, here or at another host, and the table when no
// owner can be asked.
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

// layoutPartition holds the layout, what operators wrote, and the owners of the first cells.
const layoutPartition cottonlanding.Partition = "Cells"

// ownersPerPartition is how many cells' owners share a partition of the table at most, whose
// beats are the writes of them: a third of what the table takes of one partition.
const ownersPerPartition = 16

// ownersPartition returns where it stands who owns a cell. Others look at the beats of a
// partition's owners with one call.
func ownersPartition(cell cottonlanding.CellNumber, cells int) cottonlanding.Partition {
	partitions := (cells + ownersPerPartition - 1) / ownersPerPartition
	part := int(cell) % max(partitions, 1)
	if part == 0 {
		return layoutPartition
	}
	return layoutPartition + cottonlanding.Partition("."+strconv.Itoa(part))
}

// partitionOf returns where the workflows of a cell are kept: each cell has a partition of
// its own, since the table takes the writes of one partition one after another.
func partitionOf(cell cottonlanding.CellNumber) cottonlanding.Partition {
	return cottonlanding.Partition("Workflows." + cell.String())
}

// Settings are what a gateway is told.
type Settings struct {
	Self        holder.Member
	PeerAddress cottonlanding.Address
	DataCentre  cottonlanding.DataCentre
	Holder      holder.Timing
	Planner     planner.Timing
	Policy      planner.Policy
	Referral    cottonlanding.ReferralPolicy
	// WorkersPerCell is how many workers a cell should have.
	WorkersPerCell int
}

// Dependencies are what a gateway works with.
type Dependencies struct {
	Table cottonlanding.Table
	// TableClock returns a reading of the table's clock, and false while there is none. It may be nil.
	TableClock func() (cottonlanding.TableReading, bool)
	// Watched tells of the table's watched rows.
	Watched cottonlanding.Feed
	Workers cottonlanding.RunClient
	Clock   cottonlanding.Clock
	Log     *slog.Logger
	// FollowWorkers starts or stops following the list of workers, which only owners
	// need.
	FollowWorkers func(bool)
	// Lists relays the list of workers between the hosts that follow it.
	Lists       *relayer.Relay
	ListWorkers func() ([]cottonlanding.WorkerInfo, bool)
	// ListedAt returns as of when that list is complete.
	ListedAt func() cottonlanding.Millis
	Queues   func() cottonlanding.Queues
	// Evacuations returns where nothing new may start.
	Evacuations func() cottonlanding.Evacuations
}

// Gateway is one host's part in the workflows.
type Gateway struct {
	settings  Settings
	deps      Dependencies
	messenger *messenger.Messenger
	watcher   *holder.Watcher
	// participants holds this host's part in each cell that is known; the first is there from
	// the start.
	participants atomic.Pointer[[]*participant]
	// layout is nil before it is known.
	layout     atomic.Pointer[partitioner.Layout]
	layoutLoop *repeater.Repeater
	// layoutKnownAt is when the layout came to be known, ready that calls are answered since.
	layoutKnownAt atomic.Int64
	ready         atomic.Bool
	// referralsLoop settles what became of referred workflows.
	referralsLoop *repeater.Repeater

	// The fields below belong to the layout's duty.
	layoutVersion cottonlanding.Version
	// readers holds one for each partition of owners.
	readers map[cottonlanding.Partition]*holder.Reader
	// refusedVersion is that of a layout that couldn't be read.
	refusedVersion cottonlanding.Version
	settling       settling

	// lifetime ends with the host's part.
	lifetime    context.Context
	endLifetime context.CancelFunc
	// watchesMu guards the watches of all cells.
	watchesMu sync.Mutex

	mu     sync.Mutex
	closed bool
}

// New starts to follow the owners of all cells, and to own cells when nobody else does.
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
	if err := driver.CheckDown(settings.Planner); err != nil {
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
	g.referralsLoop = repeater.New(referralsInterval, g.resolveReferrals)
	return g, nil
}

// addParticipants takes part in cells until there are as many as count.
func (g *Gateway) addParticipants(count int) {
	next := slices.Clone(*g.participants.Load())
	for number := len(next); number < count; number++ {
		next = append(next, newParticipant(g, cottonlanding.CellNumber(number), count))
	}
	g.participants.Store(&next)
}

// reader returns the reader of a partition of owners.
func (g *Gateway) reader(partition cottonlanding.Partition) *holder.Reader {
	if g.readers[partition] == nil {
		g.readers[partition] = holder.NewReader(g.deps.Table, g.deps.Clock, g.watcher, partition)
	}
	return g.readers[partition]
}

// participant returns this host's part in a cell, or nil if the cell isn't known here.
func (g *Gateway) participant(cell cottonlanding.CellNumber) *participant {
	participants := *g.participants.Load()
	if cell < 0 || int(cell) >= len(participants) {
		return nil
	}
	return participants[cell]
}

// home returns this host's part in the cell that knows of a workflow.
func (g *Gateway) home(id cottonlanding.WorkflowID) (*participant, error) {
	if !g.Ready() {
		return nil, fmt.Errorf("the cells are not known yet: %w", cottonlanding.ErrUnavailable)
	}
	return g.participant(g.layout.Load().Home(id)), nil
}

// Owned counts the cells that this host owns.
func (g *Gateway) Owned() int {
	count := 0
	for _, p := range *g.participants.Load() {
		if p.isOwner() {
			count++
		}
	}
	return count
}

// ownedBy counts the cells that a host owns, as far as is known here.
func (g *Gateway) ownedBy(owner cottonlanding.SessionID) int {
	count := 0
	for _, p := range *g.participants.Load() {
		if p.holder.View().Owner.ID == owner {
			count++
		}
	}
	return count
}

// Idle reports whether this host owns none of several cells.
func (g *Gateway) Idle() bool { return g.cells() > 1 && g.Owned() == 0 }

// OwnsFirstCell reports whether this host owns the first of several cells.
func (g *Gateway) OwnsFirstCell() bool { return g.cells() > 1 && g.participant(firstCell).isOwner() }

// Watcher returns what this host knows of the watched rows.
func (g *Gateway) Watcher() *holder.Watcher { return g.watcher }

// cells counts the cells; before the layout is known there is one.
func (g *Gateway) cells() int { return max(1, len(*g.participants.Load())) }

// followWorkersIfOwner follows the list of workers while this host owns a cell.
func (g *Gateway) followWorkersIfOwner() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deps.FollowWorkers(g.Owned() > 0)
}

// LastConfirmedAt returns when the table last confirmed who the owners are.
func (g *Gateway) LastConfirmedAt() cottonlanding.Millis {
	latest := g.watcher.LastContactAt()
	for _, p := range *g.participants.Load() {
		latest = max(latest, p.holder.View().Read, p.holder.ValidUntil()-g.settings.Holder.TTL)
	}
	return latest
}

// Slow reports whether the table is slow.
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

// Counts returns the counts of the cells that this host owns, and whether there are any.
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

// Submit hands in a workflow. ErrUnavailable, ErrNotFound and ErrCannotRun mean
// that it was not accepted and never will be, ErrAmbiguous that it may be.
func (g *Gateway) Submit(ctx context.Context, workflow cottonlanding.Workflow) error {
	return g.callFollowingReferral(workflow.ID, func(p *participant) error { return p.submit(ctx, workflow) })
}

// Cancel cancels a workflow. The errors are as for Submit.
func (g *Gateway) Cancel(ctx context.Context, id cottonlanding.WorkflowID) error {
	return g.callFollowingReferral(id, func(p *participant) error { return p.cancel(ctx, id) })
}

// State returns the committed state of a workflow, from the table if the owner
// can't be asked, or ErrNotFound.
func (g *Gateway) State(ctx context.Context, id cottonlanding.WorkflowID) (cottonlanding.WorkflowState, error) {
	var state cottonlanding.WorkflowState
	err := g.callFollowingReferral(id, func(p *participant) error {
		var err error
		state, err = p.state(ctx, id)
		return err
	})
	return state, err
}

// callFollowingReferral asks a workflow's home, and the cell that keeps the workflow if that is another.
func (g *Gateway) callFollowingReferral(id cottonlanding.WorkflowID, call func(*participant) error) error {
	s, err := g.home(id)
	if err != nil {
		return err
	}
	err = call(s)
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

// Waiting counts the accepted workflows of a queue that have not begun, in all cells.
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

// Leave gives up what this host owns and keeps it from owning again. Calls go on
// to be answered by the next owners until Close.
func (g *Gateway) Leave(ctx context.Context) {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.updateWatches()
	var left sync.WaitGroup
	for _, p := range *g.participants.Load() {
		left.Go(func() { p.leave(ctx) })
	}
	left.Wait()
}

// leaving reports whether this host takes nothing over any more.
func (g *Gateway) leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// Close ends the host's part.
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
