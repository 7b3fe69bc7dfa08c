package shortlister_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/codec/shortlister"
)

// TestShortLists guards against a list that is decoded otherwise than a slice, or takes memory for entries that are
// refused.
func TestShortLists(t *testing.T) {
	type entry struct {
		A int
		B []int
	}
	for _, text := range []string{`[]`, `null`, `[{"A":1},{},null,{"B":[1,2]}]`, `[{"A":1}]`, ` [ {} ] `} {
		var slice []entry
		var list shortlister.List[entry]
		require.NoError(t, json.Unmarshal([]byte(text), &slice))
		require.NoError(t, json.Unmarshal([]byte(text), &list), text)
		require.Equal(t, len(slice), len(list))
		for at := range slice {
			require.Equal(t, slice[at], list[at])
		}
	}
	for _, text := range []string{`{}`, `7`, `"x"`, `[7]`, `[{"A":"x"}]`, `[{}`} {
		var list shortlister.List[entry]
		require.Error(t, json.Unmarshal([]byte(text), &list), text)
	}
	most := "[{}" + strings.Repeat(",{}", shortlister.MaxEntries-1) + "]"
	var list shortlister.List[entry]
	require.NoError(t, json.Unmarshal([]byte(most), &list))
	require.ErrorContains(t, json.Unmarshal([]byte("["+strings.Repeat("{},", 1_000_000)+"{}]"), &list), "more than 64 entries")
	perList := testing.AllocsPerRun(3, func() {
		_ = json.Unmarshal([]byte("["+strings.Repeat("{},", 10_000)+"{}]"), &list)
	})
	require.Less(t, perList, 1000.0)
}
