package predictor_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/predictor"
)

// feed lets a predictor learn 400 tasks whose logarithms of run time have a spread, and
// whose estimates are off by another, and returns the mean error of what it foretells of
// 400 more, in logarithms.
func feed(p cottonlanding.RunTimePredictor, spread, off float64) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	sum := 0.0
	for number := range 800 {
		took := 1700 * math.Exp(spread*random.NormFloat64())
		estimate := cottonlanding.Millis(took * math.Exp(off*random.NormFloat64()))
		if number >= 400 {
			sum += math.Abs(math.Log(float64(p.Predict("q", estimate)) / took))
			continue
		}
		p.Learn("q", estimate, cottonlanding.Millis(took))
	}
	return sum / 400
}

// TestLearntWeighsEstimates plays the loads seen on the users' platform: estimates that
// are off by a factor of 2.5 for tasks that differ by 1.6, and good ones.
func TestLearntWeighsEstimates(t *testing.T) {
	require.Less(t, feed(predictor.NewLearnt(), 0.5, 0.9), 0.6*feed(predictor.Declared{}, 0.5, 0.9))
	require.InDelta(t, feed(predictor.Declared{}, 0.5, 0.1), feed(predictor.NewLearnt(), 0.5, 0.1), 0.02)
}

func TestLearntBelievesTheEstimateAtFirst(t *testing.T) {
	p := predictor.NewLearnt()
	p.Learn("q", 1000, 5000)
	require.Equal(t, cottonlanding.Millis(1000), p.Predict("q", 1000))
	require.Zero(t, p.Predict("q", 0), "no estimate is none")
}
