package allotter_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/settings/allotter"
)

// TestEnvironmentReplacesSettings guards against a process that ignores what the platform gives it, or takes nonsense for
// it.
func TestEnvironmentReplacesSettings(t *testing.T) {
	given := allotter.Allotment{Memory: cottonlanding.Gigabyte, Descriptors: 500}
	for _, one := range []struct {
		memory, descriptors string
		want                allotter.Allotment
	}{
		{"", "", given},
		{"284", "4100", allotter.Allotment{Memory: 284 * cottonlanding.Megabyte, Descriptors: 4100}},
		{"284", "", allotter.Allotment{Memory: 284 * cottonlanding.Megabyte, Descriptors: 500}},
		{"-1", "0", given},
		{"much", "9999999999999999999", given},
		{"99999999999", "-4", given},
	} {
		t.Setenv("HOST_MEMORY_MB", one.memory)
		t.Setenv("HOST_DESCRIPTORS", one.descriptors)
		got := given
		got.ReadEnvironment()
		require.Equal(t, one.want, got)
	}
}
