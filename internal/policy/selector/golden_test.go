package selector_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/policy/admitter"
	"github.com/cottonlanding/cottonlanding/internal/policy/blamer"
	"github.com/cottonlanding/cottonlanding/internal/policy/delegator"
	"github.com/cottonlanding/cottonlanding/internal/policy/evictor"
	"github.com/cottonlanding/cottonlanding/internal/policy/mixer"
	"github.com/cottonlanding/cottonlanding/internal/policy/orderer"
	"github.com/cottonlanding/cottonlanding/internal/policy/placer"
	"github.com/cottonlanding/cottonlanding/internal/policy/ranker"
	"github.com/cottonlanding/cottonlanding/internal/policy/referrer"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/policy/throttler"
	"github.com/cottonlanding/cottonlanding/internal/policy/weigher"
)

// TestGoldenDecisions guards against another name of a decision or of a variant, and against a name
// that selects another policy.
func TestGoldenDecisions(t *testing.T) {
	placements := map[string]any{"pack": placer.Pack{}, "firstfit": placer.FirstFit{}, "spread": placer.Spread{}}
	names := ""
	for _, one := range []struct {
		decision, fallback string
		policy             func(selector.Set) any
		variants           map[string]any
	}{
		{"ShortPlacement", "pack", func(s selector.Set) any { return s.Planner.ShortPlacement }, placements},
		{"LastingPlacement", "pack", func(s selector.Set) any { return s.Planner.LastingPlacement }, placements},
		{"FillingPlacement", "spread", func(s selector.Set) any { return s.Planner.FillingPlacement }, placements},
		{"Disturbance", "trials", func(s selector.Set) any { return s.Planner.Disturbance },
			map[string]any{"cautious": weigher.Cautious{}, "trials": weigher.Trials{}}},
		{"Headroom", "fraction", func(s selector.Set) any { return s.Planner.Headroom },
			map[string]any{"fraction": throttler.Fraction{}, "spread": throttler.Spread{}}},
		{"Mixing", "leastlost", func(s selector.Set) any { return s.Planner.Mixing },
			map[string]any{"anywhere": mixer.Anywhere{}, "leastlost": mixer.LeastLost{}}},
		{"Ranking", "worth", func(s selector.Set) any { return s.Planner.Ranking },
			map[string]any{"arrival": ranker.Arrival{}, "left": ranker.LeastLeft{}, "worth": ranker.Worth{}}},
		{"Blame", "fair", func(s selector.Set) any { return s.Planner.Blame },
			map[string]any{"count": blamer.Count{}, "apart": blamer.Isolation{}, "fair": blamer.Fair{}}},
		{"Delegation", "byroom", func(s selector.Set) any { return s.Planner.Delegation },
			map[string]any{"byroom": delegator.ByRoom{}, "never": delegator.Never{}}},
		{"Overload", "accept", func(s selector.Set) any { return s.Planner.Overload },
			map[string]any{"accept": admitter.Accept{}, "reject": admitter.Reject{}}},
		{"Together", "datacentre", func(s selector.Set) any { return s.Planner.KeepsInOneDataCentre }, map[string]any{"datacentre": true, "never": false}},
		{"ShortReserve", "none", func(s selector.Set) any { return s.Planner.ReservesForShortTasks }, map[string]any{"recent": true, "none": false}},
		{"Silence", "place", func(s selector.Set) any { return s.Planner.WatchesDataCentres }, map[string]any{"place": true, "worker": false}},
		{"RunTimes", "declared", func(s selector.Set) any { return s.Planner.LearnsRunTimes }, map[string]any{"declared": false, "learnt": true}},
		{"Forecast", "linear", func(s selector.Set) any { return s.Planner.ForecastsSeasons }, map[string]any{"seasonal": true, "linear": false}},
		{"CommitOrder", "acceptance", func(s selector.Set) any { return s.Planner.CommitsCallersFirst }, map[string]any{"waiting": true, "acceptance": false}},
		{"Referral", "byimage", func(s selector.Set) any { return s.Referral },
			map[string]any{"byimage": referrer.ByImage{}, "byroom": referrer.ByRoom{}, "never": referrer.Never{}}},
		{"TakeOver", "reclaim", func(s selector.Set) any { return s.Reclaim }, map[string]any{"reclaim": true, "silence": false}},
		{"News", "copy", func(s selector.Set) any { return s.UsesTableCopy }, map[string]any{"copy": true, "table": false}},
	} {
		require.Equal(t, one.variants[one.fallback], one.policy(selector.Default()), one.decision)
		for variant, want := range one.variants {
			var read selector.Names
			require.NoError(t, yaml.Unmarshal(fmt.Appendf(nil, "%s: %s", one.decision, variant), &read))
			set, err := selector.New(read)
			require.NoError(t, err)
			require.Equal(t, want, one.policy(set), "%s: %s", one.decision, variant)
		}
		_, err := selector.New(selector.Names{one.decision: "?"})
		require.Error(t, err)
		names += err.Error() + "\n"
	}
	_, err := selector.New(selector.Names{"?": ""})
	require.Error(t, err)
	transcriber.RequireFile(t, "decisions.txt", names+err.Error()+"\n")
}

// TestGoldenCatalogs guards against other names of the policies in the operators' configuration file.
func TestGoldenCatalogs(t *testing.T) {
	require.Equal(t, []string{"firstfit", "pack", "spread"}, placer.Catalog.Names())
	require.Equal(t, []string{"leastlost", "youngest"}, evictor.Catalog.Names())
	require.Equal(t, []string{"fifo", "leastshare"}, orderer.Catalog.Names())
	require.Equal(t, []string{"spread", "leastlost", "fifo"}, []string{placer.Fallback, evictor.Fallback, orderer.Fallback})
	for name, want := range map[string]any{"leastlost": evictor.LeastLost{}, "youngest": evictor.Youngest{}} {
		policy, found := evictor.Catalog.Get(name)
		require.True(t, found)
		require.Equal(t, want, policy)
	}
	for name, want := range map[string]any{"fifo": orderer.FIFO{}, "leastshare": orderer.LeastShare{}} {
		policy, found := orderer.Catalog.Get(name)
		require.True(t, found)
		require.Equal(t, want, policy)
	}
}
