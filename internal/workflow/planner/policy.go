package planner

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/forecaster"
)

// Policy holds the replaceable policies of the planner.
type Policy struct {
	// ShortPlacement, LastingPlacement and FillingPlacement choose among the workers that suit a task of the kind
	// equally well.
	ShortPlacement   cottonlanding.PlacementPolicy
	LastingPlacement cottonlanding.PlacementPolicy
	FillingPlacement cottonlanding.PlacementPolicy
	// Disturbance decides which interference is assumed between pairs of images, Mixing where serving tasks of several
	// images share a worker.
	Disturbance cottonlanding.DisturbancePolicy
	Mixing      cottonlanding.MixingPolicy
	// Headroom decides how far filling tasks may raise the utilization of serving tasks.
	Headroom cottonlanding.HeadroomPolicy
	// Ranking orders the workflows that wait for room.
	Ranking cottonlanding.RankingPolicy
	// Blame decides which tasks crash their workers.
	Blame cottonlanding.BlamePolicy
	// Delegation decides which cell runs a lasting task for which this one has no room; nil disables delegation.
	Delegation cottonlanding.DelegationPolicy
	// Overload decides which workflows are rejected under overload.
	Overload cottonlanding.OverloadPolicy
	// KeepsInOneDataCentre says that the tasks of a workflow that aren't lasting go to one data centre while that has
	// room, rather than to any.
	KeepsInOneDataCentre bool
	// ReservesForShortTasks says that lasting tasks which never ran leave the room that short tasks need.
	ReservesForShortTasks bool
	// WatchesDataCentres says that nothing is started in a data centre whose workers fall silent together, rather than
	// only on the workers that were found silent.
	WatchesDataCentres bool
	// LearnsRunTimes says that run times are learnt from measured ones, rather than taken from the clients' estimates.
	LearnsRunTimes bool
	// ForecastsSeasons says that the loads of serving steps are forecast by the period that they share, rather than by
	// their latest slope alone.
	ForecastsSeasons bool
	// CommitsCallersFirst says that rows for which a caller waits are committed first, and then those for which a start
	// waits, rather than in the order of priority and acceptance. Ends are then acknowledged for each worker by itself.
	CommitsCallersFirst bool
}

// newSeason returns the season of a cell, or nil if forecasts are linear.
func (p Policy) newSeason() *forecaster.Season {
	if !p.ForecastsSeasons {
		return nil
	}
	return forecaster.NewSeason()
}

// placement returns the placement policy for a kind of task.
func (p Policy) placement(k kind) cottonlanding.PlacementPolicy {
	switch k {
	case fillingTask:
		return p.FillingPlacement
	case lastingTask:
		return p.LastingPlacement
	}
	return p.ShortPlacement
}
