package holder

import (
	"encoding/json"
	"fmt"

	"github.com/cottonlanding/cottonlanding"
)

// decodeBeat returns the cell's beat among the rows of a partition and its version, which is zero if
// there is no beat row.
func (h *Holder) decodeBeat(rows []cottonlanding.Row) (Beat, cottonlanding.Version, error) {
	beat := Beat{TTL: h.timing.TTL}
	for _, row := range rows {
		if row.Key != h.key(beatRow) {
			continue
		}
		err := json.Unmarshal(row.Value, &beat)
		return beat, row.Version, err
	}
	return beat, 0, nil
}

// encodeBeat returns the value of a beat row.
func (h *Holder) encodeBeat(ttl cottonlanding.Millis, leases statedLeases, report []byte) []byte {
	return encode(Beat{TTL: ttl, Report: report, LeasesSince: leases.since, LeaseSpan: leases.span})
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode row: %v", err)) // no field of the row types can fail to encode
	}
	return data
}
