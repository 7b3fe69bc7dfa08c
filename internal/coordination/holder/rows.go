package holder

import (
	"encoding/json"
	"fmt"

	"github.com/cottonlanding/cottonlanding"
)

// cellRows are the rows of one cell; the version of one that is absent is zero.
type cellRows struct {
	owner          Owner
	ownerVersion   cottonlanding.Version
	beat           Beat
	beatVersion    cottonlanding.Version
	request        Request
	requestVersion cottonlanding.Version
}

// decode finds the cell's rows among those of all cells.
func (h *Holder) decode(rows []cottonlanding.Row) (cellRows, error) {
	out := cellRows{beat: Beat{TTL: h.timing.TTL}}
	for _, row := range rows {
		var err error
		switch row.Key {
		case h.key(beatRow):
			out.beatVersion = row.Version
			err = json.Unmarshal(row.Value, &out.beat)
		case h.key(ownerRow):
			out.ownerVersion = row.Version
			err = json.Unmarshal(row.Value, &out.owner)
		case h.key(requestRow):
			out.requestVersion = row.Version
			if err := json.Unmarshal(row.Value, &out.request); err != nil {
				h.log.Error("request row", "Error", err) // it is written anew for the next owner
			}
		}
		if err != nil {
			return out, fmt.Errorf("row %s: %w", row.Key, err)
		}
	}
	return out, nil
}

// encodeBeat returns the value of the next beat row.
func (h *Holder) encodeBeat(ttl cottonlanding.Millis) []byte {
	return encode(Beat{Member: h.self, TTL: ttl, Owned: h.deps.Owned(), Report: h.deps.Report()})
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode row: %v", err)) // the types have no field that can fail
	}
	return data
}
