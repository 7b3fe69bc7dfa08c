package forecaster

import (
	"math"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// maxBins bounds the bins of a series.
	maxBins = 64
	// minBinWidth is the span of a bin while the period may be short. Errors of measurement are correlated over half a
	// second, so shorter bins tell no more.
	minBinWidth = 500 * cottonlanding.Millis(1)
)

// bin is the weighted sum of the observations of one span of time.
type bin struct {
	// index is the number of the span, counted in spans of the width from instant zero.
	index       int64
	weight, sum float64
}

// bins holds the latest observations of a series. The indexes of all series agree.
type bins struct {
	width cottonlanding.Millis
	// ring holds the bin of an index at the index modulo maxBins.
	ring [maxBins]bin
	// newest is the index of the latest bin.
	newest int64
}

// add adds an observation.
func (b *bins) add(value, weight float64, at cottonlanding.Millis) {
	b.addBin(bin{int64(at / b.width), weight, value * weight})
}

func (b *bins) addBin(one bin) {
	slot := &b.ring[one.index%maxBins]
	if slot.index != one.index {
		*slot = bin{index: one.index}
	}
	slot.weight += one.weight
	slot.sum += one.sum
	b.newest = max(b.newest, one.index)
}

// widen merges the bins into ones of a multiple of their width.
func (b *bins) widen(width cottonlanding.Millis) {
	merged := bins{width: width}
	for _, one := range b.ring {
		if one.weight > 0 {
			one.index /= int64(width / b.width)
			merged.addBin(one)
		}
	}
	*b = merged
}

// sample is the mean of a complete bin.
type sample struct {
	// age counts the bins that began after this one, up to the current one.
	age    int
	weight float64
	value  float64
}

// samples appends the samples of the complete bins from an instant on, oldest first. The weight of a bin is below one,
// however many observations it has: their errors are correlated.
func (b *bins) samples(to []sample, from, now cottonlanding.Millis) []sample {
	current := int64(now / b.width)
	for index := max(current-maxBins+1, int64((from+b.width-1)/b.width), 0); index < current; index++ {
		if one := b.ring[index%maxBins]; one.index == index && one.weight > 0 {
			to = append(to, sample{int(current - index), one.weight / (one.weight + 1), one.sum / one.weight})
		}
	}
	return to
}

// middle returns the middle of the bin with an age.
func (b *bins) middle(age int, now cottonlanding.Millis) cottonlanding.Millis {
	return cottonlanding.Millis(int64(now/b.width)-int64(age))*b.width + b.width/2
}

// attenuation is the factor by which averaging over the width of a bin reduces the amplitude of a wave.
func attenuation(width, period cottonlanding.Millis) float64 {
	half := math.Pi * float64(width) / float64(period)
	return math.Sin(half) / half
}
