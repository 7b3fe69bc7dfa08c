package predictor

import (
	"math"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// memory is how many ends the past is worth: some seconds of a busy queue.
	memory = 400
	// fewest is how many ends must be known before they are relied on: the mean of
	// twelve logarithms is off by a quarter of one's spread.
	fewest = 12
)

// Learnt predicts from what the tasks of a queue took before. Its load is clients whose
// estimates are off by a factor of three while their tasks differ by less: the logarithm
// of what a task takes is a linear function of that of its estimate, whose slope tells
// how far estimates can be relied on.
type Learnt struct {
	queues map[cottonlanding.QueueName]*regression
}

// NewLearnt returns a predictor that knows nothing yet.
func NewLearnt() *Learnt {
	return &Learnt{queues: make(map[cottonlanding.QueueName]*regression)}
}

// Learn implements cottonlanding.RunTimePredictor.
func (l *Learnt) Learn(queue cottonlanding.QueueName, estimate, took cottonlanding.Millis) {
	if estimate <= 0 || took <= 0 {
		return
	}
	known := l.queues[queue]
	if known == nil {
		known = &regression{}
		l.queues[queue] = known
	}
	known.add(math.Log(float64(estimate)), math.Log(float64(took)))
}

// Predict implements cottonlanding.RunTimePredictor.
func (l *Learnt) Predict(queue cottonlanding.QueueName, estimate cottonlanding.Millis) cottonlanding.Millis {
	known := l.queues[queue]
	if estimate <= 0 || known == nil || known.count < fewest {
		return estimate
	}
	return cottonlanding.Millis(math.Exp(known.at(math.Log(float64(estimate)))))
}

// regression is a line through points of which older ones count less.
type regression struct {
	count    float64
	x, y     float64 // means
	sxx, sxy float64 // mean squares and products about the means
}

// add takes in a point.
func (r *regression) add(x, y float64) {
	r.count = min(r.count+1, memory)
	gain := 1 / r.count
	dx, dy := x-r.x, y-r.y
	r.x += gain * dx
	r.y += gain * dy
	r.sxx += gain * (dx*dx*(1-gain) - r.sxx)
	r.sxy += gain * (dx*dy*(1-gain) - r.sxy)
}

// at returns the line's value; its slope is kept between none and a full belief in x.
func (r *regression) at(x float64) float64 {
	slope := 0.0
	if r.sxx > 0 {
		slope = min(max(r.sxy/r.sxx, 0), 1)
	}
	return r.y + slope*(x-r.x)
}
