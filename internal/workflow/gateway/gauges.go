package gateway

import (
	"strings"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/driver"
)

// SetGauges passes the counters of the owned cells to gauge. A host that owns none leaves them out, so that it doesn't
// distort sums over all hosts.
func (g *Gateway) SetGauges(gauge func(name string, value float64)) {
	counts, owner := g.Counts()
	if !owner {
		gauge("workflow_owner", 0)
		return
	}
	gauge("workflow_owner", 1)
	gauge("workflow_cells_owned", float64(g.Owned()))
	for name, count := range map[string]int64{
		"workflows_accepted":                       counts.Accepted,
		"workflows_rejected":                       counts.Rejected,
		"workflows_succeeded":                      counts.Succeeded,
		"workflows_failed":                         counts.Failed,
		"workflows_cancelled":                      counts.Cancelled,
		"runs_started":                             counts.Starts,
		"runs_lost":                                counts.Lost,
		"workflows_convicted":                      counts.FailedByCrashes,
		"runs_stuck":                               counts.Stuck,
		"runs_evicted":                             counts.Preempted,
		"tasks_delegated":                          counts.Delegated,
		"run_times_measured":                       counts.RunTimesMeasured,
		"load_periods_found":                       counts.SeasonsFound,
		"load_periods_lost":                        counts.SeasonsLost,
		"submissions_refused_slow_table":           counts.RefusedSlowTable,
		"cancels_of_unknown_workflows":             counts.Withdrawn,
		"cancels_of_unknown_workflows_refused":     counts.RefusedWithdrawals,
		"submissions_refused_as_cancelled":         counts.RefusedAsWithdrawn,
		"serving_samples":                          counts.Samples,
		"serving_samples_over_target":              counts.SamplesOverTarget,
		"serving_samples_over_target_beside_heavy": counts.SamplesOverTargetBesideHeavy,
	} {
		gauge(name, float64(count))
	}
	for name, span := range g.progressGauges() {
		gauge(name, span.Duration().Seconds())
	}
	for kind, count := range counts.Ends {
		gauge("runs_ended_"+strings.ToLower(string(kind)), float64(count))
	}
}

// progressGauges returns the gauges of the owners' recent delays, the largest over the owned cells.
func (g *Gateway) progressGauges() map[string]cottonlanding.Millis {
	var worst driver.Stats
	for _, p := range *g.participants.Load() {
		if local := p.local(); local != nil {
			worst = worst.Merge(local.Stats())
		}
	}
	return map[string]cottonlanding.Millis{
		"owner_longest_turn_seconds":       worst.Turn,
		"owner_longest_pause_seconds":      worst.Pause,
		"owner_longest_order_wait_seconds": worst.OrderWait,
		"owner_longest_order_seconds":      worst.OrderCall,
	}
}
