package forecaster

import (
	"math"

	"github.com/cottonlanding/cottonlanding"
)

// amplitudeRidge keeps a fit to a part of a period from extrapolating to amplitudes that no load has. It is the ratio of
// the variances of an observation, 0.06 squared, and of a coefficient, 0.25 squared.
const amplitudeRidge = 0.06

// wave is a mean and one sine wave.
type wave struct {
	period cottonlanding.Millis
	// origin is the instant from which the angles count.
	origin cottonlanding.Millis
	mean   float64
	cos    float64
	sin    float64
}

// at returns the wave's value at an instant.
func (w *wave) at(at cottonlanding.Millis) float64 {
	sin, cos := math.Sincos(angle(at-w.origin, w.period))
	return w.mean + w.cos*cos + w.sin*sin
}

// crest returns the first instant from one on at which the wave is at its maximum.
func (w *wave) crest(from cottonlanding.Millis) cottonlanding.Millis {
	ahead := math.Mod(math.Atan2(w.sin, w.cos)-angle(from-w.origin, w.period), 2*math.Pi)
	if ahead < 0 {
		ahead += 2 * math.Pi
	}
	return from + cottonlanding.Millis(ahead/(2*math.Pi)*float64(w.period))
}

func angle(span, period cottonlanding.Millis) float64 {
	return 2 * math.Pi * float64(span) / float64(period)
}

// moments holds the weighted sums from which a wave is fitted by least squares.
type moments struct {
	n                                  float64
	w, c, s, cc, cs, ss, y, yc, ys, yy float64
}

// add adds a value that was observed at the angle with the given cosine and sine.
func (m *moments) add(weight, cos, sin, value float64) {
	m.n++
	m.w += weight
	m.c += weight * cos
	m.s += weight * sin
	m.cc += weight * cos * cos
	m.cs += weight * cos * sin
	m.ss += weight * sin * sin
	m.y += weight * value
	m.yc += weight * value * cos
	m.ys += weight * value * sin
	m.yy += weight * value * value
}

// fit returns the coefficients of the wave, the sum of squares around the mean and the part of it that the wave
// explains. There must be a value.
func (m *moments) fit() (mean, cos, sin, total, explained float64) {
	cc := m.cc - m.c*m.c/m.w + amplitudeRidge
	ss := m.ss - m.s*m.s/m.w + amplitudeRidge
	cs := m.cs - m.c*m.s/m.w
	yc := m.yc - m.y*m.c/m.w
	ys := m.ys - m.y*m.s/m.w
	determinant := cc*ss - cs*cs // positive, by the ridge
	cos = (ss*yc - cs*ys) / determinant
	sin = (cc*ys - cs*yc) / determinant
	mean = (m.y - cos*m.c - sin*m.s) / m.w
	return mean, cos, sin, m.yy - m.y*m.y/m.w, cos*yc + sin*ys
}

// decayingMean is a mean of values whose weights decay with their age.
type decayingMean struct {
	sum, weight float64
	at          cottonlanding.Millis
}

// add adds a value. Earlier ones lose all but 1/e of their weight in timeConstant.
func (m *decayingMean) add(value, weight float64, at, timeConstant cottonlanding.Millis) {
	decay := math.Exp(-float64(at-m.at) / float64(timeConstant))
	m.sum, m.weight, m.at = m.sum*decay+value*weight, m.weight*decay+weight, at
}

// mean returns the mean together with a prior value.
func (m *decayingMean) mean(prior, priorWeight float64) float64 {
	return (m.sum + prior*priorWeight) / (m.weight + priorWeight)
}
