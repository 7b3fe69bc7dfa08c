package cottonlanding_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// TestKeySplits guards against keys that are split at the wrong ':'. Only the first one separates
// partition and name, and a key needs no partition.
func TestKeySplits(t *testing.T) {
	for key, want := range map[cottonlanding.Key][2]string{
		"P:a/1":   {"P", "a/1"},
		"P:a:b":   {"P", "a:b"},
		"P:":      {"P", ""},
		":a":      {"", "a"},
		"Jobs/a1": {"", "Jobs/a1"},
		"":        {"", ""},
	} {
		require.Equal(t, want, [2]string{string(key.Partition()), key.Name()}, "%q", key)
	}
	require.Equal(t, "a:b", cottonlanding.Partition("P").Key("a:b").Name())
}
