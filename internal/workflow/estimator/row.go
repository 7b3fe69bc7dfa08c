package estimator

import (
	"cmp"
	"math"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// Row is the stored form of what is known, for the next owner.
type Row struct {
	// Queues is ordered by the last use, the least recently used one first.
	Queues []QueueRow
}

// QueueRow is what is known of a queue and kind of step. Its keys are short as a cell has up to 64 of them.
type QueueRow struct {
	Queue cottonlanding.QueueName `json:"Q"`
	Fills bool                    `json:"F,omitempty"`
	Steps float64                 `json:"N"`
	Tasks float64                 `json:"T"`
	// Took and Declared are the means of the logarithms of run times and estimates in milliseconds; the variances and
	// the covariance are those of the steps. WithinStep is the variance of the tasks of a step around its mean.
	Took             float64 `json:"MT"`
	Declared         float64 `json:"MD"`
	InverseTasks     float64 `json:"I"`
	VarianceTook     float64 `json:"VT"`
	VarianceDeclared float64 `json:"VD"`
	Covariance       float64 `json:"C"`
	WithinStep       float64 `json:"W"`
}

// Row returns what is known.
func (e *Estimator) Row() Row {
	var out Row
	for key, s := range e.known {
		out.Queues = append(out.Queues, QueueRow{
			Queue: key.Queue, Fills: key.Fills, Steps: s.steps, Tasks: s.tasks,
			Took: rounded(s.meanTook), Declared: rounded(s.meanDeclared), InverseTasks: rounded(s.inverseTasks),
			VarianceTook: rounded(s.varianceTook), VarianceDeclared: rounded(s.varianceDeclared),
			Covariance: rounded(s.covariance), WithinStep: rounded(s.withinStep),
		})
	}
	slices.SortFunc(out.Queues, func(a, b QueueRow) int {
		return cmp.Compare(e.known[a.key()].usedAt, e.known[b.key()].usedAt)
	})
	return out
}

// Restore replaces what is known by the content of a row. Entries with impossible values are left out.
func (e *Estimator) Restore(row Row) {
	clear(e.known)
	for _, q := range row.Queues {
		if !q.valid() {
			continue
		}
		e.makeRoom()
		e.used++
		e.known[q.key()] = &statistics{
			steps: min(q.Steps, windowSteps), tasks: min(q.Tasks, windowSteps*10),
			meanTook: q.Took, meanDeclared: q.Declared, inverseTasks: q.InverseTasks,
			varianceTook: q.VarianceTook, varianceDeclared: q.VarianceDeclared,
			covariance: q.Covariance, withinStep: q.WithinStep, usedAt: e.used,
		}
	}
	e.revision++
}

func (q QueueRow) key() Key { return Key{Queue: q.Queue, Fills: q.Fills} }

// valid reports whether the values can have been learnt.
func (q QueueRow) valid() bool {
	maxLog := math.Log(10 * float64(maxDeclared))
	for _, value := range []float64{q.Took, q.Declared, q.VarianceTook, q.VarianceDeclared, q.WithinStep} {
		if value < 0 || value > maxLog*maxLog {
			return false
		}
	}
	const roundingError = 0.01
	return q.Steps >= 1 && q.Tasks >= 0 && q.InverseTasks >= 0 && q.InverseTasks <= 1 && len(q.Queue) <= maxQueueName &&
		q.Took <= maxLog && q.Declared <= maxLog &&
		math.Abs(q.Covariance) <= math.Sqrt(q.VarianceTook*q.VarianceDeclared)+roundingError
}

// rounded rounds to four decimals, finer than any standard error.
func rounded(value float64) float64 { return math.Round(value*1e4) / 1e4 }
