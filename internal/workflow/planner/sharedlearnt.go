package planner

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/cottonlanding/cottonlanding"
)

// Each cell learns for itself how images interfere, and stores that. What other cells have stored is combined with it
// only where a weight is read: no cell passes on what another has learnt, so that each measurement counts once.

// pairEvidence is what one cell has learnt of a pair beyond the initial assumption: its precision, which is the inverse
// of its variance, and its moment, the weight times the precision.
type pairEvidence struct {
	precision, moment float64
}

// initialPrecision is the precision of initialWeight.
const initialPrecision = 1 / (initialStandardError * initialStandardError)

// evidenceOf returns what is known of a pair beyond the initial assumption.
func evidenceOf(pair cottonlanding.PairView) pairEvidence {
	precision := 1/(pair.StandardError*pair.StandardError) - initialPrecision
	if precision <= 0 {
		return pairEvidence{}
	}
	return pairEvidence{precision, pair.Weight/(pair.StandardError*pair.StandardError) - initialWeight*initialPrecision}
}

// combine returns what is known of a pair together with the evidence of other cells.
func combine(own cottonlanding.PairView, others pairEvidence) cottonlanding.PairView {
	if others.precision == 0 {
		return own
	}
	precision := 1/(own.StandardError*own.StandardError) + others.precision
	moment := own.Weight/(own.StandardError*own.StandardError) + others.moment
	return cottonlanding.PairView{Weight: moment / precision, StandardError: 1 / math.Sqrt(precision)}
}

// evidenceByPair holds what other cells have learnt, by serving and filling image.
type evidenceByPair map[cottonlanding.Image]map[cottonlanding.Image]pairEvidence

// add adds the evidence in the row of one cell. Their standard errors have the lower bound that applies to rows of a
// previous owner.
func (f evidenceByPair) add(row learntRow) {
	for _, serving := range row.Serving {
		if f[serving.Image] == nil {
			f[serving.Image] = make(map[cottonlanding.Image]pairEvidence)
		}
		for _, pair := range serving.Pairs {
			one := evidenceOf(cottonlanding.PairView{Weight: pair.Weight, StandardError: max(pair.StandardError, minInheritedStandardError)})
			sum := f[serving.Image][pair.Image]
			f[serving.Image][pair.Image] = pairEvidence{sum.precision + one.precision, sum.moment + one.moment}
		}
	}
}

// LoadLearntByOthers replaces what is known from other cells by the contents of their rows. It fails, and changes no
// weight, if a row can't be decoded.
func (c *Cell) LoadLearntByOthers(rows []cottonlanding.Row) error {
	remoteEvidence := make(evidenceByPair)
	for _, row := range rows {
		var learnt learntRow
		if err := json.Unmarshal(row.Value, &learnt); err != nil {
			return fmt.Errorf("row %s: %w", row.Key, err)
		}
		remoteEvidence.add(learnt)
		for _, serving := range learnt.Serving {
			c.interference.recordMinTail(serving.Image, serving.Base)
		}
	}
	c.interference.remoteEvidence = remoteEvidence
	return nil
}

// HasImages reports whether this cell has images for which the evidence of other cells is of use.
func (c *Cell) HasImages() bool { return c.hasImages }

// recordMinTail records a tail latency if it is the shortest measured for an image.
func (m *interference) recordMinTail(image cottonlanding.Image, tail cottonlanding.Millis) {
	if minTail, known := m.minTail[image]; tail > 0 && (!known || tail < minTail) {
		m.minTail[image] = tail
	}
}
