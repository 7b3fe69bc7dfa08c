package driver_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/driver"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	unresponsiveCell cottonlanding.CellNumber = 1
	healthyCell      cottonlanding.CellNumber = 2
)

// alternating returns the unresponsive cell and the healthy one in turn.
type alternating struct{ turns int }

func (a *alternating) next() (cottonlanding.CellNumber, bool) {
	a.turns++
	return unresponsiveCell + cottonlanding.CellNumber(a.turns%2), true
}

// TestUnresponsiveCellDelaysOnlyItsHandOvers guards against rounds of deliveries that last as long as the call to a
// cell which gives no answer, so that the workflows for all other cells wait for it.
func TestUnresponsiveCellDelaysOnlyItsHandOvers(t *testing.T) {
	const workflows = 60
	synctest.Test(t, func(t *testing.T) {
		var cells alternating
		var mu sync.Mutex
		handedOverAt := make(map[cottonlanding.WorkflowID]time.Time)
		delivered := make(map[cottonlanding.WorkflowID]time.Duration)
		o := newOwner(t, setup{workers: 1, tasksPerWorker: 1, policy: spreadPlacement(), modify: func(deps *driver.Dependencies) {
			deps.HandOverTarget = func(workflow cottonlanding.Workflow, _ planner.Report, _ bool) (cottonlanding.CellNumber, bool) {
				cell, found := cells.next()
				mu.Lock()
				defer mu.Unlock()
				handedOverAt[workflow.ID] = time.Now()
				return cell, found
			}
			deps.Deliver = func(ctx context.Context, workflow cottonlanding.Workflow, to cottonlanding.CellNumber) error {
				if to == unresponsiveCell {
					<-ctx.Done()
					return ctx.Err()
				}
				mu.Lock()
				defer mu.Unlock()
				delivered[workflow.ID] = time.Since(handedOverAt[workflow.ID])
				return nil
			}
		}})
		defer o.driver.Close()
		o.submit("lasting", cottonlanding.Step{Tasks: 1, Lasting: true})
		for number := range workflows {
			o.submit(cottonlanding.WorkflowID(fmt.Sprintf("w%d", number)), cottonlanding.Step{Tasks: 1})
		}
		o.eventually("half of the workflows are handed over", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(delivered) == workflows/2
		})
		for id, took := range delivered {
			require.LessOrEqual(t, took, 500*time.Millisecond, "%s", id)
		}
	})
}

// TestUnresponsiveCellDelaysOnlyItsDelegationRequests guards against rounds of requests that last as long as the call
// to a delegate cell which gives no answer: the states of tasks in other cells come a second late, and these cells
// start nothing meanwhile.
func TestUnresponsiveCellDelaysOnlyItsDelegationRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cells alternating
		var mu sync.Mutex
		var requestedAt []time.Time
		count := func() int {
			mu.Lock()
			defer mu.Unlock()
			return len(requestedAt)
		}
		unresponsiveRequested := make(chan struct{})
		o := newOwner(t, setup{workers: 1, tasksPerWorker: 1, policy: spreadPlacement(), modify: func(deps *driver.Dependencies) {
			deps.Delegate = func(tasks []planner.DelegableTask) (out []planner.Delegation) {
				for _, task := range tasks {
					to, _ := cells.next()
					out = append(out, planner.Delegation{Ref: task.Ref, To: to})
				}
				return out
			}
			deps.SendDelegationRequest = func(ctx context.Context, to cottonlanding.CellNumber, _ planner.DelegationRequest) (planner.DelegationResponse, error) {
				if to == unresponsiveCell {
					select {
					case unresponsiveRequested <- struct{}{}:
					default:
					}
					<-ctx.Done()
					return planner.DelegationResponse{}, ctx.Err()
				}
				mu.Lock()
				defer mu.Unlock()
				requestedAt = append(requestedAt, time.Now())
				return planner.DelegationResponse{Stamp: planner.DelegationStamp{Epoch: 1}}, nil
			}
		}})
		defer o.driver.Close()
		o.submit("lasting", cottonlanding.Step{Tasks: 5, Lasting: true})
		<-unresponsiveRequested
		first := count()
		o.eventually("the healthy cell is asked", func() bool { return count() >= first+20 })
		for i := max(first, 1); i < len(requestedAt); i++ {
			require.LessOrEqual(t, requestedAt[i].Sub(requestedAt[i-1]), 500*time.Millisecond, "between two requests")
		}
	})
}
