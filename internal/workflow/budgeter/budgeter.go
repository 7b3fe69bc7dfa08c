// Package budgeter divides the budgets of serving tasks among the filling tasks on their worker.
//
// A budget is by how much filling tasks may raise the utilization of one serving task until its next sample. The
// package is pure: it has no goroutines, clocks or I/O.
package budgeter

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// FullPace is the pace of an unthrottled run, in percent.
	FullPace = 100
	// minPaceChange is the smallest rise of a pace that is worth an order, in percentage points.
	minPaceChange = 15
	// minPace is the lowest pace above zero, in percent.
	minPace = 15
	// maxPaceRise is the largest rise of a pace at a time, in percentage points: it limits the harm of a rough
	// measurement until the next one.
	maxPaceRise = 40
	// minUsage is added to divisors that may be zero.
	minUsage = 0.005
)

// Budget is by how much filling tasks may raise the utilization of one serving task: Heavy limits those above
// cottonlanding.LightWeight, Light the others.
type Budget struct {
	Heavy float64
	Light float64
}

// fraction returns the fraction of its full use that the budget leaves to a filling task.
func (b Budget) fraction(weight, share float64) float64 {
	if weight > cottonlanding.LightWeight {
		return Fraction(b.Heavy, weight, share)
	}
	return Fraction(b.Light, weight, share)
}

// Fraction returns the fraction of its full use that a filling task may have if it may raise a utilization by left.
// share is the fraction of the worker that it uses at full pace. The result may exceed one.
func Fraction(left, weight, share float64) float64 { return max(left, 0) / (weight*share + minUsage) }

// AllowsStart reports whether one more run may start which raises a utilization by cost, if it may be raised by left.
// unsampled counts the runs that no sample covers yet. Without any, one may start in any case, so that light filling
// tasks are never kept out by the load of the serving task alone.
func AllowsStart(left, cost float64, unsampled int) bool { return unsampled == 0 || cost <= left }

// Task is a filling task.
type Task struct {
	// Weights holds its weight for each serving task, in the order of the budgets.
	Weights []float64
	// Share is the fraction of the worker that it uses at full pace.
	Share float64
	// Pace is its present pace, in percent.
	Pace int
}

// SetPaces sets the paces of the tasks within the budgets, which it consumes. Tasks that interfere least are served
// first.
func SetPaces(budgets []Budget, tasks []Task) {
	order := make([]int, len(tasks))
	largest := make([]float64, len(tasks))
	for i, t := range tasks {
		order[i] = i
		for _, weight := range t.Weights {
			largest[i] = max(largest[i], weight)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(largest[a], largest[b]) })
	for _, i := range order {
		t := &tasks[i]
		fraction := 1.0
		for at, weight := range t.Weights {
			fraction = min(fraction, budgets[at].fraction(weight, t.Share))
		}
		t.Pace = nextPace(t.Pace, int(fraction*FullPace))
		for at, weight := range t.Weights {
			used := weight * t.Share * float64(t.Pace) / FullPace
			budgets[at].Heavy -= used
			budgets[at].Light -= used
		}
	}
}

// nextPace returns the pace that follows the present one if the budget leaves allowed. A small rise isn't worth an
// order.
func nextPace(present, allowed int) int {
	pace := min(allowed, present+maxPaceRise)
	if pace < minPace {
		pace = 0
	}
	change := pace - present
	if change < 0 || change >= minPaceChange || change > 0 && pace == FullPace {
		return pace
	}
	return present
}

// InitialPace returns the pace with which a run starts that may have the given fraction of its full use. It isn't zero:
// a run that is started at all makes some progress until the next sample.
func InitialPace(fraction float64) int {
	return min(max(int(fraction*FullPace), minPace), FullPace)
}
