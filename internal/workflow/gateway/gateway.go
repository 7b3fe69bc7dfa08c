// Package gateway answers clients' calls about workflows at every host: it asks
// the owner, here or at another host, and the table when no owner can be asked.
package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/holder"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
	"github.com/cottonlanding/cottonlanding/internal/workflow/driver"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// Partition is where the workflows of a deployment are kept.
const Partition cottonlanding.Partition = "Workflows"

// Settings are what a gateway is told.
type Settings struct {
	Self        holder.Member
	PeerAddress cottonlanding.Address
	Holder      holder.Timing
	Planner     planner.Timing
	Policy      planner.Policy
}

// Dependencies are what a gateway works with.
type Dependencies struct {
	Table   cottonlanding.Table
	Workers cottonlanding.RunClient
	Clock   cottonlanding.Clock
	Log     *slog.Logger
	// FollowWorkers starts or stops following the list of workers, which only the
	// owner needs.
	FollowWorkers func(bool)
	ListWorkers   func() ([]cottonlanding.WorkerInfo, bool)
	Queues        func() cottonlanding.Queues
}

// Gateway is one host's part in the workflows.
type Gateway struct {
	settings  Settings
	deps      Dependencies
	holder    *holder.Holder
	messenger *messenger.Messenger

	// cutOffUntil is until when calls are refused because neither the table nor the
	// owner could be reached, in milliseconds of the clock.
	cutOffUntil atomic.Int64
	// answeredAt is when an owner last answered a call, on the same clock.
	answeredAt atomic.Int64

	mu     sync.Mutex
	driver *driver.Driver
	closed bool
}

// New starts to follow the owner, and to be it when nobody else is.
func New(settings Settings, deps Dependencies) (*Gateway, error) {
	g := &Gateway{settings: settings, deps: deps}
	var err error
	g.messenger, err = messenger.Serve(settings.PeerAddress, func(server grpc.ServiceRegistrar) {
		wire.RegisterWorkflowsServer(server, &peerServer{gateway: g})
	})
	if err != nil {
		return nil, err
	}
	ready := make(chan struct{})
	g.holder = holder.New(deps.Table, deps.Clock, Partition, settings.Self, settings.Holder, deps.Log, func(view holder.View) {
		<-ready
		g.ownerChanged(view)
	}, func(to holder.Member) {
		<-ready
		go g.yield(to)
	})
	close(ready)
	return g, nil
}

// ownerChanged starts a driver for an ownership of this host and ends the one before.
func (g *Gateway) ownerChanged(view holder.View) {
	g.endDriver()
	mine := view.Owner.Member == g.settings.Self && g.holder.ValidUntil() > 0
	g.deps.FollowWorkers(mine)
	if !mine {
		return
	}
	setup := planner.Setup{
		Partition: Partition,
		Epoch:     view.Owner.Epoch,
		Guard:     holder.Guard(Partition, view),
		// The owner before renewed leases until it had lost the table for a while.
		BeforeUntil: view.BeforeUntil + g.settings.Planner.CutOffGrace,
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.driver = driver.New(driver.Dependencies{
		Table:       g.deps.Table,
		Workers:     g.deps.Workers,
		Clock:       g.deps.Clock,
		Log:         g.deps.Log,
		ListWorkers: g.deps.ListWorkers,
		Queues:      g.deps.Queues,
		ValidUntil:  g.holder.ValidUntil,
		Lost:        g.holder.Lose,
	}, setup, g.settings.Planner, g.settings.Policy)
}

func (g *Gateway) endDriver() {
	g.mu.Lock()
	old := g.driver
	g.driver = nil
	g.mu.Unlock()
	if old != nil {
		old.Close()
	}
}

// local returns the driver if this host owns the workflows.
func (g *Gateway) local() *driver.Driver {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.driver
}

// InTouch returns when the table last confirmed who the owner is.
func (g *Gateway) InTouch() cottonlanding.Millis {
	return max(g.holder.View().Read, g.holder.ValidUntil()-g.settings.Holder.TTL)
}

// Slow reports whether the table is slow.
func (g *Gateway) Slow() bool { return g.holder.Slow() }

// Counts returns the counts of the cell if this host owns it.
func (g *Gateway) Counts() (planner.Counts, bool) {
	local := g.local()
	if local == nil {
		return planner.Counts{}, false
	}
	return local.Counts(), true
}

// Submit hands in a workflow. ErrUnavailable, ErrNotFound and ErrCannotRun mean
// that it was not accepted and never will be, ErrAmbiguous that it may be.
func (g *Gateway) Submit(ctx context.Context, workflow cottonlanding.Workflow) error {
	if local := g.local(); local != nil {
		return local.Submit(ctx, workflow)
	}
	body, err := json.Marshal(workflow)
	if err != nil {
		return fmt.Errorf("encode workflow: %w", err)
	}
	_, err = g.ask(ctx, func(ctx context.Context, owner wire.WorkflowsClient) (*wire.WorkflowReply, error) {
		return owner.Submit(ctx, &wire.WorkflowSubmit{Workflow: body})
	})
	return err
}

const (
	// ownerSilence is how long an owner's beat may stand still for calls to be sent
	// to it: three polls and a little more. After that they are refused at once,
	// which is true, rather than sent into the void, of which nobody could tell.
	ownerSilence = 1100 * cottonlanding.Millis(1)
	// cutOffPause is how long a host that can reach neither the table nor the owner
	// refuses calls before it tries the owner again.
	cutOffPause = cottonlanding.Second
	// doubtAfter is how long an owner may say nothing at all while a call waits for it;
	// then the next calls go over a new connection. It is several times what a commit
	// takes, and a third of what a client's call may. slowDoubtAfter is the same while
	// the table is slow, when both take longer.
	doubtAfter     = 400 * cottonlanding.Millis(1)
	slowDoubtAfter = 800 * cottonlanding.Millis(1)
)

// Cancel cancels a workflow. The errors are as for Submit.
func (g *Gateway) Cancel(ctx context.Context, id cottonlanding.WorkflowID) error {
	if local := g.local(); local != nil {
		return local.Cancel(ctx, id)
	}
	_, err := g.ask(ctx, func(ctx context.Context, owner wire.WorkflowsClient) (*wire.WorkflowReply, error) {
		return owner.Cancel(ctx, &wire.WorkflowName{Id: string(id)})
	})
	return err
}

// State returns the committed state of a workflow, from the table if the owner
// can't be asked, or ErrNotFound.
func (g *Gateway) State(ctx context.Context, id cottonlanding.WorkflowID) (cottonlanding.WorkflowState, error) {
	if local := g.local(); local != nil {
		if state, err := local.State(id); err == nil || errors.Is(err, cottonlanding.ErrNotFound) {
			return state, err
		}
		return g.readState(ctx, id)
	}
	reply, err := g.ask(ctx, func(ctx context.Context, owner wire.WorkflowsClient) (*wire.WorkflowReply, error) {
		ctx, cancel := context.WithTimeout(ctx, stateTimeout.Duration())
		defer cancel()
		return owner.State(ctx, &wire.WorkflowName{Id: string(id)})
	})
	if err == nil || errors.Is(err, cottonlanding.ErrNotFound) {
		return cottonlanding.WorkflowState(reply.GetState()), err
	}
	return g.readState(ctx, id)
}

// stateTimeout bounds a question to the owner, so that there is time left to read
// the table.
const stateTimeout = 600 * cottonlanding.Millis(1)

func (g *Gateway) readState(ctx context.Context, id cottonlanding.WorkflowID) (cottonlanding.WorkflowState, error) {
	rows, err := g.deps.Table.Read(ctx, planner.StateKey(Partition, id))
	if err != nil {
		return "", err
	}
	if len(rows) == 0 {
		return "", fmt.Errorf("workflow %s: %w", id, cottonlanding.ErrNotFound)
	}
	g.deps.Log.Info("state read from the table", "Workflow", id, "Version", rows[0].Version)
	return planner.StateOf(rows[0])
}

// Waiting counts the accepted workflows of a queue that have not begun.
func (g *Gateway) Waiting(ctx context.Context, queue cottonlanding.QueueName) (int, error) {
	if local := g.local(); local != nil {
		return local.Waiting(queue)
	}
	reply, err := g.ask(ctx, func(ctx context.Context, owner wire.WorkflowsClient) (*wire.WorkflowReply, error) {
		return owner.Waiting(ctx, &wire.QueueName{Queue: string(queue)})
	})
	return int(reply.GetWaiting()), err
}

// ask calls the owner at another host.
func (g *Gateway) ask(ctx context.Context, call func(context.Context, wire.WorkflowsClient) (*wire.WorkflowReply, error)) (*wire.WorkflowReply, error) {
	owner := g.holder.View().Owner
	if owner.ID == "" || owner.Member == g.settings.Self {
		return nil, fmt.Errorf("no owner of the workflows is known: %w", cottonlanding.ErrUnavailable)
	}
	if age := g.holder.View().BeatAge; age > ownerSilence && !g.holder.Slow() {
		return nil, fmt.Errorf("nothing was seen of owner %s for %s: %w", owner.ID, age, cottonlanding.ErrUnavailable)
	}
	if until := g.cutOffUntil.Load(); g.deps.Clock.Now() < cottonlanding.Millis(until) {
		return nil, fmt.Errorf("neither the table nor owner %s can be reached: %w", owner.ID, cottonlanding.ErrUnavailable)
	}
	connection, err := g.messenger.Connection(owner.Address)
	if err != nil {
		return nil, err
	}
	doubt := g.doubt(owner.Address, connection)
	reply, err := call(ctx, wire.NewWorkflowsClient(connection))
	doubt.Stop()
	if err != nil {
		g.messenger.Drop(owner.Address, connection)
		if !g.holder.Reading() {
			g.cutOffUntil.Store(int64(g.deps.Clock.Now() + cutOffPause))
		}
		g.holder.Nudge()
		return nil, fmt.Errorf("owner %s, epoch %d: %w", owner.ID, owner.Epoch, messenger.Error(err))
	}
	g.answeredAt.Store(int64(g.deps.Clock.Now()))
	return reply, messenger.ErrorOf(reply.GetCode(), reply.GetDetail())
}

// doubt lets later calls use a new connection once a call has waited for a while in
// which the owner answered no other either: the connection may have gone silent. The
// call itself goes on to wait on the old one.
func (g *Gateway) doubt(owner cottonlanding.Address, connection *grpc.ClientConn) *time.Timer {
	sent, after := g.deps.Clock.Now(), doubtAfter
	if g.holder.Slow() {
		after = slowDoubtAfter
	}
	return time.AfterFunc(after.Duration(), func() {
		if cottonlanding.Millis(g.answeredAt.Load()) <= sent {
			g.messenger.Drop(owner, connection)
		}
	})
}

// Leave gives up what this host owns and keeps it from owning again. Calls go on
// to be answered by the next owner until Close.
func (g *Gateway) Leave(ctx context.Context) {
	g.mu.Lock()
	g.closed = true
	old := g.driver
	g.mu.Unlock()
	g.holder.Leave()
	if old == nil {
		return
	}
	old.Release(ctx)
	if err := g.holder.Release(ctx); err != nil {
		g.deps.Log.Warn("release workflows", "Error", err)
	}
	g.mu.Lock()
	g.driver = nil
	g.mu.Unlock()
}

// yieldWithin bounds the hand-over to a larger host: some tries of a write.
const yieldWithin = 5 * cottonlanding.Second

// yield hands the workflows over to a host that has more room for them. What was
// decided and isn't committed yet is dropped: a host that is too small for the work
// may need seconds for that, and nothing was ordered by it.
func (g *Gateway) yield(to holder.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), yieldWithin.Duration())
	defer cancel()
	if err := g.holder.Yield(ctx, to); err != nil {
		g.deps.Log.Warn("hand over workflows", "To", to.ID, "Error", err)
	}
	g.holder.Nudge()
}

// Close ends the host's part.
func (g *Gateway) Close(ctx context.Context) {
	g.holder.Close()
	g.endDriver()
	g.messenger.Close(ctx)
}
