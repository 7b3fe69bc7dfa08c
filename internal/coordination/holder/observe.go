package holder

import (
	"context"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/cottonlanding/cottonlanding"
)

// applyOwnerRow takes in what the roll tells of the owner. It reports whether the roll knows.
func (h *Holder) applyOwnerRow() bool {
	row, known := h.deps.Watcher.Row(h.watched(ownerRow))
	if !known {
		return false
	}
	now := h.clock.Now()
	if h.ownerRowSince == 0 {
		h.ownerRowSince = now // there may be none yet
	}
	view := h.View()
	if row.Version <= view.Version || row.Version == h.undecodable {
		return true // this member has written the newer one, or can't read this one
	}
	var owner Owner
	if err := json.Unmarshal(row.Value, &owner); err != nil {
		h.undecodable = row.Version
		h.log.Error("owner row", "Version", row.Version, "Error", err)
		return true
	}
	// Nothing was seen of its beats, but it wrote one with the row. Whether that was long
	// before this process began is for the first look to tell.
	h.beatSince = now
	if view.Version > 0 {
		h.ownerAliveAt = now
	}
	h.publish(View{Owner: owner, Version: row.Version, Read: now})
	return true
}

// observe reads the beats and does what they call for: it takes the cell, tells others that it
// may be taken, or asks for it.
func (h *Holder) observe(ctx context.Context) {
	if h.awaitTurn() {
		return
	}
	freshReadFrom := cottonlanding.Millis(h.freshReadFrom.Load())
	since := max(h.clock.Now()-h.timing.Poll, h.lastReadSentAt, freshReadFrom)
	if h.vacant() {
		since = max(since, h.ownerRowSince)
	}
	owners := freshReadFrom > h.lastReadAt || !h.deps.Watcher.Connected()
	read := h.deps.Reader.read(ctx, since, h.timeout(), owners)
	h.recordCall(read.took, read.err)
	if read.err != nil || !h.applyOwnerRow() {
		return
	}
	h.lastReadSentAt = read.sent
	beat, version, err := h.decodeBeat(read.rows)
	if err != nil {
		h.log.Error("beat row", "Version", version, "Error", err)
		return
	}
	h.beatTTL = max(beat.TTL, h.timing.TTL)
	h.recordBeat(version, read)
	view, now := h.View(), h.clock.Now()
	view.Read, view.BeatAge, view.Report = h.lastReadAt, h.lastReadAt-h.beatSince, beat.Report
	h.publish(view)
	switch {
	case h.shouldTakeOver(view, now):
		h.takeOver(ctx, view)
	case h.ownerHasEnded(view, now):
		h.clearOwner(ctx, view)
	default:
		h.requestCell(ctx)
	}
}

// mayPostponeRead reports whether the owner was known to be alive lately enough. Most hosts of a large
// deployment are small and own nothing, and what they read is most of what the table is asked.
// After a call that failed the next look is due at once: callers are turned away until one succeeds.
func (h *Holder) mayPostponeRead() bool {
	h.mu.Lock()
	view, connected := h.view, h.connected
	h.mu.Unlock()
	if !connected || view.Owner.ID == "" || h.namesThisMember(view) {
		return false
	}
	now := h.clock.Now()
	alive := h.ownerAliveAt > 0 && h.ownerAliveAt >= cottonlanding.Millis(h.freshReadFrom.Load())
	return alive && now-h.ownerAliveAt < h.readInterval()-h.timing.Poll/earlyReadDivisor
}

// readInterval is the time between two looks of this member at an owner that is alive.
func (h *Holder) readInterval() cottonlanding.Millis {
	rest := max(h.timing.RestPoll, h.timing.Poll)
	cells := h.deps.Cells()
	switch {
	case cells == 1 && h.View().Owner.Share <= h.self.Share*similarShare:
		return h.timing.Poll // it would be among the first to take over
	case cells == 1 || h.deps.Owned() > 0:
		return rest
	case !h.deps.CellsKnown():
		return h.timing.Poll // callers wait for what new owners tell
	case !h.deps.Watcher.Connected():
		return rest // nobody tells of a new owner
	}
	// Processes that started together don't look together for long.
	interval := restPollsPerCell * cottonlanding.Millis(cells) * rest
	rank := cottonlanding.Millis(xxhash.Sum64String(string(h.self.ID)) % uint64(interval))
	return (interval + rank) * 2 / 3
}

// maxGap is the longest time between two reads that counts in full, for a read that took
// a while: well below the time to live, so that the first read after an outage of the table
// doesn't show an owner to be gone that had no chance to write.
func (h *Holder) maxGap(took cottonlanding.Millis) cottonlanding.Millis {
	return maxGapPolls*h.timing.Poll + took
}

// retractOwnerEnded takes back that the owner's process has ended if it has written a beat later than any that was on its way
// when that was seen.
func (h *Holder) retractOwnerEnded(read reading) {
	callTimeout := h.timeout()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.endedVersion == 0 || h.endedVersion != h.view.Version || read.sent-h.endedAt <= callTimeout {
		return
	}
	h.log.Warn("owner that was taken for ended writes beats", "Version", h.endedVersion)
	h.endedVersion = 0
}

// recordBeat measures for how long the beat row has stood still, by a reading of it.
func (h *Holder) recordBeat(beat cottonlanding.Version, read reading) {
	receivedAt := read.sent + read.took
	gap, limit := receivedAt-h.lastReadAt, h.maxGap(read.took)
	h.lastReadAt = receivedAt
	switch {
	case beat != h.beat || h.beatSince == 0:
		h.retractOwnerEnded(read)
		if gap <= limit {
			h.ownerAliveAt = receivedAt
		}
		h.beat, h.beatSince = beat, receivedAt
	case gap > limit:
		h.beatSince += gap - limit
	}
}
