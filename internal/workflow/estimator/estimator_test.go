package estimator_test

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/estimator"
)

// load draws the steps of a queue. Steps take mean times exp(spread) and their tasks differ by exp(taskSpread); clients
// estimate a step as factor times its run time, off by exp(off).
type load struct {
	mean, spread, taskSpread, factor, off float64
	tasks                                 int
}

type step struct {
	took     float64 // logarithm
	declared cottonlanding.Millis
	tasks    []cottonlanding.Millis
}

func (l load) draw(random *rand.Rand) step {
	out := step{took: math.Log(l.mean) + l.spread*random.NormFloat64()}
	out.declared = cottonlanding.Millis(math.Exp(out.took+l.off*random.NormFloat64()) * l.factor)
	for range l.tasks {
		out.tasks = append(out.tasks, cottonlanding.Millis(math.Exp(out.took+l.taskSpread*random.NormFloat64())))
	}
	return out
}

var key = estimator.Key{Queue: "q"}

func learn(e *estimator.Estimator, key estimator.Key, s step, now cottonlanding.Millis) {
	var ended estimator.Ended
	for _, took := range s.tasks {
		ended = e.Add(key, s.declared, ended, took)
	}
	e.Record(key, s.declared, ended, now)
}

// deviations returns the root mean squares of the logarithmic errors of the expected run times and of the estimates of
// the clients, and the fraction of tasks below High, for 400 steps that follow 400 learnt ones.
func (l load) deviations(t *testing.T) (learnt, declared, below float64) {
	t.Helper()
	random, e := rand.New(rand.NewPCG(7, 9)), estimator.New()
	for at := range 400 {
		learn(e, key, l.draw(random), cottonlanding.Millis(at))
	}
	count := 0.0
	for range 400 {
		s := l.draw(random)
		estimate := e.Estimate(key, s.declared, estimator.Ended{})
		learnt += math.Pow(math.Log(float64(estimate.Expected))-s.took, 2)
		declared += math.Pow(math.Log(float64(s.declared))-s.took, 2)
		for _, took := range s.tasks {
			count++
			if took <= estimate.High {
				below++
			}
		}
	}
	t.Logf("off by %.2f with the estimates of clients, %.2f learnt, %.2f below High", math.Sqrt(declared/400), math.Sqrt(learnt/400), below/count)
	return math.Sqrt(learnt / 400), math.Sqrt(declared / 400), below / count
}

// TestEstimatesOfClientsAreCorrected guards against estimates that are off by exp(0.9), as in the deployment pst, or by
// a constant factor, being taken at face value, and against good ones being shrunk to the mean of their queue.
func TestEstimatesOfClientsAreCorrected(t *testing.T) {
	for name, one := range map[string]struct {
		load load
		// gain bounds the error, as a fraction of that of the client's estimates.
		gain float64
	}{
		"off by exp(0.9)":       {load{mean: 800, spread: 0.5, taskSpread: 0.3, factor: 1, off: 0.9, tasks: 10}, 0.6},
		"off by exp(0.2)":       {load{mean: 850, spread: 0.8, taskSpread: 0.3, factor: 1, off: 0.2, tasks: 10}, 1.1},
		"a fifth of the truth":  {load{mean: 2200, spread: 0.5, taskSpread: 0.3, factor: 0.2, off: 0.3, tasks: 20}, 0.25},
		"one task for each job": {load{mean: 800, spread: 0.5, taskSpread: 0.3, factor: 1, off: 0.9, tasks: 1}, 0.65},
	} {
		t.Run(name, func(t *testing.T) {
			learnt, declared, below := one.load.deviations(t)
			require.Less(t, learnt, one.gain*declared)
			require.InDelta(t, 0.9, below, 0.06)
		})
	}
}

// TestEndedTasksNarrowTheEstimate guards against a step that is four times as long as its queue's others being taken
// for a usual one after its first tasks have ended, and against the shortest of its tasks being taken for usual ones.
func TestEndedTasksNarrowTheEstimate(t *testing.T) {
	random, e := rand.New(rand.NewPCG(3, 5)), estimator.New()
	usual := load{mean: 1000, spread: 0.4, taskSpread: 0.4, factor: 1, off: 0.9, tasks: 20}
	for at := range 300 {
		learn(e, key, usual.draw(random), cottonlanding.Millis(at))
	}
	long := load{mean: 4000, taskSpread: 0.4, factor: 0.3, tasks: 20}.draw(random)
	slices.Sort(long.tasks)
	var ended estimator.Ended
	for _, took := range long.tasks[:3] {
		ended = e.Add(key, long.declared, ended, took)
	}
	naive := e.Estimate(key, long.declared, ended).Expected
	ended.Running = len(long.tasks) - 3
	expected := e.Estimate(key, long.declared, ended).Expected
	t.Logf("client %d, naive %d, corrected %d of 4000 ms", long.declared, naive, expected)
	require.Greater(t, expected, naive)
	require.InDelta(t, math.Log(4000), math.Log(float64(expected)), 0.3)
}

// TestInvalidInputTeachesNothing guards against estimates of zero or absurd size, and single tasks that stall, that
// change what is expected of others.
func TestInvalidInputTeachesNothing(t *testing.T) {
	e, random := estimator.New(), rand.New(rand.NewPCG(1, 2))
	for at := range 100 {
		learn(e, key, load{mean: 1000, spread: 0.3, taskSpread: 0.2, factor: 1, off: 0.2, tasks: 10}.draw(random), cottonlanding.Millis(at))
	}
	before := e.Row()
	for _, declared := range []cottonlanding.Millis{0, -5, math.MaxInt64, math.MinInt64} {
		learn(e, key, step{declared: declared, tasks: []cottonlanding.Millis{1, 100_000}}, 200)
		require.Equal(t, estimator.Estimate{Expected: declared, High: declared}, e.Estimate(key, declared, estimator.Ended{}))
	}
	require.Equal(t, estimator.Ended{}, e.Add(key, 1000, estimator.Ended{}, 0))
	require.Equal(t, estimator.Ended{}, e.Add(key, 1000, estimator.Ended{}, -1))
	long := estimator.Key{Queue: cottonlanding.QueueName(strings.Repeat("q", 300))}
	learn(e, long, step{declared: 1000, tasks: []cottonlanding.Millis{1000}}, 200)
	require.Equal(t, before, e.Row())

	expected := e.Estimate(key, 1000, estimator.Ended{}).Expected
	learn(e, key, step{declared: 86_400_000, tasks: []cottonlanding.Millis{1, math.MaxInt64}}, 200)
	require.InEpsilon(t, float64(expected), float64(e.Estimate(key, 1000, estimator.Ended{}).Expected), 0.1)
	require.Less(t, e.Estimate(key, 86_400_000, estimator.Ended{}).Expected, 100*cottonlanding.Second, "a client that is off by far")
}

// TestStateIsBounded guards against more memory, and a row that is too long, with ever new queues, and against queues
// that affect each other.
func TestStateIsBounded(t *testing.T) {
	e := estimator.New()
	name := func(at int) estimator.Key {
		return estimator.Key{Queue: cottonlanding.QueueName(fmt.Sprintf("%0256d", at)), Fills: at%2 == 0}
	}
	for round := range 20 {
		for at := range 64 {
			took := cottonlanding.Millis(100 * (at + 1))
			learn(e, name(at), step{declared: 1000, tasks: []cottonlanding.Millis{took, took}}, cottonlanding.Millis(round))
		}
	}
	for at := range 64 {
		require.InEpsilon(t, 100*float64(at+1), float64(e.Estimate(name(at), 1000, estimator.Ended{}).Expected), 0.15, "queue %d", at)
	}
	for at := range 200 {
		learn(e, name(1000+at), step{declared: 1000, tasks: []cottonlanding.Millis{2000}}, 100)
		learn(e, name(0), step{declared: 1000, tasks: []cottonlanding.Millis{100}}, 100)
	}
	require.Equal(t, 64, e.Keys())
	require.True(t, e.Known(name(0)), "a queue in use is evicted")
	require.Equal(t, cottonlanding.Millis(1000), e.Estimate(name(1), 1000, estimator.Ended{}).Expected, "an evicted queue")
	row, err := json.Marshal(e.Row())
	require.NoError(t, err)
	require.Less(t, len(row), 32<<10)
}

// TestNextOwnerEstimatesAlike guards against a new owner that expects something else, and against a row with impossible
// values that spoils its estimates.
func TestNextOwnerEstimatesAlike(t *testing.T) {
	e, next, random := estimator.New(), estimator.New(), rand.New(rand.NewPCG(1, 2))
	for at := range 100 {
		learn(e, key, load{mean: 1000, spread: 0.5, taskSpread: 0.3, factor: 1, off: 0.9, tasks: 10}.draw(random), cottonlanding.Millis(at))
	}
	row := e.Row()
	row.Queues = append(row.Queues, estimator.QueueRow{Queue: "bad", Steps: 100, Took: 900}, estimator.QueueRow{Queue: "worse", Steps: -1})
	next.Restore(row)
	require.Equal(t, 1, next.Keys())
	for _, declared := range []cottonlanding.Millis{100, 1000, 10_000} {
		require.InEpsilon(t, float64(e.Estimate(key, declared, estimator.Ended{}).High), float64(next.Estimate(key, declared, estimator.Ended{}).High), 0.01)
	}
}
