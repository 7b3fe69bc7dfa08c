// Package ranker holds the policies that order the workflows that wait for room.
//
// Their load is more work than there is room for, for seconds or all day: the work asked for is
// 1.0 to 1.4 times what the workers can do, in workflows whose work differs by a factor of
// twenty. Served in the order in which they come, all are begun and most are late.
package ranker

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// Fallback is the policy used when none is named.
const Fallback = "worth"

// Catalog holds the variants.
var Catalog = cataloger.Catalog[cottonlanding.RankingPolicy]{
	"arrival": func() cottonlanding.RankingPolicy { return Arrival{} },
	"left":    func() cottonlanding.RankingPolicy { return LeastLeft{} },
	"worth":   func() cottonlanding.RankingPolicy { return Worth{} },
}

// The classes, in the order in which they are served.
const (
	// inTime workflows can still be done in their time if nothing holds them up.
	inTime = iota
	// late ones can't, and are still of some use.
	late
	// expired ones are of none; they are done with what is left.
	expired
)

// expiredFactor is how many times its objective a workflow may take to be of any use. Source:
// the users count nothing that takes longer.
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

// Arrival serves workflows in the order in which they came, but those that are late last,
// the plain baseline.
type Arrival struct{}

// Rank implements cottonlanding.RankingPolicy.
func (Arrival) Rank(view cottonlanding.RankView) cottonlanding.Rank {
	return cottonlanding.Rank{Class: min(classOf(view), late)}
}

// LeastLeft serves those first of which the least work is left: the most workflows are done
// in their time, at the cost of the large ones.
type LeastLeft struct{}

// Rank implements cottonlanding.RankingPolicy.
func (LeastLeft) Rank(view cottonlanding.RankView) cottonlanding.Rank {
	return cottonlanding.Rank{Class: classOf(view), Score: view.Left}
}

// The worth of a workflow, in parts of that of the mean one of its queue. Source: what the
// users say of theirs.
const (
	// baseWorth is that of any workflow, workWorth that of the mean work.
	baseWorth     = 0.3
	meanWorkWorth = 0.7
	// maxWorth bounds the sum.
	maxWorth = 4
)

// Worth serves those first that are worth the most for the work that is left of them. What
// was begun is finished before more is begun, and large workflows, which are worth more, are
// passed over less often than by LeastLeft. Where there is room for all, the three are alike.
type Worth struct{}

// Rank implements cottonlanding.RankingPolicy.
func (Worth) Rank(view cottonlanding.RankView) cottonlanding.Rank {
	worth := min(baseWorth*view.MeanWork+meanWorkWorth*view.Work, maxWorth*view.MeanWork)
	return cottonlanding.Rank{Class: classOf(view), Score: view.Left / max(worth, 1)}
}
