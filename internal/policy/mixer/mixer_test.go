package mixer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/mixer"
)

// TestLeastLostNarrowsToFewestLost guards against mixing images on workers that many filling images
// could use.
func TestLeastLostNarrowsToFewestLost(t *testing.T) {
	workers := []cottonlanding.MixView{{Tolerated: 6, ToleratedAfter: 2}, {Tolerated: 1, ToleratedAfter: 0}, {Tolerated: 5, ToleratedAfter: 4}}
	require.Equal(t, []int{1, 2}, mixer.LeastLost{}.Narrow(workers))
	require.Equal(t, []int{0, 1, 2}, mixer.Anywhere{}.Narrow(workers))
}
