package planner

import "github.com/cottonlanding/cottonlanding"

// forecast is the remaining work of a workflow by the expected times of its steps. It is cached, as each decision needs
// that of every open workflow while it changes only when tasks end, a round is added, the queue changes, or more was
// learnt of run times.
type forecast struct {
	// work is that of all tasks, left that of the unfinished ones, in millicore-milliseconds.
	work, left float64
	// counted is left with the estimates of tasks bounded by maxCountedEstimate.
	counted float64
	// objective is the time in which the workflow should be done, chainLeft the longest chain of estimates through
	// the unfinished steps; both are set only if its queue has an objective.
	objective, chainLeft cottonlanding.Millis
	// revision is the revision of the learnt run times that were used.
	revision int64
}

// latestForecast returns the forecast of a workflow, computed if it isn't cached.
func (j *job) latestForecast() forecast {
	revision := int64(0)
	if j.runTimes != nil {
		revision = j.runTimes.Revision()
	}
	if j.forecast == nil || j.forecast.revision != revision {
		j.forecast = &forecast{revision: revision}
		j.forecast.work, j.forecast.left = j.work()
		j.forecast.counted = j.countedWork()
		if j.queue.Stretch > 0 {
			chain := j.longestChain(func(*stage) bool { return true })
			j.forecast.objective = cottonlanding.Millis(j.queue.Stretch*float64(chain)) + j.queue.LatencyTarget
			j.forecast.chainLeft = j.remainingPath()
		}
	}
	return *j.forecast
}

// slack is how much longer a workflow may wait and still meet its objective; negative if it no longer can.
func (j *job) slack(now cottonlanding.Millis) cottonlanding.Millis {
	latestForecast := j.latestForecast()
	return latestForecast.objective - (now - j.accepted) - latestForecast.chainLeft
}

// late reports whether a workflow can no longer meet its objective. Late workflows with lasting tasks are ranked after
// those of their priority that are not late, unless a task of theirs is interrupted (compareRanks): they can wait,
// while short workflows are worth most if they end soon. Lasting tasks without an estimate add nothing to the chain, so
// that the objective of a workflow with only such tasks is its latency target.
func (j *job) late(now cottonlanding.Millis) bool {
	return j.queue.Stretch > 0 && j.Schedule.Rounds == 0 && j.slack(now) < 0
}

// work returns the work of all tasks and that of the unfinished ones, by the expected times of the steps, in
// millicore-milliseconds.
func (j *job) work() (all, left float64) {
	for _, r := range j.rounds {
		for _, s := range r.steps {
			each := float64(s.expectedTime()) * float64(s.Resources.CPU)
			all += each * float64(len(s.tasks))
			left += each * float64(len(s.tasks)-s.done)
		}
	}
	return all, left
}

// countedWork returns the work of the unfinished tasks as forecasts of completion count it.
func (j *job) countedWork() float64 {
	sum := 0.0
	for _, r := range j.rounds {
		for _, s := range r.steps {
			sum += countedWork(s.Step) * float64(len(s.tasks)-s.done)
		}
	}
	return sum
}

func (j *job) longestChain(counts func(*stage) bool) cottonlanding.Millis {
	r := j.rounds[0]
	if r == nil {
		return 0
	}
	longest := cottonlanding.Millis(0)
	earliestEnd := make([]cottonlanding.Millis, len(r.steps))
	for i, s := range r.steps {
		for _, earlier := range s.After {
			earliestEnd[i] = max(earliestEnd[i], earliestEnd[earlier])
		}
		if counts(s) {
			earliestEnd[i] += s.expectedTime()
		}
		longest = max(longest, earliestEnd[i])
	}
	return longest
}
