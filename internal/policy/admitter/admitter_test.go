package admitter_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/admitter"
)

const objective = 10 * cottonlanding.Second

// queue is a queue that gets a submission every 50 ms.
type queue struct {
	now   cottonlanding.Millis
	state cottonlanding.OverloadState
}

// submit submits workflows with a forecast for a span, and returns how many were accepted and the last decision.
func (q *queue) submit(policy cottonlanding.OverloadPolicy, forecast, span cottonlanding.Millis) (accepted int, last cottonlanding.OverloadDecision) {
	for until := q.now + span; q.now < until; {
		q.now += 50
		last = policy.Decide(cottonlanding.OverloadView{Now: q.now, Forecast: forecast, Objective: objective, Position: 1, Jitter: 0.5}, q.state)
		q.state = last.State
		if !last.Reject {
			accepted++
		}
	}
	return accepted, last
}

// TestRejectWithHysteresis guards against a queue that rejects because of a single late forecast, or that alternates
// while forecasts are near the limit of 30 s, and against one that gets nothing accepted.
func TestRejectWithHysteresis(t *testing.T) {
	q := &queue{now: 1000}
	accepted, _ := q.submit(admitter.Reject{}, 31*cottonlanding.Second, 950)
	require.Equal(t, 19, accepted, "the limit is exceeded for less than a second")
	accepted, _ = q.submit(admitter.Reject{}, 29*cottonlanding.Second, 5*cottonlanding.Second)
	require.Equal(t, 100, accepted)
	q.submit(admitter.Reject{}, 31*cottonlanding.Second, 1500)
	require.True(t, q.state.Rejecting)
	accepted, _ = q.submit(admitter.Reject{}, 22*cottonlanding.Second, 10*cottonlanding.Second)
	require.InDelta(t, 10, accepted, 1, "above 0.7 of the limit, one a second")
	accepted, _ = q.submit(admitter.Reject{}, 20*cottonlanding.Second, 2*cottonlanding.Second)
	require.Equal(t, 40, accepted)
	require.False(t, q.state.Rejecting)
	accepted, last := (&queue{now: 1000}).submit(admitter.Accept{}, cottonlanding.Minute, 5*cottonlanding.Second)
	require.Equal(t, 100, accepted)
	require.Zero(t, last.State, "the baseline keeps no state")
}

// TestRetryTimes guards against retry times out of their bounds, all the same, or longer for workflows that rank first.
func TestRetryTimes(t *testing.T) {
	state := cottonlanding.OverloadState{Rejecting: true, OverSince: 1, LastOverAt: 9999, LastAcceptedAt: 9999}
	retry := func(forecast cottonlanding.Millis, position, jitter float64) cottonlanding.Millis {
		decision := admitter.Reject{}.Decide(cottonlanding.OverloadView{Now: 10_000, Forecast: forecast, Objective: objective, Position: position, Jitter: jitter}, state)
		require.True(t, decision.Reject)
		return decision.RetryAfter
	}
	require.Equal(t, 5*cottonlanding.Second, retry(26*cottonlanding.Second, 1, 0.5))
	require.Equal(t, 2500*cottonlanding.Millis(1), retry(26*cottonlanding.Second, 0, 0.5))
	require.Equal(t, 3750*cottonlanding.Millis(1), retry(26*cottonlanding.Second, 1, 0))
	require.Equal(t, 10*cottonlanding.Second, retry(10*cottonlanding.Minute, 1, 1))
	require.Equal(t, cottonlanding.Second, retry(21_001, 0, 0))
}
