package planner

import (
	"math"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// initialStandardError is how far the true weight of a pair may lie from firstWeight.
	initialStandardError = 2.5
	// measurementNoise is the error of a figure less its step's load: 0.06 as seen on runs,
	// twice that since the figures of one worker's tasks come together and share the
	// error of what their step's load is expected to be.
	measurementNoise = 0.12
	// weightDrift is by how much a weight may shift from one figure to the next: over a
	// minute of figures by about half, so that what was learnt wrongly is forgotten.
	weightDrift = 0.012
)

// weightEstimate holds the weights of the filling images beside one serving image. It is
// a Kalman filter: the use of the filling images explains how much busier a task is
// than its own load, and each weight has a doubt that shrinks with what was learnt.
type weightEstimate struct {
	index   map[cottonlanding.Image]int
	weights []float64
	// doubt is the covariance of the weights.
	doubt [][]float64
}

func newWeightEstimate() *weightEstimate {
	return &weightEstimate{index: make(map[cottonlanding.Image]int)}
}

// unknownPair is the view of a pair that was never seen.
var unknownPair = cottonlanding.PairView{Weight: initialWeight, Doubt: initialStandardError}

// pair returns what is known of a filling image.
func (e *weightEstimate) pair(image cottonlanding.Image) cottonlanding.PairView {
	at, known := e.index[image]
	if !known {
		return unknownPair
	}
	return cottonlanding.PairView{Weight: e.weights[at], Doubt: math.Sqrt(e.doubt[at][at])}
}

// predict returns how much busier the use makes the image, and the variance of that.
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

// learn takes in how much busier the image is with the filling images' use.
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

// update is one step of the filter.
func (e *weightEstimate) update(use []float64, added float64) {
	n := len(e.weights)
	covarianceUse := make([]float64, n) // doubt x use
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
