// Package estimator learns how long the tasks of each queue take, and corrects the estimates of clients with it.
//
// For each queue and kind of step it keeps the mean and variance of the logarithms of the measured run times and of the
// estimates, and their covariance, which together give the variance of the ratio of the two. The run time of a step
// given its estimate follows by linear regression: where estimates are nearly right they are kept apart from a constant
// factor, and where they say little the mean of the queue is used. Measured run times of the step itself narrow it down.
//
// The package has no goroutines, clocks or I/O.
package estimator

import (
	"math"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// maxKeys bounds the queues and kinds about which anything is known.
	maxKeys = 64
	// maxQueueName bounds the names of learnt queues, in bytes, so that the row of all of them stays below 32 KB.
	maxQueueName = 256
	// maxDeclared is the largest estimate that is corrected and learnt from.
	maxDeclared = cottonlanding.MaxEstimate
	// windowSteps is the number of recent steps that count: enough for a standard error of a twentieth of the spread,
	// and few enough to follow a change within half a minute at ten steps per second.
	windowSteps = 400
	// priorSteps is how many steps the initial assumption counts for: that estimates are off by a factor of
	// exp(priorSpread) and that the tasks of a step differ by a factor of exp(priorTaskSpread).
	priorSteps      = 5
	priorSpread     = 0.5
	priorTaskSpread = 0.2
	// priorEstimateVariance is the assumed variance of the logarithms of the estimates of the initial assumption. It
	// only matters while few estimates are known, or all are equal.
	priorEstimateVariance = 0.1
	// knownSteps is the number of steps from which values are clipped by what is known.
	knownSteps = 8
	// minSpread is the smallest assumed standard deviation of logarithms.
	minSpread = 0.02
	// maxSlope bounds by how much run times grow with estimates. Twice as large a slope is never due to estimates
	// that are merely off, but to few of them.
	maxSlope = 1.5
	// highQuantile is the 0.9 quantile of the standard normal distribution.
	highQuantile = 1.2816
	// revisionInterval is how often estimates are to be computed again because of what was learnt meanwhile.
	revisionInterval = cottonlanding.Second
)

// maxDeviation is the largest deviation from a mean that counts, as a logarithm.
var maxDeviation = math.Log(20)

// Key identifies a kind of step of a queue.
type Key struct {
	Queue cottonlanding.QueueName
	// Fills says that the steps are best-effort ones.
	Fills bool
}

// Estimate is how long a task of a step takes.
type Estimate struct {
	// Expected is the mean, High the run time that 90 of 100 tasks stay below.
	Expected, High cottonlanding.Millis
}

// Estimator holds what is known of all queues.
type Estimator struct {
	known map[Key]*statistics
	// revision changes at most once per revisionInterval; revisedAt is when it last did.
	revision  int64
	revisedAt cottonlanding.Millis
	// used numbers the uses of keys for the eviction of the least recently used one.
	used int64
}

// New returns an estimator that knows nothing.
func New() *Estimator { return &Estimator{known: make(map[Key]*statistics)} }

// Add returns the ended tasks of a step with another one, whose run time is clipped to what is known of the step.
func (e *Estimator) Add(key Key, declared cottonlanding.Millis, ended Ended, took cottonlanding.Millis) Ended {
	if !valid(key, declared) || took <= 0 {
		return ended
	}
	value := math.Log(float64(took))
	if s := e.known[key]; s != nil && s.steps >= knownSteps {
		mean, _ := s.posterior(math.Log(float64(declared)), ended)
		value = clip(value, mean)
	} else if ended.Tasks > 0 {
		value = clip(value, ended.mean())
	}
	return ended.with(value)
}

// Record learns from a finished step with the given estimate and ended tasks. All tasks of a step have the same
// estimate, so they count as one measurement of it.
func (e *Estimator) Record(key Key, declared cottonlanding.Millis, ended Ended, now cottonlanding.Millis) {
	if !valid(key, declared) || ended.Tasks <= 0 {
		return
	}
	s := e.known[key]
	if s == nil {
		e.makeRoom()
		s = &statistics{}
		e.known[key] = s
	}
	e.used++
	s.usedAt = e.used
	s.record(math.Log(float64(declared)), ended)
	if now-e.revisedAt >= revisionInterval || now < e.revisedAt {
		e.revision, e.revisedAt = e.revision+1, now
	}
}

// Estimate returns how long the tasks of a step take that have not ended. It is the client's estimate if that is no
// valid one, or if nothing is known of the queue and the step.
func (e *Estimator) Estimate(key Key, declared cottonlanding.Millis, ended Ended) Estimate {
	s := e.known[key]
	if !valid(key, declared) || s == nil && ended.Tasks == 0 {
		return Estimate{Expected: declared, High: declared}
	}
	if s == nil {
		s = &statistics{}
	}
	mean, variance := s.posterior(math.Log(float64(declared)), ended)
	variance += s.taskVariance()
	return Estimate{
		Expected: millis(mean + variance/2),
		High:     millis(mean + highQuantile*math.Sqrt(variance)),
	}
}

// Known reports whether enough steps have ended for the estimates of a key to rely on them.
func (e *Estimator) Known(key Key) bool {
	s := e.known[key]
	return s != nil && s.steps >= knownSteps
}

// Summary describes for operators what is known of a key.
type Summary struct {
	// RunTime is the geometric mean of the run times, Ratio that of run time to estimate. RatioSpread is the standard
	// deviation of the logarithm of the ratio.
	RunTime            cottonlanding.Millis
	Ratio, RatioSpread float64
}

// Summary returns what is known of a key, and the zero value if that is nothing.
func (e *Estimator) Summary(key Key) Summary {
	s := e.known[key]
	if s == nil {
		return Summary{}
	}
	return Summary{
		RunTime:     millis(s.meanTook),
		Ratio:       math.Exp(s.meanTook - s.meanDeclared),
		RatioSpread: math.Sqrt(max(s.varianceTook+s.varianceDeclared-2*s.covariance, 0)),
	}
}

// Keys counts the queues and kinds of step of which anything is known.
func (e *Estimator) Keys() int { return len(e.known) }

// Revision changes when estimates are to be computed again, at most once a second.
func (e *Estimator) Revision() int64 { return e.revision }

// makeRoom evicts the least recently used key if there are maxKeys.
func (e *Estimator) makeRoom() {
	if len(e.known) < maxKeys {
		return
	}
	var oldest Key
	least := int64(math.MaxInt64)
	for key, s := range e.known {
		if s.usedAt < least {
			oldest, least = key, s.usedAt
		}
	}
	delete(e.known, oldest)
}

// valid reports whether an estimate can be corrected and learnt from.
func valid(key Key, declared cottonlanding.Millis) bool {
	return declared > 0 && declared <= maxDeclared && len(key.Queue) <= maxQueueName
}

// clip limits the deviation of a value from a mean.
func clip(value, mean float64) float64 {
	return min(max(value, mean-maxDeviation), mean+maxDeviation)
}

// millis returns the run time of a logarithm, at least one millisecond and at most ten times maxDeclared.
func millis(logarithm float64) cottonlanding.Millis {
	return cottonlanding.Millis(math.Round(min(max(math.Exp(logarithm), 1), 10*float64(maxDeclared))))
}
