package weigher

import "github.com/cottonlanding/cottonlanding"

const (
	// untriedStandardError is the standard error above which a pair has to be tried. A pair starts
	// with 2.5; two or three samples with a tenth of a worker in use bring it below.
	untriedStandardError = 0.8
	// roughStandardError is the standard error above which nothing is added to a weight. Weights are
	// about 0.1, or 1 and more; with a smaller standard error the two can be told apart.
	roughStandardError = 0.35
)

// Trials assumes that a pair of which little is known disturbs little, so that it is placed and soon
// known. It is made for many images at once whose pairs are unknown: pairs that are assumed to be bad
// are never placed and so never known, while workers that could run them stay idle.
type Trials struct{}

// Weight implements cottonlanding.DisturbancePolicy.
func (Trials) Weight(pair cottonlanding.PairView) float64 {
	switch {
	case pair.Weight-pair.StandardError > cottonlanding.LightWeight:
		return pair.Weight + cautionFactor*pair.StandardError // it disturbs for certain
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
