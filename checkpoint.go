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

// NewCheckpoint returns a worker's text as a checkpoint if it can be kept and brought exactly as
// the worker wrote it, else none: a run that starts without a checkpoint does the work again,
// one that starts with another text does something else. U+FFFD is what decoders put in place
// of what is no UTF-8, so that nobody can tell what the worker wrote there.
func NewCheckpoint(text string) Checkpoint {
	if len(text) > MaxCheckpoint || strings.ContainsRune(text, utf8.RuneError) {
		return ""
	}
	return Checkpoint(text)
}
