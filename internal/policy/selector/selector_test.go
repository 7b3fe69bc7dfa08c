package selector_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/policy/placer"
	"github.com/cottonlanding/cottonlanding/internal/policy/returner"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/policy/weigher"
)

func TestNamesChoosePolicies(t *testing.T) {
	set, err := selector.New(selector.Names{"ShortPlacement": "spread", "Disturbance": "cautious", "TakeOver": "silence"})
	require.NoError(t, err)
	require.Equal(t, placer.Spread{}, set.Planner.ShortPlacement)
	require.Equal(t, weigher.Cautious{}, set.Planner.Disturbance)
	require.Equal(t, returner.Growing{}, set.Return, "what isn't named has its fallback")
	require.False(t, set.Reclaim)
	require.True(t, selector.Default().Reclaim)
}

func TestUnknownNamesAreTold(t *testing.T) {
	_, err := selector.New(selector.Names{"Return": "never", "Colour": "red"})
	require.ErrorContains(t, err, `Return: "never" is none of constant, growing`)
	require.ErrorContains(t, err, "Colour: no such decision; there are ShortPlacement")
}
