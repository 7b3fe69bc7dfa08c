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

// similarShare is how many times larger another share may be to count as similar.
const similarShare = 1.5

// Release gives the cell up, so that another member can take it at once. It
// tries until that is done or ctx ends. The holder goes on to follow who owns it.
func (h *Holder) Release(ctx context.Context) error {
	h.Leave()
	return h.release(ctx, h.View().Owner.Share)
}

// ReleaseTo is Release for a member with more room; this one may own the cell again later.
func (h *Holder) ReleaseTo(ctx context.Context, to Member) error {
	return h.release(ctx, to.Share)
}

// release writes an owner row without an owner; members of about that share go first.
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
			return nil // it is released, or another has it already
		}
		pauser.Pause(ctx, releaseRetryInterval)
		if ctx.Err() != nil {
			return fmt.Errorf("release cell %s: %w", h.cell, err)
		}
	}
}

// vacantOwnerWrite returns the write of an owner row that names nobody in place of the owner, who may believe in
// itself for a remaining time. Members of about that share go first.
func (h *Holder) vacantOwnerWrite(view View, share float64, remaining cottonlanding.Millis) cottonlanding.Write {
	return cottonlanding.Write{
		Key:    h.watched(ownerRow),
		Expect: view.Version,
		Value:  encode(Owner{Member: Member{Share: share}, Epoch: view.Owner.Epoch, Remaining: remaining}),
	}
}

// shouldTakeOver reports whether this member should take over.
func (h *Holder) shouldTakeOver(view View, now cottonlanding.Millis) bool {
	h.mu.Lock()
	leaving, isOwner := h.leaving, h.validUntil > 0
	h.mu.Unlock()
	switch {
	case leaving || isOwner:
		return false
	case h.namesThisMember(view):
		return true
	case !h.mayTakeOverNow(view, now):
		return false
	}
	return h.deps.Watcher.mayTakeOver(now, 2*h.timing.DelayPerOwned)
}

// vacant reports whether the cell has no owner.
func (h *Holder) vacant() bool { return h.View().Owner.ID == "" }

// awaitTurn reports whether this member only has to wait for its turn to take a cell that has no
// owner. The duty runs again when that comes.
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

// ownerHasEnded reports whether the owner has surely ended, which others are to be told where not all
// processes look at its beats.
func (h *Holder) ownerHasEnded(view View, now cottonlanding.Millis) bool {
	return !h.isOwner() && h.deps.Cells() > 1 && view.Owner.ID != "" && now >= h.ownerEndsAt(view)
}

// ownerEndsAt returns the instant by which the owner has ended if its beat doesn't move any more, or its next life has
// had its time to take the cell back, and this member's part of the jitter after that.
func (h *Holder) ownerEndsAt(view View) cottonlanding.Millis {
	end := h.ownershipExpiresAt() + h.jitter(view)
	endedAt := h.ownerEndedAt(view)
	switch {
	case endedAt == 0:
		return end
	case h.deps.Cells() > 1:
		// Few watch an owner and write that it is gone, so that they needn't be spread over many calls.
		return min(end, endedAt+h.restartGrace()+h.memberOffset(h.timing.Jitter, view))
	}
	return min(end, endedAt+h.restartGrace()+h.jitter(view))
}

// ownershipExpiresAt returns the instant by which the owner doesn't believe in itself any more if its beat doesn't move.
func (h *Holder) ownershipExpiresAt() cottonlanding.Millis {
	return h.beatSince + h.beatTTL + h.beatTTL/driftMarginDivisor
}

func (h *Holder) restartGrace() cottonlanding.Millis {
	if h.Slow() {
		return 0
	}
	return h.timing.RestartGrace
}

// clearOwner writes that the cell has no owner, in place of one that was seen to write no beat for
// its time to live. The beat row is written too, so that the owner can't come back unaware.
func (h *Holder) clearOwner(ctx context.Context, view View) {
	remaining := max(0, h.ownershipExpiresAt()-h.clock.Now())
	_, err := h.write(ctx, newTransactionID(),
		h.vacantOwnerWrite(view, view.Owner.Share, remaining),
		cottonlanding.Write{Key: h.key(beatRow), Expect: h.beat, Value: h.encodeBeat(h.timing.TTL, nil)},
	)
	h.log.Info("owner is gone", "Owner", view.Owner.ID, "Epoch", view.Owner.Epoch,
		"BeatAge", h.clock.Now()-h.beatSince, "Remaining", remaining, "Error", errorText(err))
}

// namesThisMember reports whether the owner row names this member, whose ownership has lapsed or was never
// confirmed, or an earlier life of this host.
func (h *Holder) namesThisMember(view View) bool {
	if view.Owner.Member == h.self {
		return true
	}
	return h.timing.Reclaim && h.self.Address != "" && view.Owner.Address == h.self.Address
}

// mayTakeOverNow reports whether this member has waited for as long as it should before it takes the
// cell over.
func (h *Holder) mayTakeOverNow(view View, now cottonlanding.Millis) bool {
	return now >= h.takeOverDueAt(view)
}

// takeOverDueAt returns the instant from which this member should take the cell over.
func (h *Holder) takeOverDueAt(view View) cottonlanding.Millis {
	switch {
	case view.Version == 0:
		return h.ownerRowSince + h.firstOwnerDelay() + h.jitter(view) + h.ownLoadDelay()
	case view.Owner.ID == "":
		return h.ownerRowSince + h.smallShareDelay(view) + h.jitter(view) + h.ownLoadDelay()
	}
	return h.ownerEndsAt(view) + h.smallShareDelay(view) + h.ownLoadDelay()
}

// ownLoadDelay is how much longer this member waits because of the cells that it owns, and
// because of where it is.
func (h *Holder) ownLoadDelay() cottonlanding.Millis {
	wait := cottonlanding.Millis(h.deps.Owned()) * h.timing.DelayPerOwned
	if h.deps.Remote() {
		wait += h.timing.Remote
	}
	return wait
}

// smallShareDelay is how much longer this member waits than those that have as large a
// share as the owner had.
func (h *Holder) smallShareDelay(view View) cottonlanding.Millis {
	if view.Owner.Share <= h.self.Share*similarShare {
		return 0
	}
	return h.scaleDelay(h.timing.SmallShareDelay, h.timing.SlowSmallShareDelay)
}

// scaleDelay returns a span that leaves time for calls of the table as it is at present.
func (h *Holder) scaleDelay(usual, slowest cottonlanding.Millis) cottonlanding.Millis {
	if !h.Slow() {
		return usual
	}
	h.mu.Lock()
	call := max(h.lastCallTime, h.timing.SlowCall)
	h.mu.Unlock()
	return h.timing.SlowSpan(usual, slowest, call)
}

// firstOwnerDelay is how long this member waits before it becomes the first owner.
func (h *Holder) firstOwnerDelay() cottonlanding.Millis {
	return cottonlanding.Millis(float64(h.timing.FirstOwnerDelay) * max(0, 1-h.self.Share))
}

// jitter spreads the members that would take over at the same moment: they share
// one row, and a slow table takes their writes one after the other.
func (h *Holder) jitter(view View) cottonlanding.Millis {
	return h.memberOffset(h.scaleDelay(h.timing.Jitter, h.timing.SlowJitter), view)
}

// memberOffset returns this member's part of a span over which the members are spread.
func (h *Holder) memberOffset(span cottonlanding.Millis, view View) cottonlanding.Millis {
	if span <= 0 {
		return 0
	}
	rank := xxhash.Sum64String(fmt.Sprintf("%s|%s|%d", h.self.ID, h.cell, view.Version))
	return cottonlanding.Millis(rank % uint64(span))
}

// takeOver writes the owner row. The beat row must not have moved, so that an
// owner that has just come back keeps what it holds.
func (h *Holder) takeOver(ctx context.Context, view View) {
	sent, ttl := h.clock.Now(), h.ttl()
	owner := Owner{Member: h.self, Epoch: view.Owner.Epoch + 1}
	id := newTransactionID()
	version, err := h.write(ctx, id,
		cottonlanding.Write{Key: h.watched(ownerRow), Expect: view.Version, Value: encode(owner)},
		cottonlanding.Write{Key: h.key(beatRow), Expect: h.beat, Value: h.encodeBeat(ttl, nil)},
	)
	if errors.Is(err, cottonlanding.ErrAmbiguous) {
		version, err = h.confirmBeat(ctx, id)
	}
	h.log.Info("take over", "From", view.Owner.ID, "Epoch", owner.Epoch,
		"BeatAge", sent-h.beatSince, "Error", errorText(err))
	if err != nil {
		return // the next read shows who has it
	}
	previousUntil := h.beatSince + h.beatTTL // it was seen to write no beat since
	if view.Owner.ID == "" {
		previousUntil = max(sent, h.ownerRowSince+view.Owner.Remaining) // it has released, has ended, or there was none
	}
	h.beat, h.beatTTL, h.beatSince = version, ttl, h.clock.Now()
	h.ownerRowSince = h.beatSince
	h.mu.Lock()
	h.view = View{Owner: owner, Version: version, Read: h.clock.Now(), BeforeUntil: previousUntil}
	h.validUntil = sent + ttl
	view = h.view
	h.mu.Unlock()
	h.deps.Changed(view)
}
