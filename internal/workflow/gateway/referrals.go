package gateway

import (
	"context"
	"errors"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// referralsInterval is how often owners query old referrals and unconfirmed delegated workflows, maxReferralsPerPass
	// how many of each kind at a time for each cell. That is 4 a second, far above the rate of new workflows: 14,000 a
	// day are one in six seconds.
	referralsInterval   = 5 * cottonlanding.Second
	maxReferralsPerPass = 20
)

// resolveReferredAndDelegated asks the cells to which this host's cells have referred workflows whether they still have
// them, and the delegators of workflows delegated to this host's cells whether these are still open. Referrals of
// workflows that are gone are dropped, and delegated workflows that have ended are cancelled here.
func (g *Gateway) resolveReferredAndDelegated(ctx context.Context) {
	for _, p := range *g.participants.Load() {
		local := p.local()
		if local == nil {
			continue
		}
		for id, cell := range local.OldReferrals(maxReferralsPerPass) {
			if state, known := g.stateInCell(ctx, cell, id); known {
				local.ResolveReferral(id, state != "")
			}
		}
		for id, cell := range local.UnconfirmedDelegated(maxReferralsPerPass) {
			if state, known := g.stateInCell(ctx, cell, id); known {
				local.ResolveDelegated(id, state != "" && !state.Final())
			}
		}
	}
}

// stateInCell returns the state of a workflow in a cell, empty if the cell no longer has it, and whether the cell
// answered.
func (g *Gateway) stateInCell(ctx context.Context, cell cottonlanding.CellNumber, id cottonlanding.WorkflowID) (cottonlanding.WorkflowState, bool) {
	destination := g.participant(cell)
	if destination == nil {
		return "", false
	}
	state, err := destination.state(ctx, id)
	if errors.Is(err, cottonlanding.ErrNotFound) {
		return "", true
	}
	return state, err == nil
}
