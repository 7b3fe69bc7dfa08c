package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// unplacedLogInterval is the minimum time between log lines about tasks for which no cell has room.
const unplacedLogInterval = 4 * cottonlanding.Second

// delegate chooses other cells for tasks that don't fit in this one.
func (p *participant) delegate(tasks []planner.DelegableTask) []planner.Delegation {
	policy := p.gateway.settings.Policy.Delegation
	if policy == nil || len(tasks) == 0 {
		return nil
	}
	var out []planner.Delegation
	others := p.others()
	for _, task := range tasks {
		candidates := candidatesFor(task, others)
		if len(candidates) == 0 {
			p.logUnplaced(task, others)
			continue
		}
		to, found := policy.Delegate(task.Ref, candidates)
		if !found {
			continue
		}
		at := slices.IndexFunc(others, func(other otherCell) bool { return other.Cell == to })
		others[at].deductDelegated(task.Service, task.Need.CPU)
		p.gateway.participant(to).recordDelegated(task, p.gateway.deps.Clock.Now())
		out = append(out, planner.Delegation{Ref: task.Ref, To: to})
	}
	return out
}

// candidatesFor returns the cells that can run the task: those with free capacity beside all running and waiting tasks
// or, if there are none, those with a single worker that has enough CPU free. Tasks that wait in such a cell are too
// large for that worker; otherwise they would run there already.
func candidatesFor(task planner.DelegableTask, others []otherCell) []cottonlanding.CellView {
	var withCapacity, withFreeWorker []cottonlanding.CellView
	for _, other := range others {
		view := other.CellView
		switch {
		case other.rejection(task) != notRejected:
		case other.hasFreeCapacity(task):
			withCapacity = append(withCapacity, view)
		default:
			view.Free = float64(other.freeOnOneWorker(task.Service)) / float64(other.capacity)
			withFreeWorker = append(withFreeWorker, view)
		}
	}
	if len(withCapacity) > 0 {
		return withCapacity
	}
	return withFreeWorker
}

// hasFreeCapacity reports whether the tasks that run or wait in the cell leave capacity free, and its lasting tasks
// enough for this one.
func (o otherCell) hasFreeCapacity(task planner.DelegableTask) bool {
	return o.Free > 0 && o.fitsLasting(task.Need.CPU)
}

// rejection is the reason for which a cell can't run a task of another cell. The log shows it.
type rejection string

const (
	notRejected rejection = ""
	// unknownCapacity: the cell has no owner, or its owner has not reported its capacity recently.
	unknownCapacity rejection = "Unknown"
	// returnedByCell: the cell has returned the task.
	returnedByCell rejection = "Returned"
	// noCapacityLeft: the cell has no free capacity for the task beside all running and waiting tasks, and no single
	// worker has enough CPU free.
	noCapacityLeft rejection = "Full"
	// noWorkerFits: the task doesn't fit in what the worker with the most free CPU has free.
	noWorkerFits rejection = "NoWorker"
)

// rejection returns why the cell can't run a task of another cell, or notRejected.
func (o otherCell) rejection(task planner.DelegableTask) rejection {
	switch {
	case !o.Usable:
		return unknownCapacity
	case slices.Contains(task.Avoid, o.Cell):
		return returnedByCell
	case !task.Need.Fits(o.largest[task.Service]):
		return noWorkerFits
	case !o.hasFreeCapacity(task) && o.freeOnOneWorker(task.Service) < task.Need.CPU:
		return noCapacityLeft
	}
	return notRejected
}

// logUnplaced logs, at most once in unplacedLogInterval, the number of cells by their reason to reject a task.
func (p *participant) logUnplaced(task planner.DelegableTask, others []otherCell) {
	now := p.gateway.deps.Clock.Now()
	p.mu.Lock()
	due := p.unplacedLoggedAt == 0 || now-p.unplacedLoggedAt >= unplacedLogInterval
	if due {
		p.unplacedLoggedAt = now
	}
	p.mu.Unlock()
	if !due || len(others) == 0 {
		return
	}
	cells := make(map[rejection]int)
	for _, other := range others {
		cells[other.rejection(task)]++
	}
	p.gateway.deps.Log.Info("no cell has room for a task", "Cell", p.cell, "Task", task.Ref.String(), "CPU", int64(task.Need.CPU), "Cells", cells)
}

// recordDelegated records that a task was delegated to this cell.
func (p *participant) recordDelegated(task planner.DelegableTask, now cottonlanding.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.referred = append(p.referred, referredLoad{at: now, delegated: task.Need.CPU, service: task.Service})
}

// sendDelegationRequest sends the owner of another cell the state of the workflows whose tasks this cell has delegated
// to it, and returns its response.
func (p *participant) sendDelegationRequest(ctx context.Context, to cottonlanding.CellNumber, delegationRequest planner.DelegationRequest) (planner.DelegationResponse, error) {
	delegateCell := p.gateway.participant(to)
	if delegateCell == nil {
		return planner.DelegationResponse{}, fmt.Errorf("cell %s isn't known here: %w", to, cottonlanding.ErrUnavailable)
	}
	if local := delegateCell.local(); local != nil {
		return local.HandleDelegationRequest(delegationRequest)
	}
	data, err := json.Marshal(delegationRequest)
	if err != nil {
		return planner.DelegationResponse{}, fmt.Errorf("%w: %w", cottonlanding.ErrCannotRun, err)
	}
	var response planner.DelegationResponse
	_, err = delegateCell.callOwner(ctx, func(ctx context.Context, owner wire.WorkflowsClient) (*wire.WorkflowReply, error) {
		reply, err := owner.Guests(ctx, &wire.GuestQuestion{Question: data, Cell: int32(to)})
		if err != nil {
			return nil, err
		}
		if reply.GetCode() == wire.Code_OK {
			err = json.Unmarshal(reply.GetAnswer(), &response)
		}
		return &wire.WorkflowReply{Code: reply.GetCode(), Detail: reply.GetDetail()}, err
	})
	return response, err
}

// Guests handles a delegation request; the wire format calls delegated tasks guests. It implements
// wire.WorkflowsServer.
func (s *peerServer) Guests(_ context.Context, request *wire.GuestQuestion) (*wire.GuestAnswer, error) {
	response, err := s.handleDelegationRequest(request)
	out := &wire.GuestAnswer{Code: messenger.CodeOf(err), Answer: response}
	if err != nil {
		out.Detail = err.Error()
	}
	return out, nil
}

func (s *peerServer) handleDelegationRequest(request *wire.GuestQuestion) ([]byte, error) {
	var delegationRequest planner.DelegationRequest
	if err := json.Unmarshal(request.GetQuestion(), &delegationRequest); err != nil {
		return nil, fmt.Errorf("%w: %w", cottonlanding.ErrCannotRun, err)
	}
	_, owner, err := s.owned(request.GetCell())
	if err != nil {
		return nil, err
	}
	response, err := owner.HandleDelegationRequest(delegationRequest)
	if err != nil {
		return nil, err
	}
	return json.Marshal(response)
}
