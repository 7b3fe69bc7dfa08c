package planner

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"

	"github.com/cottonlanding/cottonlanding"
)

// An owner forecasts for each submitted workflow when it could be done, from the work that ranks before it and from the
// rate at which the cell completed work of its kind. All of this is kept in memory: a new owner knows no rate, and
// accepts all workflows until it does.

const (
	// backlogDelay is how long a task must have waited to count as backlog: in a cell with room it is placed within two
	// decisions.
	backlogDelay = 200 * cottonlanding.Millis(1)
	// minBacklog is the backlog, as a time at the measured throughput, from which the cell counts as saturated. Single
	// tasks that fit no worker stay below it.
	minBacklog = 500 * cottonlanding.Millis(1)
	// minSaturatedTime is the saturated time for which a rate is measured before it is used.
	minSaturatedTime = 2 * cottonlanding.Second
	// usefulFactor times its objective is the age from which a waiting workflow doesn't count as backlog, since its
	// result is of no use any more.
	usefulFactor = 3
	// saturationGap is how long a cell may not be saturated within one period of saturation.
	saturationGap = cottonlanding.Second
	// arrivalFactor discounts the measured arrivals: in ten seconds there are about 150, whose total work is known to
	// within a tenth.
	arrivalFactor = 0.9
	// maxArrivalSpan is the longest time for which arrivals are expected to go on. With 10 s, a simulated cell that gets
	// 2.5 times what it completes accepts 1.6 times as many useless workflows as with 20 s; without a bound, one that gets
	// 1.33 times as much rejects a third more and completes fewer in time.
	maxArrivalSpan = 20 * cottonlanding.Second
	// maxForecast bounds forecasts.
	maxForecast = 10 * cottonlanding.Minute
	// queueStateTTL is how long the state of a queue without submissions is kept.
	queueStateTTL = rateWindow
)

// overload is what the owner knows of the load of its cell.
type overload struct {
	measuredAt cottonlanding.Millis
	rates      map[workKind]*workRate
	queues     map[cottonlanding.QueueName]*queueOverload
}

// queueOverload is the state of a queue, and when it last got a submission.
type queueOverload struct {
	cottonlanding.OverloadState
	submittedAt cottonlanding.Millis
	// last is the forecast for the last submission that exceeded its limit.
	last completion
}

// workKind identifies work that competes for the same capacity.
type workKind struct {
	service cottonlanding.ServiceName
	kind    kind
}

// completion is the forecast of when a workflow could be done.
type completion struct {
	// in is the time until then.
	in cottonlanding.Millis
	// ahead is the work that isn't placed yet and ranks before the workflow, backlog that of all workflows of its kind,
	// in millicore-milliseconds. Placed tasks are served beside a new workflow rather than before it.
	ahead, backlog float64
	// rate is the work completed in a millisecond, zero if unknown.
	rate float64
}

func newOverload() overload {
	return overload{rates: make(map[workKind]*workRate), queues: make(map[cottonlanding.QueueName]*queueOverload)}
}

// rate returns the rate of a kind of work.
func (o *overload) rate(of workKind) *workRate {
	if o.rates[of] == nil {
		o.rates[of] = &workRate{}
	}
	return o.rates[of]
}

// workKind returns the kind of the workflow's work, and false for workflows with lasting tasks and delegated ones, which
// take no part in forecasts.
func (j *job) workKind() (workKind, bool) {
	of := workKind{service: j.queue.Service, kind: shortTask}
	if j.fills {
		of.kind = fillingTask
	}
	return of, !j.hasLasting && !j.isDelegatedHere()
}

// expectation returns the remaining work and the critical path of a workflow as forecasts of its completion use them.
func (j *job) expectation() (left float64, chain cottonlanding.Millis) {
	latestForecast := j.latestForecast()
	return latestForecast.counted, latestForecast.chainLeft
}

// admit returns an error with a retry time if a workflow that the cell doesn't know is rejected.
func (c *Cell) admit(j *job, now cottonlanding.Millis) error {
	of, counts := j.workKind()
	objective := j.latestForecast().objective
	_, referred := c.referrals[j.ID]
	if !counts || referred || j.Schedule.Rounds > 0 || objective <= 0 {
		return nil
	}
	forecast := c.forecastCompletion(j, of, now)
	state := c.overload.queues[j.Queue]
	if state == nil {
		state = &queueOverload{}
		c.overload.queues[j.Queue] = state
	}
	decision := c.policy.Overload.Decide(cottonlanding.OverloadView{
		Now:       now,
		Forecast:  forecast.in,
		Objective: objective,
		Position:  forecast.ahead / max(forecast.backlog, 1),
		Jitter:    jitterOf(j.ID),
	}, state.OverloadState)
	c.logQueueRejects(j.Queue, state.Rejecting, decision.State.Rejecting, forecast, decision.Limit)
	state.OverloadState, state.submittedAt, state.last = decision.State, now, forecast
	if !decision.Reject {
		return nil
	}
	c.counts.Rejected++
	// clients see this text
	err := fmt.Errorf("%w: workflow %s could be done in %s at the earliest, which is too late to be of use", cottonlanding.ErrBusy, j.ID, forecast.in)
	return cottonlanding.WithRetryAfter(err, decision.RetryAfter)
}

// jitterOf returns a number from 0 to 1 that depends only on the id.
func jitterOf(id cottonlanding.WorkflowID) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // never fails
	return float64(hash.Sum32()) / math.MaxUint32
}

// logQueueRejects logs that a queue begins or stops to reject workflows.
func (c *Cell) logQueueRejects(queue cottonlanding.QueueName, before, after bool, forecast completion, limit cottonlanding.Millis) {
	if before == after {
		return
	}
	message := "queue accepts workflows again"
	if after {
		message = "queue rejects workflows"
	}
	const coreSecond = 1e6 // in millicore-milliseconds
	c.log.Warn(message, "Queue", queue, "Forecast", forecast.in, "Limit", limit, "BacklogCoreSeconds", int64(forecast.backlog/coreSecond),
		"RateCPU", int64(forecast.rate), "Epoch", c.setup.Epoch)
}

// forecastCompletion forecasts when a workflow could be done that is submitted now. It is the critical path alone
// while the cell isn't saturated or its rate is unknown.
//
// Workflows are expected to arrive as they did in the last ten seconds, for as long again as the cell has been
// saturated: without them the forecast would count only the work that ranks before a new workflow now, which is little
// under every ranking policy that serves new workflows before late ones. A workflow that can't begin in time is ranked among the late ones, after all that arrive meanwhile.
func (c *Cell) forecastCompletion(j *job, of workKind, now cottonlanding.Millis) completion {
	_, chain := j.expectation()
	r := c.overload.rate(of)
	rate, known := r.perMillisecond(now)
	if !known || !r.saturated {
		return completion{in: min(chain, maxForecast)}
	}
	view := c.rankView(j, now)
	inTime := c.policy.Ranking.Rank(view)
	slack := view.Slack
	view.Age, view.Slack = view.Age+max(slack, 0)+1, min(slack, 0)-1
	late := c.policy.Ranking.Rank(view)

	out := completion{rate: rate}
	aheadLate := 0.0
	for _, other := range c.openJobs {
		if otherKind, counts := other.workKind(); !counts || otherKind != of {
			continue
		}
		left, _ := other.expectation()
		left = max(left-other.assignedWork, 0)
		out.backlog += left
		if goesBefore(other.queue.Priority, other.rank, j.queue.Priority, inTime) {
			out.ahead += left
		}
		// Those that are in time now will be late when this one is.
		rank := other.rank
		rank.Class = max(rank.Class, late.Class)
		if goesBefore(other.queue.Priority, rank, j.queue.Priority, late) {
			aheadLate += left
		}
	}
	span := min(now-r.saturatedSince, maxArrivalSpan)
	wait := waitFor(out.ahead, arrivalFactor*r.arrivalsBefore(j.queue.Priority, inTime, now), rate, span)
	if wait > float64(slack) {
		wait = max(wait, waitFor(aheadLate, arrivalFactor*r.arrivalsBefore(j.queue.Priority, late, now), rate, span))
	}
	out.in = cottonlanding.Millis(min(wait+float64(chain), float64(maxForecast)))
	return out
}

// goesBefore reports whether an earlier workflow with the given priority and rank goes before one with the other
// priority and rank.
func goesBefore(priority int, rank cottonlanding.Rank, otherPriority int, other cottonlanding.Rank) bool {
	return compareOrder(priority, rank, otherPriority, other) <= 0
}

// compareOrder compares as compareRanks does, without the sequence of acceptance.
func compareOrder(priority int, rank cottonlanding.Rank, otherPriority int, other cottonlanding.Rank) int {
	return cmp.Or(
		cmp.Compare(priority, otherPriority),
		cmp.Compare(rank.Class, other.Class),
		cmp.Compare(rank.Score, other.Score),
	)
}

// waitFor returns how long work takes that is completed at a rate while more that goes first arrives at another rate
// for the given span, in milliseconds.
func waitFor(work, arrivals, rate float64, span cottonlanding.Millis) float64 {
	if work <= 0 {
		return 0
	}
	if wait := work / (rate - arrivals); arrivals < rate && wait <= float64(span) {
		return wait
	}
	return (work + arrivals*float64(span)) / rate
}

// recordArrival records an accepted workflow in the arrivals of its kind.
func (c *Cell) recordArrival(j *job, now cottonlanding.Millis) {
	of, counts := j.workKind()
	if !counts || j.Schedule.Rounds > 0 {
		return
	}
	j.rank = c.policy.Ranking.Rank(c.rankView(j, now)) // the next decision computes it again
	left, _ := j.expectation()
	c.overload.rate(of).recordArrival(arrival{at: now, work: left, priority: j.queue.Priority, rank: j.rank})
}

// recordRunProgress records the progress that a worker lists for a run.
func (c *Cell) recordRunProgress(r *run) {
	t := r.task
	if t == nil || t.run != r || t.stage.Lasting {
		return
	}
	if r.firstSentAt == 0 && t.creditedPercent == 0 {
		t.creditedPercent = r.percent // a previous owner started it, and this one doesn't know when it got so far
		return
	}
	c.recordProgress(t, r.percent)
}

// recordProgress records that a task has reached a percentage. A task that runs again counts only from where it was.
func (c *Cell) recordProgress(t *task, percent int) {
	percent = min(percent, fullPercent)
	if percent <= t.creditedPercent {
		return
	}
	of, counts := t.job.workKind()
	if !counts {
		return
	}
	c.overload.rate(of).recordWork(countedWork(t.stage.Step)*float64(percent-t.creditedPercent)/fullPercent, c.overload.measuredAt)
	t.creditedPercent = percent
}

// measureOverload measures which kinds of work the cell is saturated with, at most once per rateSlotSpan.
func (c *Cell) measureOverload(now cottonlanding.Millis) {
	elapsed := now - c.overload.measuredAt
	if elapsed < rateSlotSpan {
		return
	}
	if c.overload.measuredAt == 0 {
		elapsed = 0
	}
	c.overload.measuredAt = now
	backlog := make(map[workKind]float64)
	for _, j := range c.openJobs {
		of, counts := j.workKind()
		if !counts {
			continue
		}
		waiting := j.measureWork(now)
		if j.queue.Stretch > 0 && now-j.accepted < usefulFactor*j.latestForecast().objective {
			// Older workflows go last and delay no other; one that fits no worker would count for ever.
			backlog[of] += waiting
		}
	}
	for of := range backlog {
		c.overload.rate(of) // creates it
	}
	for of, r := range c.overload.rates {
		r.advance(backlog[of], elapsed, now)
	}
	c.dropIdleQueueStates(now)
}

// measureWork measures the work of the tasks that are assigned, and returns that of the tasks that have waited for room
// for backlogDelay.
func (j *job) measureWork(now cottonlanding.Millis) (backlog float64) {
	j.assignedWork = 0
	for _, r := range j.rounds {
		for _, s := range r.steps {
			if !s.ready || s.finished() {
				continue
			}
			each := countedWork(s.Step)
			for _, t := range s.tasks {
				switch {
				case t.state == taskAssigned:
					j.assignedWork += each
				case t.state == taskWaiting && now-t.waitingSince >= backlogDelay:
					backlog += each
				}
			}
		}
	}
	return backlog
}

// dropIdleQueueStates removes the states of queues without submissions for queueStateTTL.
func (c *Cell) dropIdleQueueStates(now cottonlanding.Millis) {
	for name, state := range c.overload.queues {
		if now-state.submittedAt < queueStateTTL {
			continue
		}
		c.logQueueRejects(name, state.Rejecting, false, state.last, 0)
		delete(c.overload.queues, name)
	}
}
