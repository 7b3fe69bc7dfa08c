package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
	"github.com/cottonlanding/cottonlanding/internal/workflow/driver"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// maxHeartbeatAge is the maximum age of an owner's heartbeat for calls to be sent to it and its report to be used. It
	// is longer than three intervals between heartbeats (900 ms) and shorter than holderTTL. Calls to an owner with an
	// older heartbeat are refused at once: their outcome would be unknown.
	maxHeartbeatAge = 1100 * cottonlanding.Millis(1)
	// unreachableBackoff is how long a host that can reach neither the table nor the owner refuses calls before it tries
	// the owner again.
	unreachableBackoff = cottonlanding.Second
	// reconnectDelay is how long an owner may answer no call, while one waits for it, before later calls use a new
	// connection. It is several times the duration of a commit and a third of a client's time limit.
	// slowReconnectDelay applies while the table is slow, when both take longer.
	reconnectDelay     = 400 * cottonlanding.Millis(1)
	slowReconnectDelay = 800 * cottonlanding.Millis(1)
	// stateTimeout bounds a state query to the owner, so that there is time left to read the table.
	stateTimeout = 600 * cottonlanding.Millis(1)
	// maxWaitingAge is the maximum age of a count of waiting workflows that is used while the owner can't be reached.
	maxWaitingAge = 1500 * cottonlanding.Millis(1)
)

// callOwner calls the owner at another host. The error is a ReferredError if the workflow is in another cell, and
// ErrUnavailable, without a call, if the owner is unknown, its heartbeat is older than maxHeartbeatAge although
// the table isn't slow, or it was unreachable just before.
func (p *participant) callOwner(ctx context.Context, call func(context.Context, wire.WorkflowsClient) (*wire.WorkflowReply, error)) (*wire.WorkflowReply, error) {
	owner := p.holder.View().Owner
	if owner.ID == "" || owner.Member == p.gateway.settings.Self {
		return nil, fmt.Errorf("no owner of cell %s is known: %w", p.cell, cottonlanding.ErrUnavailable)
	}
	if age := p.holder.View().BeatAge; age > maxHeartbeatAge && !p.holder.Slow() {
		return nil, fmt.Errorf("nothing was seen of owner %s for %s: %w", owner.ID, age, cottonlanding.ErrUnavailable)
	}
	if until := p.unreachableUntil.Load(); p.gateway.deps.Clock.Now() < cottonlanding.Millis(until) {
		return nil, fmt.Errorf("neither the table nor owner %s can be reached: %w", owner.ID, cottonlanding.ErrUnavailable)
	}
	connection, err := p.gateway.messenger.Connection(owner.Address)
	if err != nil {
		return nil, err
	}
	reconnectTimer := p.reconnectTimer(owner.Address, connection)
	reply, err := call(ctx, wire.NewWorkflowsClient(connection))
	reconnectTimer.Stop()
	if err != nil {
		p.gateway.messenger.Drop(owner.Address, connection)
		if !p.holder.TableReachable() {
			p.unreachableUntil.Store(int64(p.gateway.deps.Clock.Now() + unreachableBackoff))
		}
		p.holder.Nudge()
		return nil, fmt.Errorf("owner %s, epoch %d: %w", owner.ID, owner.Epoch, messenger.Error(err))
	}
	p.lastReplyAt.Store(int64(p.gateway.deps.Clock.Now()))
	if reply.GetElsewhere() {
		return nil, &driver.ReferredError{To: cottonlanding.CellNumber(reply.GetCell())}
	}
	return reply, messenger.ErrorOf(reply.GetCode(), reply.GetDetail())
}

// reconnectTimer drops the connection for later calls if the owner answers no call within reconnectDelay, since the
// connection may be dead without an error. The current call keeps waiting on it.
func (p *participant) reconnectTimer(owner cottonlanding.Address, connection *grpc.ClientConn) *time.Timer {
	sent, after := p.gateway.deps.Clock.Now(), reconnectDelay
	if p.holder.Slow() {
		after = slowReconnectDelay
	}
	return time.AfterFunc(after.Duration(), func() {
		if cottonlanding.Millis(p.lastReplyAt.Load()) <= sent {
			p.gateway.messenger.Drop(owner, connection)
			p.holder.Nudge() // the owner itself may have ended
		}
	})
}

// handedOverKey is the metadata key that is set if the workflow of a submission is handed over.
const handedOverKey = "handed-over"

// submit submits a workflow to its home cell, or to the cell to which its home has referred it or handed it over.
func (p *participant) submit(ctx context.Context, workflow cottonlanding.Workflow, handedOver bool) error {
	if local := p.local(); local != nil {
		return p.submitLocal(ctx, local, workflow, handedOver)
	}
	body, err := json.Marshal(workflow)
	if err != nil {
		return fmt.Errorf("encode workflow: %w", err)
	}
	if handedOver {
		ctx = metadata.AppendToOutgoingContext(ctx, handedOverKey, "1")
	}
	var trailer metadata.MD
	_, err = p.callOwner(ctx, func(ctx context.Context, owner wire.WorkflowsClient) (*wire.WorkflowReply, error) {
		return owner.Submit(ctx, &wire.WorkflowSubmit{Workflow: body, Cell: int32(p.cell)}, grpc.Trailer(&trailer))
	})
	return messenger.WithRetryAfter(err, trailer)
}

// submitLocal submits a workflow to the driver of this cell.
func (p *participant) submitLocal(ctx context.Context, local *driver.Driver, workflow cottonlanding.Workflow, handedOver bool) error {
	home, err := p.gateway.home(workflow.ID)
	if err != nil {
		return err
	}
	switch {
	case home == p:
		return local.Submit(ctx, workflow)
	case handedOver:
		return local.SubmitHandedOver(ctx, workflow)
	}
	return local.SubmitReferred(ctx, workflow)
}

func (p *participant) cancel(ctx context.Context, id cottonlanding.WorkflowID) error {
	if local := p.local(); local != nil {
		return local.Cancel(ctx, id)
	}
	var trailer metadata.MD
	_, err := p.callOwner(ctx, func(ctx context.Context, owner wire.WorkflowsClient) (*wire.WorkflowReply, error) {
		return owner.Cancel(ctx, &wire.WorkflowName{Id: string(id), Cell: int32(p.cell)}, grpc.Trailer(&trailer))
	})
	return messenger.WithRetryAfter(err, trailer)
}

// state returns the committed state of a workflow, read from the table if the owner can't be reached.
func (p *participant) state(ctx context.Context, id cottonlanding.WorkflowID) (cottonlanding.WorkflowState, error) {
	state, err := p.queryState(ctx, id)
	var referred *driver.ReferredError
	if err == nil || errors.Is(err, cottonlanding.ErrNotFound) || errors.As(err, &referred) {
		return state, err
	}
	return p.readState(ctx, id)
}

func (p *participant) queryState(ctx context.Context, id cottonlanding.WorkflowID) (cottonlanding.WorkflowState, error) {
	if local := p.local(); local != nil {
		return local.State(id)
	}
	reply, err := p.callOwner(ctx, func(ctx context.Context, owner wire.WorkflowsClient) (*wire.WorkflowReply, error) {
		ctx, cancel := context.WithTimeout(ctx, stateTimeout.Duration())
		defer cancel()
		return owner.State(ctx, &wire.WorkflowName{Id: string(id), Cell: int32(p.cell)})
	})
	return cottonlanding.WorkflowState(reply.GetState()), err
}

// waitingCount is the number of waiting workflows of a queue at an instant.
type waitingCount struct {
	count int
	at    cottonlanding.Millis
}

// waiting returns the number of workflows of a queue in this cell that have not started. If the owner can't be reached,
// its last count is used for up to maxWaitingAge.
func (p *participant) waiting(ctx context.Context, queue cottonlanding.QueueName) (int, error) {
	now := p.gateway.deps.Clock.Now()
	count, err := p.queryWaiting(ctx, queue)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.lastWaiting[queue] = waitingCount{count, now}
		return count, nil
	}
	if last, known := p.lastWaiting[queue]; known && now-last.at <= maxWaitingAge {
		return last.count, nil
	}
	return 0, err
}

func (p *participant) queryWaiting(ctx context.Context, queue cottonlanding.QueueName) (int, error) {
	if local := p.local(); local != nil {
		return local.Waiting(queue)
	}
	reply, err := p.callOwner(ctx, func(ctx context.Context, owner wire.WorkflowsClient) (*wire.WorkflowReply, error) {
		return owner.Waiting(ctx, &wire.QueueName{Queue: string(queue), Cell: int32(p.cell)})
	})
	return int(reply.GetWaiting()), err
}

// readState reads the state of a workflow of this cell from the table.
func (p *participant) readState(ctx context.Context, id cottonlanding.WorkflowID) (cottonlanding.WorkflowState, error) {
	rows, err := p.gateway.deps.Table.Read(ctx, planner.StateKey(p.partition, id))
	if err != nil {
		return "", err
	}
	if len(rows) == 0 {
		return p.readReferral(ctx, id)
	}
	p.gateway.deps.Log.Info("workflow state read from the table instead of the owner", "Workflow", id, "Cell", p.cell, "Version", rows[0].Version)
	return planner.StateOf(rows[0])
}

// readReferral reads the referral of a workflow that isn't in this cell. The error is a ReferredError, or ErrNotFound
// if there is no referral. A pending referral gives WorkflowPending.
func (p *participant) readReferral(ctx context.Context, id cottonlanding.WorkflowID) (cottonlanding.WorkflowState, error) {
	rows, err := p.gateway.deps.Table.Read(ctx, planner.ReferralKey(p.partition, id))
	if err != nil {
		return "", err
	}
	if len(rows) == 0 {
		return "", fmt.Errorf("workflow %s: %w", id, cottonlanding.ErrNotFound)
	}
	to, pending, err := planner.DecodeReferral(rows[0])
	if err != nil {
		return "", err
	}
	if pending {
		return cottonlanding.WorkflowPending, nil
	}
	return "", &driver.ReferredError{To: to}
}
