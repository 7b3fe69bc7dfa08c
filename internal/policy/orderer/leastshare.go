package orderer

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// LeastShare places next a task of the team that holds the least processor capacity for its weight,
// including the team's tasks that come earlier in the order.
type LeastShare struct{}

// Order implements cottonlanding.AdmissionPolicy.
func (LeastShare) Order(queued []cottonlanding.TaskView, teams []cottonlanding.TeamUsage) {
	slices.SortFunc(queued, compareQueued)
	shares := make(map[cottonlanding.Team]float64, len(teams))
	weights := make(map[cottonlanding.Team]float64, len(teams))
	for _, team := range teams {
		weights[team.Team] = team.Weight
		shares[team.Team] = float64(team.Use) / positiveWeight(team.Weight)
	}
	rank := make(map[cottonlanding.TaskID]float64, len(queued))
	for _, task := range queued {
		rank[task.ID] = shares[task.Team]
		shares[task.Team] += float64(task.Resources.CPU) / positiveWeight(weights[task.Team])
	}
	slices.SortStableFunc(queued, func(a, b cottonlanding.TaskView) int {
		return cmp.Compare(rank[a.ID], rank[b.ID])
	})
}

// positiveWeight returns the declared weight, or 1 if none is declared.
func positiveWeight(declared float64) float64 {
	if declared <= 0 {
		return 1
	}
	return declared
}
