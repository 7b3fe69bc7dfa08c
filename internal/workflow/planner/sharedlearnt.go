package planner

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/cottonlanding/cottonlanding"
)

// Each cell learns for itself how images disturb each other, and writes that down. What
// other cells have written is joined with it where a weight is asked for, and nowhere
// else: no cell passes on what another has learnt, so that each figure counts once.

// finding is what one cell has learnt of a pair beyond what is assumed of all pairs: its
// precision, the inverse of its variance, and the weight times that.
type finding struct {
	precision, moment float64
}

// initialPrecision is that of the weight which is assumed of all pairs.
const initialPrecision = 1 / (initialStandardError * initialStandardError)

// findingOf returns what is known of a pair beyond the assumption.
func findingOf(pair cottonlanding.PairView) finding {
	precision := 1/(pair.Doubt*pair.Doubt) - initialPrecision
	if precision <= 0 {
		return finding{}
	}
	return finding{precision, pair.Weight/(pair.Doubt*pair.Doubt) - initialWeight*initialPrecision}
}

// combine returns what is known of a pair with a finding of others.
func combine(own cottonlanding.PairView, others finding) cottonlanding.PairView {
	if others.precision == 0 {
		return own
	}
	precision := 1/(own.Doubt*own.Doubt) + others.precision
	moment := own.Weight/(own.Doubt*own.Doubt) + others.moment
	return cottonlanding.PairView{Weight: moment / precision, Doubt: 1 / math.Sqrt(precision)}
}

// findings holds what other cells have learnt, by serving and filling image.
type findings map[cottonlanding.Image]map[cottonlanding.Image]finding

// add joins what one cell has written down. Its doubts are bounded as those of a
// predecessor are.
func (f findings) add(row learntRow) {
	for _, serving := range row.Serving {
		if f[serving.Image] == nil {
			f[serving.Image] = make(map[cottonlanding.Image]finding)
		}
		for _, pair := range serving.Pairs {
			one := findingOf(cottonlanding.PairView{Weight: pair.Weight, Doubt: max(pair.Doubt, minInheritedStandardError)})
			sum := f[serving.Image][pair.Image]
			f[serving.Image][pair.Image] = finding{sum.precision + one.precision, sum.moment + one.moment}
		}
	}
}

// LoadLearntByOthers takes in the rows in which all other cells have written what they learnt,
// in place of those taken in before.
func (c *Cell) LoadLearntByOthers(rows []cottonlanding.Row) error {
	remoteFindings := make(findings)
	for _, row := range rows {
		var learnt learntRow
		if err := json.Unmarshal(row.Value, &learnt); err != nil {
			return fmt.Errorf("row %s: %w", row.Key, err)
		}
		remoteFindings.add(learnt)
		for _, serving := range learnt.Serving {
			c.interference.recordBase(serving.Image, serving.Base)
		}
	}
	c.interference.remoteFindings = remoteFindings
	return nil
}

// HasImages reports whether what cells have learnt of images is of use here.
func (c *Cell) HasImages() bool { return c.hasImages }

// recordBase keeps the shortest tail seen of an image.
func (p *interference) recordBase(image cottonlanding.Image, tail cottonlanding.Millis) {
	if base, known := p.base[image]; tail > 0 && (!known || tail < base) {
		p.base[image] = tail
	}
}
