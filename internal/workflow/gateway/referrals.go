package gateway

import (
	"context"
	"errors"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// referralsEvery is how often owners ask what became of workflows that they referred
	// long ago, and referralsAtOnce of how many: 14,000 a day are one in six seconds.
	referralsEvery  = 5 * cottonlanding.Second
	referralsAtOnce = 20
)

// settleReferrals asks the cells that keep workflows of this host's homes whether they
// still know them, and forgets those that they don't.
func (g *Gateway) settleReferrals(ctx context.Context) {
	for _, s := range *g.seats.Load() {
		local := s.local()
		if local == nil {
			continue
		}
		for id, cell := range local.OldReferrals(referralsAtOnce) {
			if state, known := g.stateIn(ctx, cell, id); known {
				local.ResolveReferral(id, state != "")
			}
		}
		for id, cell := range local.UnconfirmedDelegated(referralsAtOnce) {
			if state, known := g.stateIn(ctx, cell, id); known {
				local.ResolveDelegated(id, state != "" && !state.Final())
			}
		}
	}
}

// stateIn returns the state of a workflow in the cell that keeps it, empty if that has forgotten it, and
// whether that is known.
func (g *Gateway) stateIn(ctx context.Context, cell cottonlanding.CellNumber, id cottonlanding.WorkflowID) (cottonlanding.WorkflowState, bool) {
	keeper := g.seat(cell)
	if keeper == nil {
		return "", false
	}
	state, err := keeper.state(ctx, id)
	if errors.Is(err, cottonlanding.ErrNotFound) {
		return "", true
	}
	return state, err == nil
}
