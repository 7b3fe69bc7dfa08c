package weigher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/weigher"
)

// TestTrialsAcceptUnknownPairs guards against pairs that stay unknown because they are never placed,
// and against placing pairs that are known to disturb.
func TestTrialsAcceptUnknownPairs(t *testing.T) {
	unknown := cottonlanding.PairView{Weight: 1.5, StandardError: 2.5}
	require.Less(t, weigher.Trials{}.Weight(unknown), cottonlanding.LightWeight)
	require.True(t, weigher.Trials{}.Untried(unknown))
	require.Greater(t, weigher.Cautious{}.Weight(unknown), cottonlanding.LightWeight, "the baseline never places it")
	heavy := cottonlanding.PairView{Weight: 1.5, StandardError: 0.6}
	require.Greater(t, weigher.Trials{}.Weight(heavy), cottonlanding.LightWeight, "a few samples are enough")
	require.False(t, weigher.Trials{}.Untried(heavy))
	require.Zero(t, weigher.Trials{}.Weight(cottonlanding.PairView{Weight: -0.2, StandardError: 0.1}))
}
