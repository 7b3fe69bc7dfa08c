// Package verifier tells whether a JSON body is read as its writer wrote it.
package verifier

import (
	"bytes"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

const (
	// unitEscape is the length of an escape of one UTF-16 unit, such as \u00e9, otherEscape
	// that of an escape such as \n.
	unitEscape  = 6
	otherEscape = 2
)

// Exact reports whether all texts of a body that is valid JSON are read as they are written. The
// decoder puts U+FFFD in place of bytes that are no UTF-8 and of half a surrogate pair, and
// nobody can tell that from a U+FFFD of the writer's.
func Exact(body []byte) bool {
	if !utf8.Valid(body) {
		return false
	}
	for {
		at := bytes.IndexByte(body, '\\')
		if at < 0 {
			return true
		}
		body = body[at:]
		first := escapedUnit(body)
		if !utf16.IsSurrogate(first) {
			body = body[min(otherEscape, len(body)):] // what is left of a longer one has no backslash
			continue
		}
		if utf16.DecodeRune(first, escapedUnit(body[unitEscape:])) == utf8.RuneError {
			return false
		}
		body = body[2*unitEscape:]
	}
}

// escapedUnit returns the UTF-16 unit whose escape is at the beginning of data, or zero.
func escapedUnit(data []byte) rune {
	if len(data) < unitEscape || data[0] != '\\' || data[1] != 'u' {
		return 0
	}
	unit, err := strconv.ParseUint(string(data[2:unitEscape]), 16, 16)
	if err != nil {
		return 0
	}
	return rune(unit)
}
