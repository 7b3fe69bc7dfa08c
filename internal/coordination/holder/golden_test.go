package holder_test

import (
	"testing"

	"github.com/cottonlanding/cottonlanding/internal/coordination/holder"
	"github.com/cottonlanding/cottonlanding/internal/golden/comparer"
)

// TestGoldenRows guards against members of two versions that can't decode each other's rows and
// therefore take each other's cells.
func TestGoldenRows(t *testing.T) {
	comparer.JSON(t, holder.EncodeRow, map[string]any{"Owner": holder.Owner{}, "Beat": holder.Beat{}, "Request": holder.Request{}})
	comparer.RequireList(t, "Keys", holder.RowKeys("P", 7)...)
}
