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
	return h.giveUp(ctx, h.View().Owner.Share)
}

// Yield is Release for a member with more room; this one may own the cell again later.
func (h *Holder) Yield(ctx context.Context, to Member) error {
	return h.giveUp(ctx, to.Share)
}

// giveUp writes an owner row without an owner; members of about that share go first.
func (h *Holder) giveUp(ctx context.Context, share float64) error {
	h.mu.Lock()
	view, valid := h.view, h.validUntil > 0
	h.validUntil = 0
	h.mu.Unlock()
	if !valid {
		return nil
	}
	write := h.leaveVacant(view, share, 0)
	for {
		_, err := h.write(ctx, newTransaction(), write)
		if err == nil || errors.Is(err, cottonlanding.ErrConflict) {
			return nil // it is released, or another has it already
		}
		pauser.Pause(ctx, releasePause)
		if ctx.Err() != nil {
			return fmt.Errorf("release cell %s: %w", h.cell, err)
		}
	}
}

// leaveVacant returns the write of an owner row that names nobody in place of the owner, who may believe in
// itself for a remaining time. Members of about that share go first.
func (h *Holder) leaveVacant(view View, share float64, remaining cottonlanding.Millis) cottonlanding.Write {
	return cottonlanding.Write{
		Key:    h.watched(ownerRow),
		Expect: view.Version,
		Value:  encode(Owner{Member: Member{Share: share}, Epoch: view.Owner.Epoch, Remaining: remaining}),
	}
}

// free reports whether this member should take over.
func (h *Holder) free(view View, now cottonlanding.Millis) bool {
	h.mu.Lock()
	leaving, mine := h.leaving, h.validUntil > 0
	h.mu.Unlock()
	switch {
	case leaving || mine:
		return false
	case h.isOurs(view):
		return true
	case !h.due(view, now):
		return false
	}
	return h.deps.Roll.mayTake(now, 2*h.timing.PerOwned)
}

// vacant reports whether the cell has no owner.
func (h *Holder) vacant() bool { return h.View().Owner.ID == "" }

// waits reports whether this member only has to wait for its turn to take a cell that has no
// owner. The duty runs again when that comes.
func (h *Holder) waits() bool {
	view, now := h.View(), h.clock.Now()
	if view.Owner.ID != "" || h.ownerSince == 0 {
		return false
	}
	left := h.dueAt(view) - now
	if left <= 0 {
		return false
	}
	if h.wake == nil {
		h.wake = time.AfterFunc(left.Duration(), h.duty.Nudge)
	} else {
		h.wake.Reset(left.Duration())
	}
	return true
}

// gone reports whether the owner has surely ended, which others are to be told where not all
// processes look at its beats.
func (h *Holder) gone(view View, now cottonlanding.Millis) bool {
	return !h.mine() && h.deps.Cells() > 1 && view.Owner.ID != "" && now >= h.endOf(view)
}

// endOf returns the instant by which the owner has ended if its beat doesn't move any more, or its next life has
// had its time to take the cell back, and this member's part of the jitter after that.
func (h *Holder) endOf(view View) cottonlanding.Millis {
	end := h.beliefEnds() + h.jitter(view)
	endedAt := h.ownerEndedAt(view)
	switch {
	case endedAt == 0:
		return end
	case h.deps.Cells() > 1:
		// Few watch an owner and write that it is gone, so that they needn't be spread over many calls.
		return min(end, endedAt+h.endedGrace()+h.partOf(h.timing.Jitter, view))
	}
	return min(end, endedAt+h.endedGrace()+h.jitter(view))
}

// beliefEnds returns the instant by which the owner doesn't believe in itself any more if its beat doesn't move.
func (h *Holder) beliefEnds() cottonlanding.Millis {
	return h.beatSince + h.beatTTL + h.beatTTL/marginDivisor
}

func (h *Holder) endedGrace() cottonlanding.Millis {
	if h.Slow() {
		return 0
	}
	return h.timing.EndedGrace
}

// vacate writes that the cell has no owner, in place of one that was seen to write no beat for
// its time to live. The beat row is written too, so that the owner can't come back unaware.
func (h *Holder) vacate(ctx context.Context, view View) {
	remaining := max(0, h.beliefEnds()-h.clock.Now())
	_, err := h.write(ctx, newTransaction(),
		h.leaveVacant(view, view.Owner.Share, remaining),
		cottonlanding.Write{Key: h.key(beatRow), Expect: h.beat, Value: h.encodeBeat(h.timing.TTL, nil)},
	)
	h.log.Info("owner is gone", "Owner", view.Owner.ID, "Epoch", view.Owner.Epoch,
		"BeatAge", h.clock.Now()-h.beatSince, "Remaining", remaining, "Error", errorText(err))
}

// isOurs reports whether the owner row names this member, whose ownership has lapsed or was never
// confirmed, or an earlier life of this host.
func (h *Holder) isOurs(view View) bool {
	if view.Owner.Member == h.self {
		return true
	}
	return h.timing.Reclaim && h.self.Address != "" && view.Owner.Address == h.self.Address
}

// due reports whether this member has waited for as long as it should before it takes the
// cell over.
func (h *Holder) due(view View, now cottonlanding.Millis) bool { return now >= h.dueAt(view) }

// dueAt returns the instant from which this member should take the cell over.
func (h *Holder) dueAt(view View) cottonlanding.Millis {
	switch {
	case view.Version == 0:
		return h.ownerSince + h.firstWait() + h.jitter(view) + h.burden()
	case view.Owner.ID == "":
		return h.ownerSince + h.handicap(view) + h.jitter(view) + h.burden()
	}
	return h.endOf(view) + h.handicap(view) + h.burden()
}

// burden is how much longer this member waits because of the cells that it owns, and
// because of where it is.
func (h *Holder) burden() cottonlanding.Millis {
	wait := cottonlanding.Millis(h.deps.Owned()) * h.timing.PerOwned
	if h.deps.Away() {
		wait += h.timing.Away
	}
	return wait
}

// handicap is how much longer this member waits than those that have as large a
// share as the owner had.
func (h *Holder) handicap(view View) cottonlanding.Millis {
	if view.Owner.Share <= h.self.Share*similarShare {
		return 0
	}
	return h.slowed(h.timing.Handicap, h.timing.SlowHandicap)
}

// slowed returns a span that leaves time for calls of the table as it is at present.
func (h *Holder) slowed(usual, slowest cottonlanding.Millis) cottonlanding.Millis {
	if !h.Slow() {
		return usual
	}
	h.mu.Lock()
	call := max(h.lastCall, h.timing.SlowCall)
	h.mu.Unlock()
	return h.timing.SlowSpan(usual, slowest, call)
}

// firstWait is how long this member waits before it becomes the first owner.
func (h *Holder) firstWait() cottonlanding.Millis {
	return cottonlanding.Millis(float64(h.timing.FirstWait) * max(0, 1-h.self.Share))
}

// jitter spreads the members that would take over at the same moment: they share
// one row, and a slow table takes their writes one after the other.
func (h *Holder) jitter(view View) cottonlanding.Millis {
	return h.partOf(h.slowed(h.timing.Jitter, h.timing.SlowJitter), view)
}

// partOf returns this member's part of a span over which the members are spread.
func (h *Holder) partOf(span cottonlanding.Millis, view View) cottonlanding.Millis {
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
	id := newTransaction()
	version, err := h.write(ctx, id,
		cottonlanding.Write{Key: h.watched(ownerRow), Expect: view.Version, Value: encode(owner)},
		cottonlanding.Write{Key: h.key(beatRow), Expect: h.beat, Value: h.encodeBeat(ttl, nil)},
	)
	if errors.Is(err, cottonlanding.ErrAmbiguous) {
		version, err = h.lookBack(ctx, id)
	}
	h.log.Info("take over", "From", view.Owner.ID, "Epoch", owner.Epoch,
		"BeatAge", sent-h.beatSince, "Error", errorText(err))
	if err != nil {
		return // the next read shows who has it
	}
	before := h.beatSince + h.beatTTL // it was seen to write no beat since
	if view.Owner.ID == "" {
		before = max(sent, h.ownerSince+view.Owner.Remaining) // it has released, has ended, or there was none
	}
	h.beat, h.beatTTL, h.beatSince = version, ttl, h.clock.Now()
	h.ownerSince = h.beatSince
	h.mu.Lock()
	h.view = View{Owner: owner, Version: version, Read: h.clock.Now(), BeforeUntil: before}
	h.validUntil = sent + ttl
	view = h.view
	h.mu.Unlock()
	h.deps.Changed(view)
}
