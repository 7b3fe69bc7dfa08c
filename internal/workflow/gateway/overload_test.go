package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// rejectAll rejects all workflows that a cell doesn't know while it is enabled. If alternating is set, it rejects every
// second one.
type rejectAll struct {
	enabled, alternating atomic.Bool
	decisions            atomic.Int64
}

const rejectedFor = 7300 * cottonlanding.Millis(1)

func (r *rejectAll) Decide(_ cottonlanding.OverloadView, state cottonlanding.OverloadState) cottonlanding.OverloadDecision {
	odd := r.decisions.Add(1)%2 == 1
	return cottonlanding.OverloadDecision{Reject: r.enabled.Load() && (odd || !r.alternating.Load()), RetryAfter: rejectedFor, State: state}
}

// submitWorkflow submits a workflow once.
func (d *deployment) submitWorkflow(host int, w cottonlanding.Workflow) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return d.hosts[host].Submit(ctx, w)
}

// TestRejectionsAtAllHosts guards against a rejection that loses its kind or its retry time on the way from the owner to
// another host, and against one of an accepted workflow before or after a change of owner.
func TestRejectionsAtAllHosts(t *testing.T) {
	overload := &rejectAll{}
	d := deployWithOverload(t, 1, nil, neverSlow, overload)
	owner := d.owner()
	d.submit(owner, workflow("known"))
	overload.enabled.Store(true)
	requireAnswers := func(hosts ...int) {
		for _, host := range hosts {
			require.NoError(t, d.submitWorkflow(host, workflow("known")))
			err := d.submitWorkflow(host, workflow("new"))
			require.ErrorIs(t, err, cottonlanding.ErrBusy)
			after, found := cottonlanding.RetryAfter(err)
			require.True(t, found)
			require.Equal(t, rejectedFor, after)
			_, err = d.hosts[host].State(t.Context(), "new")
			require.ErrorIs(t, err, cottonlanding.ErrNotFound, "a rejected workflow is kept nowhere")
		}
	}
	requireAnswers(0, 1, 2)
	d.kill(owner)
	require.Eventually(t, func() bool {
		err := d.submitWorkflow((owner+1)%3, workflow("known"))
		require.NotErrorIs(t, err, cottonlanding.ErrBusy)
		return err == nil
	}, 10*time.Second, 10*time.Millisecond)
	requireAnswers((owner+1)%3, (owner+2)%3)
}

// TestConcurrentSubmissionsWhileRejecting guards against a workflow that is answered with 429 after another submission
// of it was accepted, with submissions at two hosts at a time and changes of owner while every second one is rejected,
// and against one that runs twice or without having been accepted.
func TestConcurrentSubmissionsWhileRejecting(t *testing.T) {
	overload := &rejectAll{}
	overload.enabled.Store(true)
	overload.alternating.Store(true)
	d := deployWithOverload(t, 1, nil, neverSlow, overload)
	for round := range 40 {
		if round == 20 {
			d.kill(d.owner())
		}
		w := workflow(cottonlanding.WorkflowID(fmt.Sprintf("w%d", round)))
		var accepted atomic.Bool
		var callers sync.WaitGroup
		for host := range 2 {
			callers.Go(func() {
				for range 200 {
					before := accepted.Load()
					err := d.submitWorkflow(host, w)
					if before && errors.Is(err, cottonlanding.ErrBusy) {
						t.Errorf("workflow %s was rejected after it was accepted", w.ID)
						return
					}
					if err == nil {
						accepted.Store(true)
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		callers.Wait()
		require.True(t, accepted.Load())
	}
	for round := range 40 {
		d.requireSuccess(2, cottonlanding.WorkflowID(fmt.Sprintf("w%d", round)))
	}
}

// TestHandedOverWorkflowsAreNotRejected guards against an accepted workflow that the cell to which it is handed over
// rejects, or about which a caller is then told 429.
func TestHandedOverWorkflowsAreNotRejected(t *testing.T) {
	referral, overload := &delayedReferral{}, &rejectAll{}
	d := deployWithOverload(t, cells, referral, neverSlow, overload)
	d.awaitOwners()
	const perCell = 32
	d.submit(0, lastingWorkflowAt(0, "fills", perCell))
	require.Eventually(t, func() bool { return d.runner.Lasting() == perCell }, 10*time.Second, 10*time.Millisecond)
	waits := shortWorkflowAt(0, "waits", 1)
	d.submit(0, waits)
	overload.enabled.Store(true)
	referral.enabled.Store(true)
	require.Eventually(t, func() bool {
		for host := range d.hosts {
			require.NotErrorIs(t, d.submitWorkflow(host, waits), cottonlanding.ErrBusy)
		}
		return d.state(0, waits.ID) == cottonlanding.WorkflowSucceeded
	}, 15*time.Second, 5*time.Millisecond)
}

// referToLast refers all workflows to the last cell.
type referToLast struct{}

func (referToLast) Refer(_ cottonlanding.Workflow, home cottonlanding.CellView, _ []cottonlanding.CellView) (cottonlanding.CellNumber, bool) {
	return cells - 1, home.Cell != cells-1
}

// TestReferredWorkflowsAreDecidedWhereTheyAreKept guards against a rejected workflow that is kept after all because its
// home has referred it, and against one that is rejected after the other cell has accepted it.
func TestReferredWorkflowsAreDecidedWhereTheyAreKept(t *testing.T) {
	overload := &rejectAll{}
	d := deployWithOverload(t, cells, referToLast{}, neverSlow, overload)
	d.awaitOwners()
	overload.enabled.Store(true)
	w := shortWorkflowAt(0, "referred", 1)
	for host := range d.hosts {
		require.Eventually(t, func() bool { return errors.Is(d.submitWorkflow(host, w), cottonlanding.ErrBusy) }, 5*time.Second, 10*time.Millisecond)
	}
	require.Zero(t, d.runner.Starts())
	overload.enabled.Store(false)
	d.submit(0, w)
	overload.enabled.Store(true)
	for host := range d.hosts {
		require.NoError(t, d.submitWorkflow(host, w))
	}
	d.requireSuccess(1, w.ID)
}
