package cataloger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
)

// TestCatalogFindsByName guards against names that get another variant than their own, or get one
// although they are unknown.
func TestCatalogFindsByName(t *testing.T) {
	catalog := cataloger.Catalog[int]{"two": func() int { return 2 }, "one": func() int { return 1 }}
	one, found := catalog.Get("one")
	require.True(t, found)
	require.Equal(t, 1, one)
	_, found = catalog.Get("three")
	require.False(t, found)
	require.Equal(t, []string{"one", "two"}, catalog.Names())
}
