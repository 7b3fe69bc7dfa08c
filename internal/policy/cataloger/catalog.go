// Package cataloger holds the variants of a policy by name.
package cataloger

import (
	"maps"
	"slices"
)

// Catalog holds a constructor for each variant of a policy.
type Catalog[Policy any] map[string]func() Policy

// Get returns a new policy of that name, and whether there is one.
func (c Catalog[Policy]) Get(name string) (Policy, bool) {
	create, found := c[name]
	if !found {
		var none Policy
		return none, false
	}
	return create(), true
}

// Names returns the names of all variants, sorted.
func (c Catalog[Policy]) Names() []string { return slices.Sorted(maps.Keys(c)) }
