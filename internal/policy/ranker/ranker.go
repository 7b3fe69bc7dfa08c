// Package ranker holds the policies that order the workflows that wait for room.
//
// They are made for overload, for seconds or all day: the requested work is 1.0 to 1.4 times what the
// workers can do, in workflows whose work differs by a factor of twenty. In order of arrival all of
// them are started, and most are late.
package ranker

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the variant that is used when none is configured.
const Fallback = "worth"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.RankingPolicy]{
	"arrival": func() cottonlanding.RankingPolicy { return Arrival{} },
	"left":    func() cottonlanding.RankingPolicy { return LeastLeft{} },
	"worth":   func() cottonlanding.RankingPolicy { return Worth{} },
}

// The classes, in the order in which they are served.
const (
	// inTime workflows can still meet their objective if nothing delays them.
	inTime = iota
	// late workflows can't, and are still of some use.
	late
	// expired workflows are of no use; they get what is left.
	expired
)

// expiredFactor times its objective is the longest time after which a workflow is of any use: users
// state that a later result is worthless to them.
const expiredFactor = 3

func classOf(view cottonlanding.RankView) int {
	switch {
	case view.Objective <= 0 || view.Slack >= 0:
		return inTime
	case view.Age+view.ChainLeft <= expiredFactor*view.Objective:
		return late
	}
	return expired
}

// Arrival serves workflows in order of arrival, but late ones last. It is the baseline.
type Arrival struct{}

// Rank implements cottonlanding.RankingPolicy.
func (Arrival) Rank(view cottonlanding.RankView) cottonlanding.Rank {
	return cottonlanding.Rank{Class: min(classOf(view), late)}
}

// LeastLeft serves workflows with the least work left first. It completes the most workflows in time,
// at the expense of the large ones.
type LeastLeft struct{}

// Rank implements cottonlanding.RankingPolicy.
func (LeastLeft) Rank(view cottonlanding.RankView) cottonlanding.Rank {
	return cottonlanding.Rank{Class: classOf(view), Score: view.Left}
}

// The worth of a workflow, relative to the mean workflow of its queue, as users state it.
const (
	// baseWorth is the worth of any workflow, meanWorkWorth the additional worth of the mean amount of
	// work.
	baseWorth     = 0.3
	meanWorkWorth = 0.7
	// maxWorth bounds the sum.
	maxWorth = 4
)

// Worth serves workflows with the most worth for the work that is left first. What was started is
// finished before more is started, and large workflows, which are worth more, are passed over less
// often than by LeastLeft. Where there is room for all, the three policies are alike.
type Worth struct{}

// Rank implements cottonlanding.RankingPolicy.
func (Worth) Rank(view cottonlanding.RankView) cottonlanding.Rank {
	worth := min(baseWorth*view.MeanWork+meanWorkWorth*view.Work, maxWorth*view.MeanWork)
	return cottonlanding.Rank{Class: classOf(view), Score: view.Left / max(worth, 1)}
}
