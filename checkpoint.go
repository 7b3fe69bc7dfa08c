package cottonlanding

import (
	"strings"
	"unicode/utf8"
)

// Checkpoint is a worker's text from which a task can be continued; empty is none.
type Checkpoint string

// MaxCheckpoint is the longest text that is kept, in bytes. All texts of a workflow stand in
// one row, which takes sixty times as much, or ten times where each byte is escaped.
const MaxCheckpoint = 1024

// Kept returns the text if it can be kept and brought exactly as the worker wrote it, else
// none: a run that starts without a checkpoint does the work again, one that starts with
// another text does something else. U+FFFD is what decoders put in place of what is no UTF-8,
// so that nobody can tell what the worker wrote there.
func (c Checkpoint) Kept() Checkpoint {
	if len(c) > MaxCheckpoint || strings.ContainsRune(string(c), utf8.RuneError) {
		return ""
	}
	return c
}
