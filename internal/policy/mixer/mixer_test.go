package mixer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/mixer"
)

func TestLeastLostPicksWorkersThatAreOfLittleUse(t *testing.T) {
	workers := []cottonlanding.MixView{{Bears: 6, BearsAfter: 2}, {Bears: 1, BearsAfter: 0}, {Bears: 5, BearsAfter: 4}}
	require.Equal(t, []int{1, 2}, mixer.LeastLost{}.Narrow(workers))
	require.Equal(t, []int{0, 1, 2}, mixer.Anywhere{}.Narrow(workers))
}
