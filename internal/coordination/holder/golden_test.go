package holder_test

import (
	"testing"

	"github.com/cottonlanding/cottonlanding/internal/coordination/holder"
	"github.com/cottonlanding/cottonlanding/internal/golden/comparer"
)

// TestGoldenRows guards against members of two versions of which each takes the other's cells, as it doesn't read its rows.
func TestGoldenRows(t *testing.T) {
	comparer.JSON(t, holder.EncodeRow, map[string]any{"Owner": holder.Owner{}, "Beat": holder.Beat{}, "Request": holder.Request{}})
	comparer.RequireList(t, "Keys", holder.RowKeys("P", 7)...)
}
