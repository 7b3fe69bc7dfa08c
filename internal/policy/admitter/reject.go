package admitter

import "github.com/cottonlanding/cottonlanding"

const (
	// limitFactor times its objective is the time after which the result of a workflow is of no use to its caller.
	limitFactor = 3
	// resumeFraction of the limit is what a queue that rejects compares forecasts with, so that it doesn't alternate.
	resumeFraction = 0.7
	// confirmTime is how long forecasts must exceed the limit before a queue rejects, and how long none may exceed
	// resumeFraction of it before the queue accepts all again. Single large workflows exceed the limit at times without
	// an overload.
	confirmTime = cottonlanding.Second
	// maxTimeWithoutAcceptance is how long a queue that rejects may accept nothing, so that no caller is starved.
	maxTimeWithoutAcceptance = cottonlanding.Second
)

// The bounds of retry times.
const (
	minRetry = cottonlanding.Second
	maxRetry = 10 * cottonlanding.Second
	// minJitter and maxJitter are the factors by which retry times are spread, so that callers that were rejected
	// together don't return together.
	minJitter = 0.75
	maxJitter = 1.25
	// firstRankedFactor is the factor of workflows that rank before all others, which may be accepted sooner.
	firstRankedFactor = 0.5
)

// Reject rejects workflows that couldn't be done within limitFactor times their objective.
type Reject struct{}

// Decide implements cottonlanding.OverloadPolicy.
func (Reject) Decide(view cottonlanding.OverloadView, state cottonlanding.OverloadState) cottonlanding.OverloadDecision {
	limit := limitFactor * view.Objective
	if state.Rejecting {
		limit = cottonlanding.Millis(resumeFraction * float64(limit))
	}
	over := view.Forecast > limit
	state = stateAfter(state, over, view.Now)
	recentlyAccepted := state.LastAcceptedAt > 0 && view.Now-state.LastAcceptedAt < maxTimeWithoutAcceptance
	if over && state.Rejecting && recentlyAccepted {
		return cottonlanding.OverloadDecision{Reject: true, RetryAfter: retryAfter(view, limit), Limit: limit, State: state}
	}
	state.LastAcceptedAt = view.Now
	return cottonlanding.OverloadDecision{Limit: limit, State: state}
}

// stateAfter returns the state of a queue after a forecast that is over its limit or not.
func stateAfter(state cottonlanding.OverloadState, over bool, now cottonlanding.Millis) cottonlanding.OverloadState {
	quiet := now-state.LastOverAt >= confirmTime
	if !over {
		state.Rejecting = state.Rejecting && !quiet
		return state
	}
	if state.OverSince == 0 || quiet && !state.Rejecting {
		state.OverSince = now
	}
	state.LastOverAt = now
	state.Rejecting = state.Rejecting || now-state.OverSince >= confirmTime
	return state
}

// retryAfter returns the time in which the work ahead of the workflow falls below the limit if none is added.
func retryAfter(view cottonlanding.OverloadView, limit cottonlanding.Millis) cottonlanding.Millis {
	wait := min(max(view.Forecast-limit, minRetry), cottonlanding.Millis(float64(maxRetry)/maxJitter))
	factor := minJitter + (maxJitter-minJitter)*view.Jitter
	factor *= firstRankedFactor + (1-firstRankedFactor)*view.Position
	return max(cottonlanding.Millis(factor*float64(wait)), minRetry)
}
