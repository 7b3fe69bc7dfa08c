package weigher

import "github.com/cottonlanding/cottonlanding"

const (
	// untriedStandardError is the doubt above which a pair has to be tried. A pair starts with
	// 2.5; two or three figures with a tenth of a worker in use bring it below.
	untriedStandardError = 0.8
	// roughStandardError is the doubt above which nothing is added to a weight. Weights were seen
	// to be about 0.1, or 1 and more: with less doubt than this one is told from the other.
	roughStandardError = 0.35
)

// Trials takes a pair of which little is known for one that disturbs little, so that
// it is placed and soon known. Its load is many images at once of which nobody knows
// how they go together: what is taken for bad beforehand is never placed, and so never
// known, while workers that could bear it stay idle.
type Trials struct{}

// Weight implements cottonlanding.DisturbancePolicy.
func (Trials) Weight(pair cottonlanding.PairView) float64 {
	switch {
	case pair.Weight-pair.StandardError > cottonlanding.LightWeight:
		return pair.Weight + cautionFactor*pair.StandardError // it surely disturbs
	case pair.StandardError > untriedStandardError:
		return max(pair.Weight-pair.StandardError, 0)
	case pair.StandardError > roughStandardError:
		return max(pair.Weight, 0)
	}
	return max(pair.Weight+cautionFactor*pair.StandardError, 0)
}

// Untried implements cottonlanding.DisturbancePolicy.
func (Trials) Untried(pair cottonlanding.PairView) bool {
	return pair.StandardError > untriedStandardError
}
