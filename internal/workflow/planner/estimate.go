package planner

import (
	"math"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// firstDoubt is how far the true weight of a pair may lie from firstWeight.
	firstDoubt = 2.5
	// figureNoise is the error of a figure less its step's load: 0.06 as seen on runs,
	// twice that since the figures of one worker's tasks come together and share the
	// error of what their step's load is expected to be.
	figureNoise = 0.12
	// weightDrift is by how much a weight may shift from one figure to the next: over a
	// minute of figures by about half, so that what was learnt wrongly is forgotten.
	weightDrift = 0.012
)

// estimate holds the weights of the filling images beside one serving image. It is
// a Kalman filter: the use of the filling images explains how much busier a task is
// than its own load, and each weight has a doubt that shrinks with what was learnt.
type estimate struct {
	index   map[cottonlanding.Image]int
	weights []float64
	// doubt is the covariance of the weights.
	doubt [][]float64
}

func newEstimate() *estimate {
	return &estimate{index: make(map[cottonlanding.Image]int)}
}

// unknownPair is the view of a pair that was never seen.
var unknownPair = cottonlanding.PairView{Weight: firstWeight, Doubt: firstDoubt}

// pair returns what is known of a filling image.
func (e *estimate) pair(image cottonlanding.Image) cottonlanding.PairView {
	at, known := e.index[image]
	if !known {
		return unknownPair
	}
	return cottonlanding.PairView{Weight: e.weights[at], Doubt: math.Sqrt(e.doubt[at][at])}
}

// predict returns how much busier the use makes the image, and the variance of that.
func (e *estimate) predict(used map[cottonlanding.Image]float64) (added, variance float64) {
	for image, share := range used {
		e.add(image)
		added += max(e.weights[e.index[image]], 0) * share
	}
	for image, share := range used {
		for other, otherShare := range used {
			variance += e.doubt[e.index[image]][e.index[other]] * share * otherShare
		}
	}
	return added, max(variance, 0)
}

func (e *estimate) add(image cottonlanding.Image) {
	if _, known := e.index[image]; known {
		return
	}
	e.index[image] = len(e.weights)
	e.weights = append(e.weights, firstWeight)
	for i := range e.doubt {
		e.doubt[i] = append(e.doubt[i], 0)
	}
	row := make([]float64, len(e.weights))
	row[len(row)-1] = firstDoubt * firstDoubt
	e.doubt = append(e.doubt, row)
}

// learn takes in how much busier the image is with the filling images' use.
func (e *estimate) learn(used map[cottonlanding.Image]float64, busier float64) {
	for image := range used {
		e.add(image)
	}
	use := make([]float64, len(e.weights))
	for image, share := range used {
		use[e.index[image]] = share
	}
	e.update(use, busier)
}

// update is one step of the filter.
func (e *estimate) update(use []float64, busier float64) {
	n := len(e.weights)
	spread := make([]float64, n) // doubt x use
	variance := figureNoise * figureNoise
	predicted := 0.0
	for i := range n {
		e.doubt[i][i] += weightDrift * weightDrift
		for j := range n {
			spread[i] += e.doubt[i][j] * use[j]
		}
		variance += use[i] * spread[i]
		predicted += use[i] * e.weights[i]
	}
	off := busier - predicted
	for i := range n {
		gain := spread[i] / variance
		e.weights[i] += gain * off
		for j := range n {
			e.doubt[i][j] -= gain * spread[j]
		}
	}
}
