// Package unpacker reads JSON lists whose entries are of different kinds, such as
// [3, "name", true], in one pass.
package unpacker

import (
	"encoding/json"
	"fmt"
	"math"
)

// List is a decoded list. Entries that are left out at the end
// read as empty or zero. The first thing that is wrong is kept for Err.
type List struct {
	name    string
	entries []any
	err     error
}

// New decodes data; name says in errors what the list is.
func New(name string, data []byte) *List {
	l := &List{name: name}
	l.err = json.Unmarshal(data, &l.entries)
	return l
}

// Text returns the entry, which must be a text.
func (l *List) Text(at int) string {
	entry := l.entry(at)
	value, ok := entry.(string)
	if !ok && entry != nil {
		l.Fail(fmt.Errorf("entry %d is no text: %v", at, entry))
	}
	return value
}

// maxNumber is the largest number up to which all integers are exact. The conversion of much larger ones to an integer
// depends on the processor.
const maxNumber = 1 << 53

// Number returns the entry, which must be a number from zero to maxNumber.
func (l *List) Number(at int) float64 {
	entry := l.entry(at)
	value, ok := entry.(float64)
	if !ok && entry != nil || value < 0 || value > maxNumber {
		l.Fail(fmt.Errorf("entry %d is no number from zero on, or too large: %v", at, entry))
		return 0
	}
	return value
}

// Count returns the entry, which must be a number from zero to the largest of 32 bits.
func (l *List) Count(at int) uint32 {
	value := l.Number(at)
	if value > math.MaxUint32 {
		l.Fail(fmt.Errorf("entry %d is too large: %v", at, value))
		return 0
	}
	return uint32(value)
}

func (l *List) entry(at int) any {
	if at >= len(l.entries) {
		return nil
	}
	return l.entries[at]
}

// Fail notes what is wrong with an entry, unless something was wrong before.
func (l *List) Fail(err error) {
	if l.err == nil {
		l.err = err
	}
}

// Err returns the first thing that was wrong, or nil.
func (l *List) Err() error {
	if l.err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", l.name, l.err)
}
