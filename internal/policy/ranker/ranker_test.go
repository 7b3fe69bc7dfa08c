package ranker_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/ranker"
)

// workflow is one of a queue that is served by a thousand processors.
type workflow struct {
	arrivedAt  cottonlanding.Millis
	work, left float64
	// delay is by how much the workflow exceeds its estimates, until its last task, which had to be
	// moved or rerun, is done.
	delay  cottonlanding.Millis
	doneAt cottonlanding.Millis
}

const (
	// processors serve a workflow with up to width of them at a time, for one tick after the other.
	processors = 1000
	width      = 20
	tick       = 100 * cottonlanding.Millis(1)
	meanWork   = width * 2200.0
	maxDelay   = 4 * cottonlanding.Second
	// The objective is stretch times the chain of work, plus target.
	stretch   = 2
	target    = 6 * cottonlanding.Second
	dayLength = 60 * cottonlanding.Second
)

func (w *workflow) objective() cottonlanding.Millis {
	return stretch*cottonlanding.Millis(w.work/width) + target
}

// overload returns the workflows of a day that request load times the capacity. Their sizes are
// distributed as those of users: log-normally, by a factor of 2 either way.
func overload(load float64) []*workflow {
	random := rand.New(rand.NewPCG(1, 2))
	var out []*workflow
	for at := cottonlanding.Millis(0); at < dayLength; at += cottonlanding.Millis(meanWork / processors / load) {
		work := meanWork * math.Exp(random.NormFloat64()*0.6-0.18)
		out = append(out, &workflow{arrivedAt: at, work: work, left: work, delay: cottonlanding.Millis(random.Int64N(int64(maxDelay)))})
	}
	return out
}

// simulate runs a day under a policy, and returns the share of the worth that was completed in time,
// of all workflows and of the largest tenth.
func simulate(policy cottonlanding.RankingPolicy, day []*workflow) (all, largest float64) {
	for now := cottonlanding.Millis(0); now < 3*dayLength; now += tick {
		var open []*workflow
		for _, w := range day {
			if w.arrivedAt <= now && w.left > 0 {
				open = append(open, w)
			}
		}
		rank := func(w *workflow) cottonlanding.Rank {
			chain := cottonlanding.Millis(w.left / width)
			age := now - w.arrivedAt
			return policy.Rank(cottonlanding.RankView{Age: age, Objective: w.objective(), ChainLeft: chain, Slack: w.objective() - age - chain,
				Work: w.work, Left: w.left, MeanWork: meanWork})
		}
		slices.SortStableFunc(open, func(a, b *workflow) int {
			x, y := rank(a), rank(b)
			return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.Score, y.Score))
		})
		for at, w := range open {
			if at*width >= processors {
				break
			}
			if w.left -= width * float64(tick); w.left <= 0 {
				w.doneAt = now + tick + w.delay
			}
		}
	}
	slices.SortFunc(day, func(a, b *workflow) int { return cmp.Compare(b.work, a.work) })
	return worthInTime(day), worthInTime(day[:len(day)/10])
}

// worthInTime returns the share of the worth of the workflows that was completed within their
// objectives.
func worthInTime(day []*workflow) float64 {
	sum, most := 0.0, 0.0
	for _, w := range day {
		worth := min(0.3+0.7*w.work/meanWork, 4)
		most += worth
		if w.doneAt > 0 && w.doneAt-w.arrivedAt <= w.objective() {
			sum += worth
		}
	}
	return sum / most
}

// TestWorthUnderOverload guards against an order that starts each workflow when its estimates leave it
// no slack, so that any delay makes it late. Order of arrival does so with a third more work than can
// be done; Worth completes more in time, and doesn't give up the largest workflows for it as LeastLeft
// does.
func TestWorthUnderOverload(t *testing.T) {
	arrival, _ := simulate(ranker.Arrival{}, overload(1.33))
	left, largestLeft := simulate(ranker.LeastLeft{}, overload(1.33))
	worth, largestWorth := simulate(ranker.Worth{}, overload(1.33))
	t.Logf("arrival %.3f, least left %.3f (largest %.3f), worth %.3f (largest %.3f)", arrival, left, largestLeft, worth, largestWorth)
	require.Greater(t, worth, arrival+0.1)
	require.Greater(t, worth, left-0.02)
	require.GreaterOrEqual(t, largestWorth, largestLeft)
}

// TestLightLoadMeetsObjectives guards against a policy that delays workflows where none has to wait.
func TestLightLoadMeetsObjectives(t *testing.T) {
	for _, name := range ranker.Catalog.Names() {
		policy, _ := ranker.Catalog.Get(name)
		all, largest := simulate(policy, overload(0.5))
		require.Greater(t, all, 0.99, name)
		require.Greater(t, largest, 0.99, name)
	}
}

// TestExpiredRankLast guards against serving workflows that are of no use before others: expired ones
// come after late ones, and these after those in time. The baseline distinguishes only late ones.
func TestExpiredRankLast(t *testing.T) {
	const objective = 10 * cottonlanding.Second
	at := func(age cottonlanding.Millis) cottonlanding.RankView {
		return cottonlanding.RankView{Age: age, Objective: objective, ChainLeft: 1000, Slack: objective - age - 1000, Work: 9, Left: 1, MeanWork: 9}
	}
	for _, policy := range []cottonlanding.RankingPolicy{ranker.LeastLeft{}, ranker.Worth{}} {
		require.Less(t, policy.Rank(at(0)).Class, policy.Rank(at(objective)).Class)
		require.Less(t, policy.Rank(at(objective)).Class, policy.Rank(at(3*objective)).Class)
	}
	require.Equal(t, ranker.Arrival{}.Rank(at(objective)), ranker.Arrival{}.Rank(at(3*objective)))
}
