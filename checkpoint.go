package cottonlanding

import (
	"strings"
	"unicode/utf8"
)

// Checkpoint is a worker's text from which a task can be continued; empty is none.
type Checkpoint string

// Kept returns the text if it can be kept and brought exactly as the worker wrote it, else
// none: a run that starts without a checkpoint does the work again, one that starts with
// another text does something else. U+FFFD is what decoders put in place of what is no text,
// so that nobody can tell what the worker wrote there.
func (c Checkpoint) Kept() Checkpoint {
	if strings.ContainsRune(string(c), utf8.RuneError) || !utf8.ValidString(string(c)) {
		return ""
	}
	return c
}
