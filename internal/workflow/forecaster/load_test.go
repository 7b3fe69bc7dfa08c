package forecaster_test

import (
	"math"
	"math/rand/v2"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/forecaster"
)

const (
	second = cottonlanding.Second
	// noise is the standard deviation of samples around a load, correlation that of samples half a second apart.
	noise       = 0.06
	correlation = 0.55
)

// load is the utilization of a step at an instant.
type load func(at cottonlanding.Millis) float64

// wave is a load that swings around 0.42.
func wave(period cottonlanding.Millis, amplitude, phase float64) load {
	return func(at cottonlanding.Millis) float64 {
		return 0.42 + amplitude*math.Sin(2*math.Pi*(float64(at)/float64(period)+phase))
	}
}

// steady is a load that doesn't change.
func steady(at cottonlanding.Millis) float64 { return 0.42 }

// step is a simulated serving step. All its samples have the same error, as if the load itself scattered.
type step struct {
	series *forecaster.Series
	load   load
	error  float64
	// missing says that there are no samples.
	missing bool
}

// cell simulates the serving steps of a cell, each with samples every 125 ms.
type cell struct {
	now    cottonlanding.Millis
	season *forecaster.Season
	steps  []*step
	rand   *rand.Rand
}

func newCell(loads ...load) *cell {
	c := &cell{now: 3_600_000, season: forecaster.NewSeason(), rand: rand.New(rand.NewPCG(1, 2))}
	for _, one := range loads {
		c.add(one)
	}
	return c
}

func (c *cell) add(one load) *step {
	s := &step{series: forecaster.New(c.season), load: one}
	c.steps = append(c.steps, s)
	return s
}

// waves returns loads with one period whose phases are spread evenly.
func waves(n int, period cottonlanding.Millis) []load {
	out := make([]load, n)
	for i := range out {
		out[i] = wave(period, 0.22, float64(i)/float64(n))
	}
	return out
}

// run plays a span and calls each, if given, after every sampling.
func (c *cell) run(span cottonlanding.Millis, each func()) {
	const interval = 125 * cottonlanding.Millis(1)
	kept := math.Pow(correlation, float64(interval)/500)
	for end := c.now + span; c.now < end; {
		c.now += interval
		for _, s := range c.steps {
			s.error = kept*s.error + math.Sqrt(1-kept*kept)*noise*c.rand.NormFloat64()
			if !s.missing {
				s.series.Observe(max(s.load(c.now)+s.error, 0), 1, c.now)
			}
		}
		c.season.Update(c.now)
		if each != nil {
			each()
		}
	}
}

// rootMeanSquare returns that of the errors of the forecasts, made during a span, of the loads ahead.
func (c *cell) rootMeanSquare(span, ahead cottonlanding.Millis, steps ...*step) float64 {
	sum, count := 0.0, 0.0
	c.run(span, func() {
		for _, s := range steps {
			err := s.series.At(c.now+ahead) - s.load(c.now+ahead)
			sum, count = sum+err*err, count+1
		}
	})
	return math.Sqrt(sum / count)
}
