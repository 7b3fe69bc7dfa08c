package unpacker_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/codec/unpacker"
)

func TestEntriesOfDifferentKinds(t *testing.T) {
	list := unpacker.New("row", []byte(`[58, "name"]`))
	require.EqualValues(t, 58, list.Number(0))
	require.Equal(t, "name", list.Text(1))
	require.Zero(t, list.Number(2), "left out")
	require.Empty(t, list.Text(3), "left out")
	require.NoError(t, list.Err())
}

func TestFirstFaultIsKept(t *testing.T) {
	for _, one := range []struct{ data, fault string }{
		{`{"a":1}`, "row: json: cannot unmarshal object"},
		{`["a", 1]`, "row: entry 0 is no number from zero on, or too large: a"},
		{`[-1, 1]`, "row: entry 0 is no number from zero on, or too large: -1"},
		{`[1e300, 1]`, "row: entry 0 is no number from zero on, or too large: 1e+300"},
		{`[9007199254740994, 1]`, "row: entry 0 is no number from zero on, or too large"},
		{`[1, 2]`, "row: entry 1 is no text: 2"},
	} {
		list := unpacker.New("row", []byte(one.data))
		list.Number(0)
		list.Text(1)
		require.ErrorContains(t, list.Err(), one.fault)
	}
}
