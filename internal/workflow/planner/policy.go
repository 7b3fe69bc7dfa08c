package planner

import "github.com/cottonlanding/cottonlanding"

// Policy holds the exchangeable parts of the decisions.
type Policy struct {
	// ShortPlacement, LastingPlacement and FillingPlacement pick among the workers that
	// suit a task of the kind equally well.
	ShortPlacement   cottonlanding.PlacementPolicy
	LastingPlacement cottonlanding.PlacementPolicy
	FillingPlacement cottonlanding.PlacementPolicy
	// Disturbance decides what is assumed of pairs of images, Mixing where serving tasks
	// of several images come together.
	Disturbance cottonlanding.DisturbancePolicy
	Mixing      cottonlanding.MixingPolicy
	// Ranking orders the workflows that wait for room.
	Ranking cottonlanding.RankingPolicy
	// Blame decides which tasks crash their workers.
	Blame cottonlanding.BlamePolicy
	// Delegation decides which cell runs a lasting task for which this one has no room; nil is none.
	Delegation cottonlanding.DelegationPolicy
	// KeepsInOneDataCentre says that tasks of a workflow that don't last go to one data centre if
	// that has room, rather than wherever there is.
	KeepsInOneDataCentre bool
	// WatchesDataCentres says that nothing is started in a data centre whose workers fall silent
	// together, rather than on each worker that was found silent.
	WatchesDataCentres bool
}

// placement returns the policy that places tasks of a kind.
func (p Policy) placement(k kind) cottonlanding.PlacementPolicy {
	switch k {
	case fillingTask:
		return p.FillingPlacement
	case lastingTask:
		return p.LastingPlacement
	}
	return p.ShortPlacement
}
