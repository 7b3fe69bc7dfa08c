package selector_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/policy/mixer"
	"github.com/cottonlanding/cottonlanding/internal/policy/placer"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/policy/weigher"
)

// TestNamesChoosePolicies guards against names that select nothing, and against changes to decisions
// that aren't named.
func TestNamesChoosePolicies(t *testing.T) {
	set, err := selector.New(selector.Names{"ShortPlacement": "spread", "Disturbance": "cautious", "TakeOver": "silence"})
	require.NoError(t, err)
	require.Equal(t, placer.Spread{}, set.Planner.ShortPlacement)
	require.Equal(t, weigher.Cautious{}, set.Planner.Disturbance)
	require.Equal(t, mixer.LeastLost{}, set.Planner.Mixing, "a decision that isn't named uses its fallback")
	require.False(t, set.Reclaim)
	require.True(t, selector.Default().Reclaim)
}

// TestUnknownNamesAreRejected guards against misspelt names in the settings being ignored.
func TestUnknownNamesAreRejected(t *testing.T) {
	_, err := selector.New(selector.Names{"Mixing": "never", "Colour": "red"})
	require.ErrorContains(t, err, `Mixing: "never" is none of anywhere, leastlost`)
	require.ErrorContains(t, err, "Colour: no such decision; there are ShortPlacement")
}
