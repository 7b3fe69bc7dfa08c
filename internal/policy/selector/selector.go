// Package selector turns the names of the workflow scheduler's policies in a host's settings into
// policies. The names of the policies of jobs are in cottonlanding.Policies.
package selector

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/admitter"
	"github.com/cottonlanding/cottonlanding/internal/policy/blamer"
	"github.com/cottonlanding/cottonlanding/internal/policy/cataloger"
	"github.com/cottonlanding/cottonlanding/internal/policy/delegator"
	"github.com/cottonlanding/cottonlanding/internal/policy/mixer"
	"github.com/cottonlanding/cottonlanding/internal/policy/placer"
	"github.com/cottonlanding/cottonlanding/internal/policy/ranker"
	"github.com/cottonlanding/cottonlanding/internal/policy/referrer"
	"github.com/cottonlanding/cottonlanding/internal/policy/throttler"
	"github.com/cottonlanding/cottonlanding/internal/policy/weigher"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// Names maps decisions to the names of their variants. A decision that is left out uses its fallback.
type Names map[string]string

// UnmarshalYAML reads the names and refuses unknown ones.
func (n *Names) UnmarshalYAML(unmarshal func(any) error) error {
	var names map[string]string
	if err := unmarshal(&names); err != nil {
		return err
	}
	*n = names
	_, err := New(names)
	return err
}

// Set holds the policies of a host.
type Set struct {
	Planner planner.Policy
	// Referral decides in which cell a workflow runs.
	Referral cottonlanding.ReferralPolicy
	// UsesTableCopy says that hosts which own no cell read the operators' table from another host's
	// copy.
	UsesTableCopy bool
	// Reclaim says that a restarted host takes over at once what its previous life owned.
	Reclaim bool
}

// takeOverVariants are the variants of when a host takes over from an owner that is gone.
var takeOverVariants = cataloger.Catalog[bool]{
	"reclaim": func() bool { return true },
	"silence": func() bool { return false },
}

// timeoutScopeVariants are the variants of where nothing is started once workers have stopped answering:
// in the whole data centre if its workers did so together, or on these workers alone.
var timeoutScopeVariants = cataloger.Catalog[bool]{
	"place":  func() bool { return true },
	"worker": func() bool { return false },
}

// forecastVariants are the variants of how the load of serving steps is forecast: by the period that
// they share, or by the latest slope.
var forecastVariants = cataloger.Catalog[bool]{
	"seasonal": func() bool { return true },
	"linear":   func() bool { return false },
}

// colocationVariants are the variants of where the tasks of one workflow go.
var colocationVariants = cataloger.Catalog[bool]{
	"datacentre": func() bool { return true },
	"never":      func() bool { return false },
}

// runTimeVariants are the variants of how long a task is expected to take: as its client estimates, or as
// learnt from the tasks of its queue that have ended.
var runTimeVariants = cataloger.Catalog[bool]{
	"declared": func() bool { return false },
	"learnt":   func() bool { return true },
}

// shortReserveVariants are the variants of whether lasting tasks that never ran leave room to short
// ones: as much as these needed on average in the last seconds, or none.
var shortReserveVariants = cataloger.Catalog[bool]{
	"recent": func() bool { return true },
	"none":   func() bool { return false },
}

// tableSourceVariants are the variants of where hosts that own no cell read the operators' table.
var tableSourceVariants = cataloger.Catalog[bool]{
	"copy":  func() bool { return true },
	"table": func() bool { return false },
}

// commitOrderVariants are the variants of which rows are committed first while the table is slow.
var commitOrderVariants = cataloger.Catalog[bool]{
	"waiting":    func() bool { return true },
	"acceptance": func() bool { return false },
}

// New returns the policies with the given names. The error reports all unknown names. The decision
// Together sets KeepsInOneDataCentre, Silence sets WatchesDataCentres, RunTimes sets LearnsRunTimes,
// Forecast sets ForecastsSeasons, CommitOrder sets CommitsCallersFirst, ShortReserve sets
// ReservesForShortTasks, TakeOver sets Reclaim and News
// sets UsesTableCopy.
func New(names Names) (Set, error) {
	s := &selection{names: names}
	set := Set{
		Planner: planner.Policy{
			ShortPlacement:        choose(s, "ShortPlacement", placer.Catalog, "pack")(),
			LastingPlacement:      choose(s, "LastingPlacement", placer.Catalog, "pack")(),
			FillingPlacement:      choose(s, "FillingPlacement", placer.Catalog, "spread")(),
			Disturbance:           choose(s, "Disturbance", weigher.Catalog, weigher.Fallback)(),
			Headroom:              choose(s, "Headroom", throttler.Catalog, throttler.Fallback)(),
			Mixing:                choose(s, "Mixing", mixer.Catalog, mixer.Fallback)(),
			Ranking:               choose(s, "Ranking", ranker.Catalog, ranker.Fallback)(),
			Blame:                 choose(s, "Blame", blamer.Catalog, blamer.Fallback)(),
			Delegation:            choose(s, "Delegation", delegator.Catalog, delegator.Fallback)(),
			Overload:              choose(s, "Overload", admitter.Catalog, admitter.Fallback)(),
			KeepsInOneDataCentre:  choose(s, "Together", colocationVariants, "datacentre")(),
			ReservesForShortTasks: choose(s, "ShortReserve", shortReserveVariants, "none")(),
			WatchesDataCentres:    choose(s, "Silence", timeoutScopeVariants, "place")(),
			LearnsRunTimes:        choose(s, "RunTimes", runTimeVariants, "declared")(),
			ForecastsSeasons:      choose(s, "Forecast", forecastVariants, "linear")(),
			CommitsCallersFirst:   choose(s, "CommitOrder", commitOrderVariants, "acceptance")(),
		},
		Referral:      choose(s, "Referral", referrer.Catalog, referrer.Fallback)(),
		Reclaim:       choose(s, "TakeOver", takeOverVariants, "reclaim")(),
		UsesTableCopy: choose(s, "News", tableSourceVariants, "copy")(),
	}
	s.checkUnknown()
	return set, errors.Join(s.errs...)
}

// Default returns the policies of a host whose settings name none.
func Default() Set {
	set, err := New(nil)
	if err != nil {
		panic(fmt.Sprintf("default policies: %v", err)) // a fallback that isn't in its catalog
	}
	return set
}

// selection records the known decisions and the errors while names are resolved.
type selection struct {
	names Names
	known []string
	errs  []error
}

// choose returns the constructor of a decision's variant, or of its fallback if the variant is
// unknown.
func choose[Policy any](s *selection, decision string, catalog cataloger.Catalog[Policy], fallback string) func() Policy {
	s.known = append(s.known, decision)
	name, given := s.names[decision]
	if !given {
		return catalog[fallback]
	}
	create, found := catalog[name]
	if !found {
		s.errs = append(s.errs, fmt.Errorf("%s: %q is none of %s", decision, name, strings.Join(catalog.Names(), ", ")))
		return catalog[fallback]
	}
	return create
}

// checkUnknown records an error for each name that is not a decision.
func (s *selection) checkUnknown() {
	for _, name := range slices.Sorted(maps.Keys(s.names)) {
		if !slices.Contains(s.known, name) {
			s.errs = append(s.errs, fmt.Errorf("%s: no such decision; there are %s", name, strings.Join(s.known, ", ")))
		}
	}
}
