package driver

import (
	"context"
	"fmt"
	"time"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// slowCommitPause is the time between a slow commit and the next decision. The pollers that the commit wakes get
// answers meanwhile; the ends in these would otherwise wait for another commit.
const slowCommitPause = 25 * cottonlanding.Millis(1)

// pauseAfterTurn returns how long to wait after a turn.
func (d *Driver) pauseAfterTurn(took turnTimes) cottonlanding.Millis {
	pause := pauseAfter(took)
	if d.policy.CommitsCallersFirst && took.ended-took.decided >= slowCommitThreshold {
		return max(pause, slowCommitPause)
	}
	return pause
}

// rejectIfTooSlow calls done with ErrUnavailable if a new workflow would not be committed before the deadline of ctx, and
// reports whether it did. A workflow that the cell knows is never rejected: it may be accepted already. Nothing is
// changed before, so that a rejected workflow never runs.
func (d *Driver) rejectIfTooSlow(ctx context.Context, cell *planner.Cell, id cottonlanding.WorkflowID, now cottonlanding.Millis, done func(error)) bool {
	deadline, limited := ctx.Deadline()
	_, referred := cell.Referral(id)
	if !d.policy.CommitsCallersFirst || !limited || referred || cell.Knows(id) {
		return false
	}
	inFlight, each, slow := d.commitTimes.forecast(now)
	if !slow {
		return false
	}
	needed := inFlight + each*cottonlanding.Millis(cell.PlansUntilSubmitted())
	left := cottonlanding.Millis(time.Until(deadline).Milliseconds())
	if needed <= left {
		return false
	}
	cell.CountRefusedSlowTable()
	if !d.refusing.Swap(true) {
		d.deps.Log.Warn("submissions refused while the table is slow", "Needed", needed, "Left", left, "Rows", cell.CallerWrites())
	}
	// clients see this text
	done(fmt.Errorf("the table is slow: the commit would take %d ms, and %d ms are left: %w", needed, left, cottonlanding.ErrUnavailable))
	return true
}

// recordCommitted records the duration of a commit.
func (d *Driver) recordCommitted(took cottonlanding.Millis) {
	if took < slowCommitThreshold && d.refusing.Swap(false) {
		d.deps.Log.Info("submissions accepted again", "Commit", took)
	}
}
