package holder

import "github.com/cottonlanding/cottonlanding"

// EncodeRow is encode, for tests of the row format.
var EncodeRow = encode

// RowKeys returns the keys of a cell's beat, owner and request rows.
func RowKeys(partition cottonlanding.Partition, cell cottonlanding.CellNumber) []any {
	h := &Holder{deps: Dependencies{Reader: &Reader{partition: partition}}, cell: cell}
	return []any{h.key(beatRow), h.watchedKey(ownerRow), h.watchedKey(requestRow)}
}
