package partitioner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/workflow/partitioner"
)

// FuzzLayout guards against decoded layouts that give a workflow or a rack a cell that doesn't exist.
func FuzzLayout(f *testing.F) {
	f.Add([]byte(`{"Cells":3,"Racks":{"d1/r1":0,"d1/r2":2}}`))
	f.Add([]byte(`{"Cells":0}`))
	f.Add([]byte(`{"Cells":2,"Racks":{"d1/r1":-1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		layout, err := partitioner.Decode(data)
		if err != nil {
			return
		}
		require.Less(t, int(layout.Home("w")), layout.Cells)
		for _, cell := range layout.Racks {
			require.Less(t, int(cell), layout.Cells)
		}
	})
}
