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
			keeper := g.seat(cell)
			if keeper == nil {
				continue
			}
			_, err := keeper.state(ctx, id)
			if err == nil || errors.Is(err, cottonlanding.ErrNotFound) {
				local.SettleReferral(id, err == nil)
			}
		}
	}
}
