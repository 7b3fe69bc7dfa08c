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

// logUnhostedEvery is how often it is logged that no cell has room for a task.
const logUnhostedEvery = 4 * cottonlanding.Second

// delegate returns the cells that are to run tasks for which this cell has no room.
func (s *seat) delegate(tasks []planner.DelegableTask) []planner.Delegation {
	policy := s.gateway.settings.Policy.Delegation
	if policy == nil || len(tasks) == 0 {
		return nil
	}
	var out []planner.Delegation
	others := s.others()
	for _, task := range tasks {
		candidates := candidatesFor(task, others)
		if len(candidates) == 0 {
			s.logUnhosted(task, others)
			continue
		}
		to, found := policy.Delegate(task.Ref, candidates)
		if !found {
			continue
		}
		at := slices.IndexFunc(others, func(other otherCell) bool { return other.Cell == to })
		others[at].deduct(task.Service, task.Need.CPU)
		s.gateway.seat(to).recordDelegated(task, s.gateway.deps.Clock.Now())
		out = append(out, planner.Delegation{Ref: task.Ref, To: to})
	}
	return out
}

// candidatesFor returns the cells that can run the task: those with room in sum or, if there are none, those of which
// a worker has a hole that is large enough. What waits in these is too large for it, or would be there by now.
func candidatesFor(task planner.DelegableTask, others []otherCell) []cottonlanding.CellView {
	var inSum, inHoles []cottonlanding.CellView
	for _, other := range others {
		view := other.CellView
		switch {
		case other.obstacle(task) != noObstacle:
		case other.hasRoomInSum(task):
			inSum = append(inSum, view)
		default:
			view.Free = float64(other.hole(task.Service)) / float64(other.capacity)
			inHoles = append(inHoles, view)
		}
	}
	if len(inSum) > 0 {
		return inSum
	}
	return inHoles
}

// hasRoomInSum reports whether the cell has room beside all that runs and waits there.
func (o otherCell) hasRoomInSum(task planner.DelegableTask) bool {
	return o.Free > 0 && o.holds(task.Need.CPU)
}

// obstacle is why a cell can't run a task of another one.
type obstacle string

const (
	noObstacle obstacle = ""
	// unknownRoom: the cell has no owner, or it hasn't told of its workers lately.
	unknownRoom obstacle = "Unknown"
	// returnedLately: the cell has returned the task.
	returnedLately obstacle = "Returned"
	// full: what runs and waits there needs all of its room, and none of its workers has a hole that is
	// large enough.
	full obstacle = "Full"
	// noLargeWorker: none of its workers has enough room by itself.
	noLargeWorker obstacle = "NoWorker"
)

// obstacle returns why the cell can't run a task of another one, or noObstacle.
func (o otherCell) obstacle(task planner.DelegableTask) obstacle {
	switch {
	case !o.Usable:
		return unknownRoom
	case slices.Contains(task.Avoid, o.Cell):
		return returnedLately
	case !task.Need.Fits(o.largest[task.Service]):
		return noLargeWorker
	case !o.hasRoomInSum(task) && o.hole(task.Service) < task.Need.CPU:
		return full
	}
	return noObstacle
}

// logUnhosted logs from time to time why no other cell can run a task, with the cells by obstacle.
func (s *seat) logUnhosted(task planner.DelegableTask, others []otherCell) {
	now := s.gateway.deps.Clock.Now()
	s.mu.Lock()
	due := s.unhostedAt == 0 || now-s.unhostedAt >= logUnhostedEvery
	if due {
		s.unhostedAt = now
	}
	s.mu.Unlock()
	if !due || len(others) == 0 {
		return
	}
	cells := make(map[obstacle]int)
	for _, other := range others {
		cells[other.obstacle(task)]++
	}
	s.gateway.deps.Log.Info("no cell has room for a task", "Cell", s.cell, "Task", task.Ref.String(), "CPU", int64(task.Need.CPU), "Cells", cells)
}

// recordDelegated takes in that a task was delegated to this cell.
func (s *seat) recordDelegated(task planner.DelegableTask, now cottonlanding.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.referred = append(s.referred, referredWork{at: now, delegated: task.Need.CPU, service: task.Service})
}

// askGuests asks another cell about the tasks that it is to run for this one.
func (s *seat) askGuests(ctx context.Context, to cottonlanding.CellNumber, question planner.DelegationRequest) (planner.DelegationResponse, error) {
	guest := s.gateway.seat(to)
	if guest == nil {
		return planner.DelegationResponse{}, fmt.Errorf("cell %s isn't known here: %w", to, cottonlanding.ErrUnavailable)
	}
	if local := guest.local(); local != nil {
		return local.HandleDelegationRequest(question)
	}
	data, err := json.Marshal(question)
	if err != nil {
		return planner.DelegationResponse{}, fmt.Errorf("%w: %w", cottonlanding.ErrCannotRun, err)
	}
	var answer planner.DelegationResponse
	_, err = guest.ask(ctx, func(ctx context.Context, owner wire.WorkflowsClient) (*wire.WorkflowReply, error) {
		reply, err := owner.Guests(ctx, &wire.GuestQuestion{Question: data, Cell: int32(to)})
		if err != nil {
			return nil, err
		}
		if reply.GetCode() == wire.Code_OK {
			err = json.Unmarshal(reply.GetAnswer(), &answer)
		}
		return &wire.WorkflowReply{Code: reply.GetCode(), Detail: reply.GetDetail()}, err
	})
	return answer, err
}

// Guests implements wire.WorkflowsServer.
func (s *peerServer) Guests(_ context.Context, request *wire.GuestQuestion) (*wire.GuestAnswer, error) {
	answer, err := s.answerGuests(request)
	out := &wire.GuestAnswer{Code: messenger.CodeOf(err), Answer: answer}
	if err != nil {
		out.Detail = err.Error()
	}
	return out, nil
}

func (s *peerServer) answerGuests(request *wire.GuestQuestion) ([]byte, error) {
	var question planner.DelegationRequest
	if err := json.Unmarshal(request.GetQuestion(), &question); err != nil {
		return nil, fmt.Errorf("%w: %w", cottonlanding.ErrCannotRun, err)
	}
	_, owner, err := s.owned(request.GetCell())
	if err != nil {
		return nil, err
	}
	answer, err := owner.HandleDelegationRequest(question)
	if err != nil {
		return nil, err
	}
	return json.Marshal(answer)
}
