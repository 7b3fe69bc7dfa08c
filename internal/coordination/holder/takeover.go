package holder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/pauser"
)

// similarShare is the factor up to which two shares count as similar.
const similarShare = 1.5

// Release gives up the cell so that another member can take it at once, and prevents this member from
// taking it again. It retries until it succeeds or ctx ends. The holder continues to follow the owner.
func (h *Holder) Release(ctx context.Context) error {
	h.Leave()
	return h.release(ctx, h.View().Owner.Share)
}

// ReleaseTo gives up the cell in favour of a member with much more share per cell. Unlike after Release,
// this member may take the cell again.
func (h *Holder) ReleaseTo(ctx context.Context, to Member) error {
	return h.release(ctx, to.Share)
}

// release clears the owner row; members with about the given share may take over first.
func (h *Holder) release(ctx context.Context, share float64) error {
	h.mu.Lock()
	view, valid := h.view, h.validUntil > 0
	h.validUntil = 0
	h.mu.Unlock()
	if !valid {
		return nil
	}
	write := h.vacantOwnerWrite(view, share, 0)
	for {
		_, err := h.write(ctx, newTransactionID(), write)
		if err == nil || errors.Is(err, cottonlanding.ErrConflict) {
			return nil // released, or already taken by another member
		}
		pauser.Pause(ctx, releaseRetryInterval)
		if ctx.Err() != nil {
			return fmt.Errorf("release cell %s: %w", h.cell, err)
		}
	}
}

// vacantOwnerWrite returns the write that clears the owner row. The previous owner may act as the
// owner for the remaining time; members with about the given share may take over first.
func (h *Holder) vacantOwnerWrite(view View, share float64, remaining cottonlanding.Millis) cottonlanding.Write {
	return cottonlanding.Write{
		Key:    h.watchedKey(ownerRow),
		Expect: view.Version,
		Value:  encode(Owner{Member: Member{Share: share}, Epoch: view.Owner.Epoch, Remaining: remaining}),
	}
}

// shouldTakeOver reports whether this member should take the cell now.
func (h *Holder) shouldTakeOver(view View, now cottonlanding.Millis) bool {
	h.mu.Lock()
	leaving, isOwner := h.leaving, h.validUntil > 0
	h.mu.Unlock()
	switch {
	case leaving || isOwner:
		return false
	case h.namesThisMember(view):
		return true
	case !h.takeOverDue(view, now):
		return false
	}
	// A member with one cell more is due one delay later, so two delays give it its turn before this
	// member takes another cell.
	return h.deps.Watcher.claimTakeOver(now, 2*h.timing.DelayPerOwned)
}

// vacant reports whether the cell has no owner.
func (h *Holder) vacant() bool { return h.View().Owner.ID == "" }

// awaitTurn reports whether the cell has no owner and this member's turn to take it hasn't come yet;
// it then schedules the duty for that turn.
func (h *Holder) awaitTurn() bool {
	view, now := h.View(), h.clock.Now()
	if view.Owner.ID != "" || h.ownerRowSince == 0 {
		return false
	}
	left := h.takeOverDueAt(view) - now
	if left <= 0 {
		return false
	}
	if h.takeOverTimer == nil {
		h.takeOverTimer = time.AfterFunc(left.Duration(), h.duty.Nudge)
	} else {
		h.takeOverTimer.Reset(left.Duration())
	}
	return true
}

// shouldClearOwner reports whether the owner is guaranteed to have ended or its process was reported to
// have, so that the owner row should be cleared. With a single cell all processes read its beat, and
// the row needn't be cleared.
func (h *Holder) shouldClearOwner(view View, now cottonlanding.Millis) bool {
	return !h.isOwner() && h.deps.Cells() > 1 && view.Owner.ID != "" && now >= h.actOnEndAt(view)
}

// actOnEndAt returns when this member clears the row or takes over if the beat doesn't change any more:
// at the expiry of the ownership, or of the restart grace if the owner's process was reported to have
// ended, plus this member's part of the jitter.
func (h *Holder) actOnEndAt(view View) cottonlanding.Millis {
	end := h.ownershipExpiresAt() + h.jitter(view)
	endedAt := h.ownerEndedAt(view)
	switch {
	case endedAt == 0:
		return end
	case h.deps.Cells() > 1:
		// Only a few members watch each owner and clear its row, so the jitter for a slow table isn't
		// needed.
		return min(end, endedAt+h.restartGrace()+h.memberOffset(h.timing.Jitter, view))
	}
	return min(end, endedAt+h.restartGrace()+h.jitter(view))
}

// ownershipExpiresAt returns when the ownership has expired in the owner's own view at the latest, if
// the beat doesn't change any more.
func (h *Holder) ownershipExpiresAt() cottonlanding.Millis {
	return h.beatSince + h.beatTTL + h.beatTTL/driftMarginDivisor
}

func (h *Holder) restartGrace() cottonlanding.Millis {
	if h.Slow() {
		return 0
	}
	return h.timing.RestartGrace
}

// clearOwner clears the owner row of an owner that has ended. It writes the beat row too, so that an
// owner that is alive after all fails to write its next beat and learns of the change.
func (h *Holder) clearOwner(ctx context.Context, view View) {
	expires := h.ownershipExpiresAt()
	remaining := max(0, expires-h.clock.Now())
	_, err := h.write(ctx, newTransactionID(),
		h.vacantOwnerWrite(view, view.Owner.Share, remaining),
		cottonlanding.Write{Key: h.key(beatRow), Expect: h.beatVersion, Value: h.encodeBeat(h.timing.TTL, h.lastLeases(expires), nil)},
	)
	h.log.Info("owner is gone", "Owner", view.Owner.ID, "Epoch", view.Owner.Epoch,
		"BeatAge", h.clock.Now()-h.beatSince, "Remaining", remaining, "Error", errorText(err))
}

// namesThisMember reports whether the owner row names this member, whose ownership has expired or was
// never confirmed, or an earlier process at its address.
func (h *Holder) namesThisMember(view View) bool {
	if view.Owner.Member == h.self {
		return true
	}
	return h.timing.Reclaim && h.self.Address != "" && view.Owner.Address == h.self.Address
}

// takeOverDue reports whether this member's take-over delay is over.
func (h *Holder) takeOverDue(view View, now cottonlanding.Millis) bool {
	return now >= h.takeOverDueAt(view)
}

// takeOverDueAt returns the instant from which this member may take the cell.
func (h *Holder) takeOverDueAt(view View) cottonlanding.Millis {
	switch {
	case view.Version == 0:
		return h.ownerRowSince + h.firstOwnerDelay() + h.jitter(view) + h.ownLoadDelay()
	case view.Owner.ID == "":
		return h.ownerRowSince + h.smallShareDelay(view) + h.jitter(view) + h.ownLoadDelay()
	}
	return h.actOnEndAt(view) + h.smallShareDelay(view) + h.ownLoadDelay()
}

// ownLoadDelay returns the delay due to the cells that this member owns and to its data centre.
func (h *Holder) ownLoadDelay() cottonlanding.Millis {
	wait := cottonlanding.Millis(h.deps.Owned()) * h.timing.DelayPerOwned
	if h.deps.Remote() {
		wait += h.timing.Remote
	}
	return wait
}

// smallShareDelay returns the delay due to a much smaller share than the previous owner's.
func (h *Holder) smallShareDelay(view View) cottonlanding.Millis {
	if view.Owner.Share <= h.self.Share*similarShare {
		return 0
	}
	return h.scaleDelay(h.timing.SmallShareDelay, h.timing.SlowSmallShareDelay)
}

// scaleDelay returns usual, or a longer delay for the present duration of calls while the table is
// slow, at most slowest.
func (h *Holder) scaleDelay(usual, slowest cottonlanding.Millis) cottonlanding.Millis {
	if !h.Slow() {
		return usual
	}
	h.mu.Lock()
	call := max(h.lastCallTime, h.timing.SlowCall)
	h.mu.Unlock()
	return h.timing.SlowSpan(usual, slowest, call)
}

// firstOwnerDelay returns the delay before this member becomes the first owner of the cell.
func (h *Holder) firstOwnerDelay() cottonlanding.Millis {
	return cottonlanding.Millis(float64(h.timing.FirstOwnerDelay) * max(0, 1-h.self.Share))
}

// jitter returns this member's part of the span over which take-overs are spread: all members write
// the same row, and a slow table processes their writes one after the other.
func (h *Holder) jitter(view View) cottonlanding.Millis {
	return h.memberOffset(h.scaleDelay(h.timing.Jitter, h.timing.SlowJitter), view)
}

// memberOffset returns an offset within span that depends on the member, the cell and the owner row.
func (h *Holder) memberOffset(span cottonlanding.Millis, view View) cottonlanding.Millis {
	if span <= 0 {
		return 0
	}
	rank := xxhash.Sum64String(fmt.Sprintf("%s|%s|%d", h.self.ID, h.cell, view.Version))
	return cottonlanding.Millis(rank % uint64(span))
}

// takeOver writes the owner row with a new epoch. The write fails if the beat row has changed, so that
// an owner that has just come back keeps the cell.
func (h *Holder) takeOver(ctx context.Context, view View) {
	sent, ttl := h.clock.Now(), h.ttl()
	owner := Owner{Member: h.self, Epoch: view.Owner.Epoch + EpochSpan}
	beforeUntil := h.beatSince + h.beatTTL // the previous owner has written no beat since beatSince
	if view.Owner.ID == "" {
		beforeUntil = max(sent, h.ownerRowSince+view.Owner.Remaining) // released, cleared, or never owned
	}
	leases := h.lastLeases(beforeUntil)
	id := newTransactionID()
	version, err := h.write(ctx, id,
		cottonlanding.Write{Key: h.watchedKey(ownerRow), Expect: view.Version, Value: encode(owner)},
		cottonlanding.Write{Key: h.key(beatRow), Expect: h.beatVersion, Value: h.encodeBeat(ttl, leases, nil)},
	)
	if errors.Is(err, cottonlanding.ErrAmbiguous) {
		version, err = h.confirmBeat(ctx, id)
	}
	h.log.Info("take over", "From", view.Owner.ID, "Epoch", owner.Epoch,
		"BeatAge", sent-h.beatSince, "LeasesLeft", max(0, leases.latest-sent), "Error", errorText(err))
	if err != nil {
		return // the next read shows the owner
	}
	h.beatVersion, h.beatTTL, h.beatLeases, h.beatSince = version, ttl, leases, h.clock.Now()
	h.ownerRowSince = h.beatSince
	h.mu.Lock()
	h.view = View{Owner: owner, Version: version, Read: h.clock.Now(), BeforeUntil: beforeUntil, EarlierLeasesEnd: leases.latest}
	h.validUntil, h.leasesEnd = sent+ttl, leases.earliest
	view = h.view
	h.mu.Unlock()
	h.deps.Changed(view)
}
