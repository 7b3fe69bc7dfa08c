package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
	"github.com/cottonlanding/cottonlanding/internal/workflow/driver"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

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
	// stateTimeout bounds a question to the owner, so that there is time left to read
	// the table.
	stateTimeout = 600 * cottonlanding.Millis(1)
	// waitingAge is how old a count of what waits may be that stands for an owner which
	// can't be asked.
	waitingAge = 1500 * cottonlanding.Millis(1)
)

// ask calls the owner at another host.
func (s *seat) ask(ctx context.Context, call func(context.Context, wire.WorkflowsClient) (*wire.WorkflowReply, error)) (*wire.WorkflowReply, error) {
	owner := s.holder.View().Owner
	if owner.ID == "" || owner.Member == s.gateway.settings.Self {
		return nil, fmt.Errorf("no owner of cell %s is known: %w", s.cell, cottonlanding.ErrUnavailable)
	}
	if age := s.holder.View().BeatAge; age > ownerSilence && !s.holder.Slow() {
		return nil, fmt.Errorf("nothing was seen of owner %s for %s: %w", owner.ID, age, cottonlanding.ErrUnavailable)
	}
	if until := s.cutOffUntil.Load(); s.gateway.deps.Clock.Now() < cottonlanding.Millis(until) {
		return nil, fmt.Errorf("neither the table nor owner %s can be reached: %w", owner.ID, cottonlanding.ErrUnavailable)
	}
	connection, err := s.gateway.messenger.Connection(owner.Address)
	if err != nil {
		return nil, err
	}
	doubt := s.doubt(owner.Address, connection)
	reply, err := call(ctx, wire.NewWorkflowsClient(connection))
	doubt.Stop()
	if err != nil {
		s.gateway.messenger.Drop(owner.Address, connection)
		if !s.holder.TableReachable() {
			s.cutOffUntil.Store(int64(s.gateway.deps.Clock.Now() + cutOffPause))
		}
		s.holder.Nudge()
		return nil, fmt.Errorf("owner %s, epoch %d: %w", owner.ID, owner.Epoch, messenger.Error(err))
	}
	s.answeredAt.Store(int64(s.gateway.deps.Clock.Now()))
	if reply.GetElsewhere() {
		return nil, &driver.ReferredError{To: cottonlanding.CellNumber(reply.GetCell())}
	}
	return reply, messenger.ErrorOf(reply.GetCode(), reply.GetDetail())
}

// doubt lets later calls use a new connection once a call has waited for a while in
// which the owner answered no other either: the connection may have gone silent. The
// call itself goes on to wait on the old one.
func (s *seat) doubt(owner cottonlanding.Address, connection *grpc.ClientConn) *time.Timer {
	sent, after := s.gateway.deps.Clock.Now(), doubtAfter
	if s.holder.Slow() {
		after = slowDoubtAfter
	}
	return time.AfterFunc(after.Duration(), func() {
		if cottonlanding.Millis(s.answeredAt.Load()) <= sent {
			s.gateway.messenger.Drop(owner, connection)
			s.holder.Nudge() // the owner itself may be gone
		}
	})
}

// submit hands in a workflow at its home, or at the cell that its home has referred it
// to.
func (s *seat) submit(ctx context.Context, workflow cottonlanding.Workflow) error {
	if local := s.local(); local != nil {
		return s.hand(ctx, local, workflow)
	}
	body, err := json.Marshal(workflow)
	if err != nil {
		return fmt.Errorf("encode workflow: %w", err)
	}
	_, err = s.ask(ctx, func(ctx context.Context, owner wire.WorkflowsClient) (*wire.WorkflowReply, error) {
		return owner.Submit(ctx, &wire.WorkflowSubmit{Workflow: body, Cell: int32(s.cell)})
	})
	return err
}

// hand gives a workflow to the driver of this cell.
func (s *seat) hand(ctx context.Context, local *driver.Driver, workflow cottonlanding.Workflow) error {
	home, err := s.gateway.home(workflow.ID)
	if err != nil {
		return err
	}
	if home == s {
		return local.Submit(ctx, workflow)
	}
	return local.SubmitReferred(ctx, workflow)
}

func (s *seat) cancel(ctx context.Context, id cottonlanding.WorkflowID) error {
	if local := s.local(); local != nil {
		return local.Cancel(ctx, id)
	}
	_, err := s.ask(ctx, func(ctx context.Context, owner wire.WorkflowsClient) (*wire.WorkflowReply, error) {
		return owner.Cancel(ctx, &wire.WorkflowName{Id: string(id), Cell: int32(s.cell)})
	})
	return err
}

// state returns the committed state of a workflow, from the table if the owner can't be
// asked.
func (s *seat) state(ctx context.Context, id cottonlanding.WorkflowID) (cottonlanding.WorkflowState, error) {
	state, err := s.askState(ctx, id)
	var referred *driver.ReferredError
	if err == nil || errors.Is(err, cottonlanding.ErrNotFound) || errors.As(err, &referred) {
		return state, err
	}
	return s.readState(ctx, id)
}

func (s *seat) askState(ctx context.Context, id cottonlanding.WorkflowID) (cottonlanding.WorkflowState, error) {
	if local := s.local(); local != nil {
		return local.State(id)
	}
	reply, err := s.ask(ctx, func(ctx context.Context, owner wire.WorkflowsClient) (*wire.WorkflowReply, error) {
		ctx, cancel := context.WithTimeout(ctx, stateTimeout.Duration())
		defer cancel()
		return owner.State(ctx, &wire.WorkflowName{Id: string(id), Cell: int32(s.cell)})
	})
	return cottonlanding.WorkflowState(reply.GetState()), err
}

// waitingCount is a count of what waits, as of an instant.
type waitingCount struct {
	count int
	at    cottonlanding.Millis
}

// waiting counts the workflows of a queue in this cell that have not begun. For an owner
// that can't be asked its last count stands for a while.
func (s *seat) waiting(ctx context.Context, queue cottonlanding.QueueName) (int, error) {
	now := s.gateway.deps.Clock.Now()
	count, err := s.askWaiting(ctx, queue)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.lastWaiting[queue] = waitingCount{count, now}
		return count, nil
	}
	if last, known := s.lastWaiting[queue]; known && now-last.at <= waitingAge {
		return last.count, nil
	}
	return 0, err
}

func (s *seat) askWaiting(ctx context.Context, queue cottonlanding.QueueName) (int, error) {
	if local := s.local(); local != nil {
		return local.Waiting(queue)
	}
	reply, err := s.ask(ctx, func(ctx context.Context, owner wire.WorkflowsClient) (*wire.WorkflowReply, error) {
		return owner.Waiting(ctx, &wire.QueueName{Queue: string(queue), Cell: int32(s.cell)})
	})
	return int(reply.GetWaiting()), err
}

// readState reads the state of a workflow of this cell from the table.
func (s *seat) readState(ctx context.Context, id cottonlanding.WorkflowID) (cottonlanding.WorkflowState, error) {
	rows, err := s.gateway.deps.Table.Read(ctx, planner.StateKey(s.partition, id))
	if err != nil {
		return "", err
	}
	if len(rows) == 0 {
		return s.readReferral(ctx, id)
	}
	s.gateway.deps.Log.Info("state read from the table", "Workflow", id, "Cell", s.cell, "Version", rows[0].Version)
	return planner.StateOf(rows[0])
}

// readReferral reads where a workflow is kept that isn't in this cell. The error is a
// ReferredError, or ErrNotFound if it is nowhere.
func (s *seat) readReferral(ctx context.Context, id cottonlanding.WorkflowID) (cottonlanding.WorkflowState, error) {
	rows, err := s.gateway.deps.Table.Read(ctx, planner.ReferralKey(s.partition, id))
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
