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
	// delay is how much longer it takes than its estimates say: until its last task, which
	// had to be moved or run again, is done.
	delay  cottonlanding.Millis
	doneAt cottonlanding.Millis
}

const (
	// processors serve a workflow with up to width of them at a time, each step takes span.
	processors = 1000
	width      = 20
	tick       = 100 * cottonlanding.Millis(1)
	meanWork   = width * 2200.0
	maxDelay   = 4 * cottonlanding.Second
	// An objective is stretch times the chain of work, and target more.
	stretch   = 2
	target    = 6 * cottonlanding.Second
	dayLength = 60 * cottonlanding.Second
)

func (w *workflow) objective() cottonlanding.Millis {
	return stretch*cottonlanding.Millis(w.work/width) + target
}

// overload returns the workflows of a day that ask for load times what the processors can do,
// of sizes that differ as those of the users do: log-normal, by a factor of 2 either way.
func overload(load float64) []*workflow {
	random := rand.New(rand.NewPCG(1, 2))
	var out []*workflow
	for at := cottonlanding.Millis(0); at < dayLength; at += cottonlanding.Millis(meanWork / processors / load) {
		work := meanWork * math.Exp(random.NormFloat64()*0.6-0.18)
		out = append(out, &workflow{arrivedAt: at, work: work, left: work, delay: cottonlanding.Millis(random.Int64N(int64(maxDelay)))})
	}
	return out
}

// simulate plays a day by a policy, and returns which part of the worth was done in its time, and
// the same of the largest tenth.
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

// TestWorthUnderOverload: with a third as much work again as can be done, serving in the
// order of arrival begins each workflow when its estimates leave it no slack, so that whatever
// holds it up makes it late. By worth more is done in its time, and the largest workflows aren't
// given up for it as they are by least work left.
func TestWorthUnderOverload(t *testing.T) {
	arrival, _ := simulate(ranker.Arrival{}, overload(1.33))
	left, largestLeft := simulate(ranker.LeastLeft{}, overload(1.33))
	worth, largestWorth := simulate(ranker.Worth{}, overload(1.33))
	t.Logf("arrival %.3f, least left %.3f (largest %.3f), worth %.3f (largest %.3f)", arrival, left, largestLeft, worth, largestWorth)
	require.Greater(t, worth, arrival+0.1)
	require.Greater(t, worth, left-0.02)
	require.GreaterOrEqual(t, largestWorth, largestLeft)
}

// TestLightLoadMeetsObjectives: the policies are alike where nothing has to wait.
func TestLightLoadMeetsObjectives(t *testing.T) {
	for _, name := range ranker.Catalog.Names() {
		policy, _ := ranker.Catalog.Get(name)
		all, largest := simulate(policy, overload(0.5))
		require.Greater(t, all, 0.99, name)
		require.Greater(t, largest, 0.99, name)
	}
}

// TestExpiredRankLast: what is of no use any more comes after what is late, and that after what can
// still be done in its time, by every policy but the baseline, which knows late ones alone.
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
