package planner

import (
	"cmp"

	"github.com/cottonlanding/cottonlanding"
)

// newestWorkWeight is the weight of the newest workflow in the moving average of a queue's work per workflow.
const newestWorkWeight = 0.02

// placedScore is the score of lasting workflows with a task that was placed. Others have zero and come after them:
// in a full cell these may still be handed over to another one.
const placedScore = -1

// rankAll recomputes the rank of each open workflow among those of its priority.
func (c *Cell) rankAll(now cottonlanding.Millis) {
	for _, j := range c.openJobs {
		j.interrupted = j.hasLasting && j.hasInterruptedTask(now)
		if j.hasLasting || j.Schedule.Rounds > 0 {
			j.rank = cottonlanding.Rank{Class: asInt(j.late(now)), Score: j.lastingScore()}
			continue
		}
		j.rank = c.policy.Ranking.Rank(c.rankView(j, now))
	}
}

func (j *job) lastingScore() float64 {
	if j.hasLasting && j.placed {
		return placedScore
	}
	return 0
}

// compareRanks orders workflows by priority, then those with interrupted lasting tasks first, then by rank and by
// acceptance.
func compareRanks(a, b *job) int {
	return cmp.Or(
		cmp.Compare(a.queue.Priority, b.queue.Priority),
		cmp.Compare(asInt(b.interrupted), asInt(a.interrupted)),
		cmp.Compare(a.rank.Class, b.rank.Class),
		cmp.Compare(a.rank.Score, b.rank.Score),
		cmp.Compare(a.sequence, b.sequence),
	)
}

func asInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (c *Cell) rankView(j *job, now cottonlanding.Millis) cottonlanding.RankView {
	latestForecast := j.latestForecast()
	view := cottonlanding.RankView{
		Age:       now - j.accepted,
		Objective: latestForecast.objective,
		ChainLeft: latestForecast.chainLeft,
		Work:      latestForecast.work,
		Left:      latestForecast.left,
		MeanWork:  c.meanWork[j.Queue],
	}
	if j.queue.Stretch > 0 {
		view.Slack = j.slack(now)
	}
	return view
}

// recordWork adds a workflow to the average work of its queue.
func (c *Cell) recordWork(j *job) {
	all := j.latestForecast().work
	mean, known := c.meanWork[j.Queue]
	if !known {
		mean = all
	}
	c.meanWork[j.Queue] = mean + newestWorkWeight*(all-mean)
}
