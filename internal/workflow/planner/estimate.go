package planner

import (
	"math"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// initialStandardError is the assumed standard error of initialWeight.
	initialStandardError = 2.5
	// measurementNoise is the standard error of a measured load less the expected load of its step. A single
	// measurement has 0.06; measurements of tasks on one worker share the error of the expected load, which doubles
	// it.
	measurementNoise = 0.12
	// weightDrift is the assumed standard deviation by which a weight changes between two measurements. Over a
	// minute of measurements it adds up to about half, so that wrong estimates are corrected.
	weightDrift = 0.012
)

// weightEstimate holds the interference weights of the filling images next to one serving image. It is a Kalman
// filter that attributes the load of a task beyond its own to the CPU use of the filling images. The uncertainty of
// a weight shrinks with the measurements.
type weightEstimate struct {
	index   map[cottonlanding.Image]int
	weights []float64
	// doubt is the covariance matrix of the weights.
	doubt [][]float64
}

func newWeightEstimate() *weightEstimate {
	return &weightEstimate{index: make(map[cottonlanding.Image]int)}
}

// unknownPair is the view of a pair that was never observed.
var unknownPair = cottonlanding.PairView{Weight: initialWeight, StandardError: initialStandardError}

// pair returns the estimate for a filling image.
func (e *weightEstimate) pair(image cottonlanding.Image) cottonlanding.PairView {
	at, known := e.index[image]
	if !known {
		return unknownPair
	}
	return cottonlanding.PairView{Weight: e.weights[at], StandardError: math.Sqrt(e.doubt[at][at])}
}

// predict returns the load that the use of filling images adds to the serving image, and its variance.
func (e *weightEstimate) predict(used map[cottonlanding.Image]float64) (added, variance float64) {
	for image, share := range used {
		e.addImage(image)
		added += max(e.weights[e.index[image]], 0) * share
	}
	for image, share := range used {
		for other, otherShare := range used {
			variance += e.doubt[e.index[image]][e.index[other]] * share * otherShare
		}
	}
	return added, max(variance, 0)
}

func (e *weightEstimate) addImage(image cottonlanding.Image) {
	if _, known := e.index[image]; known {
		return
	}
	e.index[image] = len(e.weights)
	e.weights = append(e.weights, initialWeight)
	for i := range e.doubt {
		e.doubt[i] = append(e.doubt[i], 0)
	}
	row := make([]float64, len(e.weights))
	row[len(row)-1] = initialStandardError * initialStandardError
	e.doubt = append(e.doubt, row)
}

// learn records the load that was added while the filling images used the given shares of a worker.
func (e *weightEstimate) learn(used map[cottonlanding.Image]float64, added float64) {
	for image := range used {
		e.addImage(image)
	}
	use := make([]float64, len(e.weights))
	for image, share := range used {
		use[e.index[image]] = share
	}
	e.update(use, added)
}

// update is one step of the Kalman filter.
func (e *weightEstimate) update(use []float64, added float64) {
	n := len(e.weights)
	covarianceUse := make([]float64, n) // doubt * use
	variance := measurementNoise * measurementNoise
	predicted := 0.0
	for i := range n {
		e.doubt[i][i] += weightDrift * weightDrift
		for j := range n {
			covarianceUse[i] += e.doubt[i][j] * use[j]
		}
		variance += use[i] * covarianceUse[i]
		predicted += use[i] * e.weights[i]
	}
	residual := added - predicted
	for i := range n {
		gain := covarianceUse[i] / variance
		e.weights[i] += gain * residual
		for j := range n {
			e.doubt[i][j] -= gain * covarianceUse[j]
		}
	}
}
