package driver_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// variableCommits delays each commit by a span that can change. While answers are lost, commits take effect without an
// answer, and reads fail.
type variableCommits struct {
	cottonlanding.Table
	delay       atomic.Int64
	answersLost atomic.Bool
}

func (v *variableCommits) Commit(ctx context.Context, transaction cottonlanding.Transaction) (cottonlanding.Receipt, error) {
	time.Sleep(time.Duration(v.delay.Load()))
	receipt, err := v.Table.Commit(ctx, transaction)
	if v.answersLost.Load() {
		return cottonlanding.Receipt{}, cottonlanding.ErrAmbiguous
	}
	return receipt, err
}

func (v *variableCommits) Read(ctx context.Context, keys ...cottonlanding.Key) ([]cottonlanding.Row, error) {
	if v.answersLost.Load() {
		return nil, cottonlanding.ErrUnavailable
	}
	return v.Table.Read(ctx, keys...)
}

// newSlowTableOwner returns an owner that commits callers' rows first, with a workflow that it has accepted.
func newSlowTableOwner(t *testing.T, callersFirst bool) (*owner, *variableCommits) {
	table := &variableCommits{}
	o := newOwner(t, setup{workers: 4, tasksPerWorker: 64, policy: spreadPlacement(), callersFirst: callersFirst,
		table: func(inner cottonlanding.Table) cottonlanding.Table {
			table.Table = inner
			return table
		}})
	o.submit("first", cottonlanding.Step{Tasks: 1})
	return o, table
}

// submitWithin submits a workflow with a deadline.
func (o *owner) submitWithin(id cottonlanding.WorkflowID, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return o.driver.Submit(ctx, cottonlanding.Workflow{ID: id, Queue: "Q", Steps: []cottonlanding.Step{{Tasks: 1, Resources: cottonlanding.Resources{CPU: 1000}}}})
}

const slowCommitDelay = 850 * time.Millisecond

// TestSlowTableRejectsLateSubmissions guards against submissions that wait until their deadline for a commit which can't
// be done by then, against rejections that aren't true, and against an owner that goes on to reject when the table is
// fast again.
func TestSlowTableRejectsLateSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, table := newSlowTableOwner(t, true)
		defer o.driver.Close()
		table.delay.Store(int64(slowCommitDelay))
		require.NoError(t, o.submitWithin("slow", 2*time.Second), "nothing is known of slow commits yet")
		began := time.Now()
		require.ErrorIs(t, o.submitWithin("late", slowCommitDelay-50*time.Millisecond), cottonlanding.ErrUnavailable)
		require.Zero(t, time.Since(began), "it is rejected at once")
		_, err := o.driver.State("late")
		require.ErrorIs(t, err, cottonlanding.ErrNotFound, "nothing was changed")
		require.EqualValues(t, 1, o.driver.Counts().RefusedSlowTable)
		require.NoError(t, o.submitWithin("in time", 2500*time.Millisecond))
		require.NoError(t, o.submitWithin("in time", 100*time.Millisecond), "it was accepted before")
		table.delay.Store(0)
		require.NoError(t, o.submitWithin("wakes the owner", 2500*time.Millisecond))
		time.Sleep(3 * time.Second)
		require.NoError(t, o.submitWithin("late", 100*time.Millisecond), "the table is fast again")
		o.eventually("it runs", func() bool {
			state, err := o.driver.State("late")
			return err == nil && state == cottonlanding.WorkflowSucceeded
		})
		require.Empty(t, o.runner.Violations())
	})
}

// TestRejectionsEndWithoutCommits guards against an owner that rejects for ever: it has nothing to commit while it
// rejects everything, so that it learns nothing of a table that is fast again.
func TestRejectionsEndWithoutCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, table := newSlowTableOwner(t, true)
		defer o.driver.Close()
		table.delay.Store(int64(slowCommitDelay))
		require.NoError(t, o.submitWithin("slow", 2*time.Second))
		require.ErrorIs(t, o.submitWithin("late", 300*time.Millisecond), cottonlanding.ErrUnavailable)
		table.delay.Store(0)
		o.eventually("a submission is accepted", func() bool { return o.submitWithin("late", 300*time.Millisecond) == nil })
	})
}

// TestBurstWithSlowTable guards against submissions that are accepted although those before them take more than the
// next plan: each is committed by its deadline or rejected at once.
func TestBurstWithSlowTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, table := newSlowTableOwner(t, true)
		defer o.driver.Close()
		table.delay.Store(int64(slowCommitDelay))
		require.NoError(t, o.submitWithin("slow", 2*time.Second))
		const burst = 200
		results := make(chan error, burst)
		for number := range burst {
			go func() {
				results <- o.submitWithin(cottonlanding.WorkflowID(fmt.Sprintf("w%d", number)), 2400*time.Millisecond)
			}()
		}
		accepted := 0
		for range burst {
			err := <-results
			if err == nil {
				accepted++
				continue
			}
			require.NotErrorIs(t, err, cottonlanding.ErrAmbiguous)
			require.ErrorIs(t, err, cottonlanding.ErrUnavailable)
		}
		require.GreaterOrEqual(t, accepted, 30, "as many as one plan takes")
		require.EqualValues(t, burst-accepted, o.driver.Counts().RefusedSlowTable)
		t.Logf("%d of %d accepted", accepted, burst)
	})
}

// TestSlowTableIsNotNoticedByAcceptance guards against another behaviour of owners that keep the order of acceptance.
func TestSlowTableIsNotNoticedByAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, table := newSlowTableOwner(t, false)
		defer o.driver.Close()
		table.delay.Store(int64(slowCommitDelay))
		require.NoError(t, o.submitWithin("slow", 2*time.Second))
		require.ErrorIs(t, o.submitWithin("late", 300*time.Millisecond), cottonlanding.ErrAmbiguous)
		require.Zero(t, o.driver.Counts().RefusedSlowTable)
	})
}

// TestUnknownCommitWithWaitingSubmissions guards against submissions that are lost, rejected or run twice although the
// commit took effect whose outcome is unknown while their callers wait.
func TestUnknownCommitWithWaitingSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, table := newSlowTableOwner(t, true)
		defer o.driver.Close()
		table.delay.Store(int64(slowCommitDelay))
		require.NoError(t, o.submitWithin("slow", 2*time.Second))
		table.answersLost.Store(true)
		const waiting = 20
		results := make(chan error, waiting)
		for number := range waiting {
			go func() {
				results <- o.submitWithin(cottonlanding.WorkflowID(fmt.Sprintf("w%d", number)), 2400*time.Millisecond)
			}()
		}
		for range waiting {
			require.ErrorIs(t, <-results, cottonlanding.ErrAmbiguous, "the commit has taken effect, which the caller can't know")
		}
		require.ErrorIs(t, o.submitWithin("new", 2400*time.Millisecond), cottonlanding.ErrUnavailable)
		table.answersLost.Store(false)
		table.delay.Store(0)
		starts := o.runner.Starts()
		for number := range waiting {
			id := cottonlanding.WorkflowID(fmt.Sprintf("w%d", number))
			o.eventually("it is accepted when it is submitted again", func() bool { return o.submitWithin(id, 2400*time.Millisecond) == nil })
		}
		o.eventually("all succeed", func() bool {
			for number := range waiting {
				state, err := o.driver.State(cottonlanding.WorkflowID(fmt.Sprintf("w%d", number)))
				if err != nil || state != cottonlanding.WorkflowSucceeded {
					return false
				}
			}
			return true
		})
		require.Equal(t, waiting, o.runner.Starts()-starts, "each runs once")
		_, err := o.driver.State("new")
		require.ErrorIs(t, err, cottonlanding.ErrNotFound, "a rejected workflow never runs")
		require.Empty(t, o.runner.Violations())
	})
}
