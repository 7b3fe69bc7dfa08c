// Package shortlister decodes JSON lists that are short.
package shortlister

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// MaxEntries is the largest number of entries of a List.
const MaxEntries = 64

// List is a list of at most MaxEntries entries. Decoding a longer one fails before its entries take memory: an entry can
// take a hundred times as much as it has bytes.
type List[T any] []T

// UnmarshalJSON implements json.Unmarshaler.
func (l *List[T]) UnmarshalJSON(data []byte) error {
	if bytes.Equal(data, []byte("null")) {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if first, err := decoder.Token(); err != nil || first != json.Delim('[') {
		return fmt.Errorf("%.20q is no list", data)
	}
	*l = nil
	for decoder.More() {
		if len(*l) == MaxEntries {
			return fmt.Errorf("a list has more than %d entries", MaxEntries)
		}
		var entry T
		if err := decoder.Decode(&entry); err != nil {
			return err
		}
		*l = append(*l, entry)
	}
	return nil
}
