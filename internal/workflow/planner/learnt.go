package planner

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// saveLearntInterval is how often what was learnt is stored. A pair takes some three seconds to learn, so
	// the next owner lacks little.
	saveLearntInterval = 3 * cottonlanding.Second
	// maxLearntBytes bounds the row, in bytes, well below the 64 KiB that the table takes.
	maxLearntBytes = 32 << 10
	// minInheritedStandardError is the smallest standard error of a weight from a previous owner: the covariances
	// between weights aren't stored.
	minInheritedStandardError = 0.15
)

// learntRow is the stored form of what an owner has learnt of how images interfere, for the next owner and for other
// cells.
type learntRow struct {
	Serving []servingRow
	// Period is the period that the loads of serving steps share; zero if unknown. Their phases aren't stored, as the
	// clocks of owners differ.
	Period cottonlanding.Millis `json:",omitempty"`
}

type servingRow struct {
	Image cottonlanding.Image
	// Base is the shortest tail latency measured.
	Base  cottonlanding.Millis
	Pairs []pairRow
}

// pairRow is the weight of a filling image for a serving one, with its standard error (Doubt). Its keys are short as a
// deployment has hundreds of pairs.
type pairRow struct {
	Image         cottonlanding.Image `json:"I"`
	Weight        float64             `json:"W"`
	StandardError float64             `json:"D"`
}

// LearntKey returns the key of the row that holds what was learnt of images.
func LearntKey(partition cottonlanding.Partition) cottonlanding.Key {
	return partition.Key("Learnt/Images")
}

// row returns what was learnt, in a stable order.
func (m *interference) row() learntRow {
	var out learntRow
	for image, known := range m.weights {
		serving := servingRow{Image: image, Base: m.minTail[image]}
		for filling, at := range known.index {
			serving.Pairs = append(serving.Pairs, pairRow{filling, rounded(known.weights[at]), rounded(math.Sqrt(known.doubt[at][at]))})
		}
		slices.SortFunc(serving.Pairs, func(a, b pairRow) int { return cmp.Compare(a.Image, b.Image) })
		out.Serving = append(out.Serving, serving)
	}
	out.Period = m.storedPeriod()
	slices.SortFunc(out.Serving, func(a, b servingRow) int { return cmp.Compare(a.Image, b.Image) })
	return out
}

// rounded rounds to two decimals, which is finer than any standard error.
func rounded(value float64) float64 { return math.Round(value*100) / 100 }

// restore loads what a previous owner has learnt.
func (m *interference) restore(row learntRow) {
	if m.season != nil {
		m.season.Restore(row.Period)
	}
	for _, serving := range row.Serving {
		known := newWeightEstimate()
		for _, pair := range serving.Pairs {
			known.addImage(pair.Image)
			at := known.index[pair.Image]
			doubt := max(pair.StandardError, minInheritedStandardError)
			known.weights[at], known.doubt[at][at] = pair.Weight, doubt*doubt
		}
		m.weights[serving.Image] = known
		if serving.Base > 0 {
			m.minTail[serving.Image] = serving.Base
		}
	}
}

// LoadLearnt loads the row of a previous owner; without it everything is learnt again. It fails if the row can't be
// decoded, and the row is then overwritten.
func (c *Cell) LoadLearnt(row cottonlanding.Row) error {
	c.learntVersion = row.Version // also of an unreadable row
	var learnt learntRow
	if err := json.Unmarshal(row.Value, &learnt); err != nil {
		return fmt.Errorf("row %s: %w", row.Key, err)
	}
	c.interference.restore(learnt)
	return nil
}

// learntDue reports whether what was learnt is to be stored again.
func (c *Cell) learntDue(now cottonlanding.Millis) bool {
	return now-c.learntAt >= saveLearntInterval && len(c.interference.weights) > 0
}

// planLearnt adds what was learnt to a plan every saveLearntInterval.
func (c *Cell) planLearnt(plan *Plan, now cottonlanding.Millis) {
	if !c.learntDue(now) {
		return
	}
	c.learntAt = now
	value := encode(c.interference.row())
	if len(value) > maxLearntBytes {
		c.log.Warn("what was learnt of images exceeds the size limit of its row and is not stored", "Bytes", len(value), "Most", maxLearntBytes)
		return
	}
	plan.learnt = true
	plan.add(cottonlanding.Write{Key: LearntKey(c.setup.Partition), Expect: c.learntVersion, Value: value, Unchecked: true})
}
