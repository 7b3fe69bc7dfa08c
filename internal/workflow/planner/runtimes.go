package planner

import (
	"encoding/json"
	"fmt"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/estimator"
)

// maxEndUncertainty is the longest time between a worker's answer and the next poll with which the ends that the poll
// brings are measured: a run may have ended at any time in between. For long runs it is the fraction
// 1/endUncertaintyDivisor of the expected time. A bound that depended on the measured time would favour long runs.
const (
	maxEndUncertainty     = 300 * cottonlanding.Millis(1)
	endUncertaintyDivisor = 4
)

// RunTimesKey returns the key of the row that holds what was learnt of run times.
func RunTimesKey(partition cottonlanding.Partition) cottonlanding.Key {
	return partition.Key("Learnt/RunTimes")
}

// expectedTime returns how long a task of the step is expected to take at full speed: the client's estimate, corrected
// if the cell learns run times.
func (s *stage) expectedTime() cottonlanding.Millis { return s.estimate().Expected }

// estimate returns the expected run time of a task of the step, and the one that nine of ten tasks stay below.
func (s *stage) estimate() estimator.Estimate {
	if s.job.runTimes == nil || s.Lasting {
		return estimator.Estimate{Expected: s.Estimate, High: s.Estimate}
	}
	basis := estimateBasis{revision: s.job.runTimes.Revision(), done: s.done, measured: s.ended.Tasks}
	if s.estimated == nil || s.estimatedFrom != basis {
		ended := s.ended
		if ended.Tasks > 0 && !s.finished() {
			ended.Running = s.running()
		}
		estimate := s.job.runTimes.Estimate(s.runTimesKey(), s.Estimate, ended)
		s.estimated, s.estimatedFrom = &estimate, basis
	}
	return *s.estimated
}

// estimateBasis identifies what the cached estimate of a step was computed from. The estimate is computed again when a
// task of the step ends or, at most once a second, when more was learnt of any queue.
type estimateBasis struct {
	revision       int64
	done, measured int
}

func (s *stage) runTimesKey() estimator.Key {
	return estimator.Key{Queue: s.job.Queue, Fills: s.Fills}
}

// running counts the tasks that are known to take longer than those that have ended: their runs began no later and are
// not slowed.
func (s *stage) running() int {
	count := 0
	for _, t := range s.tasks {
		if r := t.run; r != nil && r.phase == started && r.ackedAt <= s.lastMeasuredBegan && r.paceGoal >= fullPace {
			count++
		}
	}
	return count
}

// remainingPath returns the expected duration of the longest chain of unfinished steps.
func (j *job) remainingPath() cottonlanding.Millis {
	return j.longestChain(func(s *stage) bool { return !s.finished() })
}

// suspect reports whether the run times of a step on a worker may be those of a slow or faulty worker. Until the step's
// queue is known, slow workers count: they are found by run times, so that clients whose estimates are all too low would
// make every worker slow, and nothing would ever be learnt.
func (c *Cell) suspect(w *worker, s *stage, now cottonlanding.Millis) bool {
	if now < w.health.backoffUntil {
		return true
	}
	return now < w.health.slowUntil && c.runTimes != nil && c.runTimes.Known(s.runTimesKey())
}

// recordRunTime learns from a run that ended done on a worker that is not suspect. Runs whose time at full speed is
// unknown teach nothing: those that were resumed or taken over from another owner, and those whose beginning or end was
// not noticed at once.
func (c *Cell) recordRunTime(r *run, t *task, now cottonlanding.Millis) {
	s := t.stage
	if c.runTimes == nil || s.Lasting || !r.wasMeasured(t, now) {
		return
	}
	before := s.ended.Tasks
	s.ended = c.runTimes.Add(s.runTimesKey(), s.Estimate, s.ended, r.timeAtFullSpeed(now))
	if s.ended.Tasks > before {
		c.counts.RunTimesMeasured++
		s.lastMeasuredBegan = max(s.lastMeasuredBegan, r.ackedAt)
	}
}

// recordStepTimes learns from a step once all of its tasks are done.
func (c *Cell) recordStepTimes(s *stage, now cottonlanding.Millis) {
	if c.runTimes == nil || !s.finished() || s.ended.Tasks == 0 {
		return
	}
	key := s.runTimesKey()
	before := c.runTimes.Known(key)
	c.runTimes.Record(key, s.Estimate, s.ended, now)
	c.runTimesChanged = true
	if !before && c.runTimes.Known(key) {
		learnt := c.runTimes.Summary(key)
		c.log.Info("run times of a queue learnt", "Queue", key.Queue, "Fills", key.Fills, "Queues", c.runTimes.Keys(),
			"RunTime", learnt.RunTime, "Ratio", rounded(learnt.Ratio), "RatioSpread", rounded(learnt.RatioSpread))
	}
}

// wasMeasured reports whether the beginning and the end of a run are known well enough.
func (r *run) wasMeasured(t *task, now cottonlanding.Millis) bool {
	return r.ackedAt > 0 && r.firstSentAt > 0 && r.unansweredStarts == 0 && !r.startedByOtherLife &&
		r.worker.endUncertainty <= max(maxEndUncertainty, t.stage.expectedTime()/endUncertaintyDivisor) &&
		t.checkpointHolder().resumeFrom.text == "" && now > r.ackedAt
}

// accountFullSpeed adds the time since the last sample to the time that a filling run would have taken at full speed.
// Its speed is the processors that it used in the sample that ends the time.
func (r *run) accountFullSpeed(used cottonlanding.Millicores, now cottonlanding.Millis) {
	if !r.step.Fills || r.step.Resources.CPU <= 0 {
		return
	}
	r.speed = min(max(float64(used)/float64(r.step.Resources.CPU), 0), 1)
	since := max(r.speedAt, r.ackedAt)
	r.fullSpeedTime += r.speed * float64(now-since)
	r.speedAt = now
}

// timeAtFullSpeed returns how long a run that ends now would have taken with all processors that it asks for.
func (r *run) timeAtFullSpeed(now cottonlanding.Millis) cottonlanding.Millis {
	if !r.step.Fills {
		return now - r.ackedAt
	}
	speed := r.speed
	if r.speedAt == 0 {
		speed = float64(max(r.pace, 0)) / fullPace
	}
	since := max(r.speedAt, r.ackedAt)
	return cottonlanding.Millis(r.fullSpeedTime + speed*float64(now-since))
}

// LoadRunTimes loads the row of a previous owner; without it everything is learnt again. It fails if the row can't be
// decoded, and the row is then overwritten.
func (c *Cell) LoadRunTimes(row cottonlanding.Row) error {
	c.runTimesVersion = row.Version // also of an unreadable row
	if c.runTimes == nil {
		return nil
	}
	var learnt estimator.Row
	if err := json.Unmarshal(row.Value, &learnt); err != nil {
		return fmt.Errorf("row %s: %w", row.Key, err)
	}
	c.runTimes.Restore(learnt)
	return nil
}

// runTimesDue reports whether the learnt run times are to be stored again.
func (c *Cell) runTimesDue(now cottonlanding.Millis) bool {
	return c.runTimesChanged && now-c.runTimesAt >= saveLearntInterval
}

// planRunTimes adds the learnt run times to a plan every saveLearntInterval if they have changed.
func (c *Cell) planRunTimes(plan *Plan, now cottonlanding.Millis) {
	if !c.runTimesDue(now) {
		return
	}
	c.runTimesAt, c.runTimesChanged = now, false
	value := encode(c.runTimes.Row())
	if len(value) > maxLearntBytes {
		c.log.Warn("learnt run times exceed the size limit of their row and are not stored", "Bytes", len(value), "Most", maxLearntBytes)
		return
	}
	plan.runTimes = true
	plan.add(cottonlanding.Write{Key: RunTimesKey(c.setup.Partition), Expect: c.runTimesVersion, Value: value, Unchecked: true})
}

// learntQueues counts the queues and kinds of step of which run times were learnt.
func (c *Cell) learntQueues() int {
	if c.runTimes == nil {
		return 0
	}
	return c.runTimes.Keys()
}
