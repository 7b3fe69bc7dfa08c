package cottonlanding

import (
	"strings"
	"unicode/utf8"
)

// Checkpoint is a worker's text from which a task can be continued. An empty one stands for none.
type Checkpoint string

// MaxCheckpoint is the maximum length of a checkpoint in bytes. All checkpoints of a workflow are
// stored in one row, which has room for sixty of this length, or ten if each byte is escaped.
const MaxCheckpoint = 1024

// NewCheckpoint returns a worker's text as a checkpoint if it can be stored and sent back exactly as
// the worker wrote it, else an empty one: a run without a checkpoint repeats work, a run with an
// altered one computes something else. U+FFFD is refused because decoders substitute it for invalid
// UTF-8.
func NewCheckpoint(text string) Checkpoint {
	if len(text) > MaxCheckpoint || strings.ContainsRune(text, utf8.RuneError) {
		return ""
	}
	return Checkpoint(text)
}
