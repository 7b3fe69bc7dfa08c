package cottonlanding_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// TestCheckpointIsExact guards against runs that continue from a checkpoint in which a piece was
// replaced, and so don't continue the work of their tasks.
func TestCheckpointIsExact(t *testing.T) {
	longest := cottonlanding.Checkpoint(strings.Repeat("c", cottonlanding.MaxCheckpoint))
	for _, text := range []cottonlanding.Checkpoint{"", "000003e8482de2d0", longest, "<\"\\\x00\u2028\U0001F33E>"} {
		require.Equal(t, text, cottonlanding.NewCheckpoint(string(text)))
	}
	for _, text := range []cottonlanding.Checkpoint{"000003e8\ufffd", "\xff", "a\xed\xa0\x80", longest + "c"} {
		require.Empty(t, cottonlanding.NewCheckpoint(string(text)), "%q", text)
	}
}
