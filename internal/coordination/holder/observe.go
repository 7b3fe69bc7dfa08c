package holder

import (
	"context"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/cottonlanding/cottonlanding"
)

// applyOwnerRow updates the view from the watcher's owner row. It returns false while the watcher has
// read nothing yet.
func (h *Holder) applyOwnerRow() bool {
	row, known := h.deps.Watcher.Row(h.watchedKey(ownerRow))
	if !known {
		return false
	}
	now := h.clock.Now()
	if h.ownerRowSince == 0 {
		h.ownerRowSince = now // a cell without an owner row counts from here
	}
	view := h.View()
	if row.Version <= view.Version || row.Version == h.undecodableVersion {
		return true // this member has written a newer row, or can't decode this one
	}
	var owner Owner
	if err := json.Unmarshal(row.Value, &owner); err != nil {
		h.undecodableVersion = row.Version
		h.log.Error("owner row", "Version", row.Version, "Error", err)
		return true
	}
	// The owner wrote a beat together with the row. If this is the first row that this process
	// sees, that may be long ago, and only the first read of the beats shows the owner alive.
	h.beatSince = now
	if view.Version > 0 {
		h.ownerAliveAt = now
	}
	h.publish(View{Owner: owner, Version: row.Version, Read: now})
	return true
}

// observe reads the beats and acts on them: it takes the cell, clears the row of an owner that has
// ended, or requests the cell.
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
	h.beatLeases = statedLeases{since: beat.LeasesSince, span: beat.LeaseSpan}
	h.recordBeat(version, read)
	view, now := h.View(), h.clock.Now()
	view.Read, view.BeatAge, view.Report = h.lastReadAt, h.lastReadAt-h.beatSince, beat.Report
	h.publish(view)
	switch {
	case h.shouldTakeOver(view, now):
		h.takeOver(ctx, view)
	case h.shouldClearOwner(view, now):
		h.clearOwner(ctx, view)
	default:
		h.requestCell(ctx)
	}
}

// mayPostponeRead reports whether the owner was known to be alive recently enough to skip a read. In a
// large deployment most hosts are small and own no cell, and their reads are most of the table's load.
// After a failed call the next read is due at once, since the host rejects callers until one succeeds.
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

// readInterval returns the time between two reads of this member while the owner is alive.
func (h *Holder) readInterval() cottonlanding.Millis {
	idle := max(h.timing.IdlePoll, h.timing.Poll)
	cells := h.deps.Cells()
	switch {
	case cells == 1 && h.View().Owner.Share <= h.self.Share*similarShare:
		return h.timing.Poll // this member would be among the first to take over
	case cells == 1 || h.deps.Owned() > 0:
		return idle
	case !h.deps.CellsKnown():
		return h.timing.Poll // callers wait for the reports of new owners
	case !h.deps.Watcher.Connected():
		return idle // the feed doesn't announce a new owner
	}
	// The interval varies between processes, so that those that started together don't keep reading
	// at the same time. It is from 2/3 to 4/3 of the usual one, which stays the mean.
	interval := idlePollsPerCell * cottonlanding.Millis(cells) * idle
	rank := cottonlanding.Millis(xxhash.Sum64String(string(h.self.ID)) % uint64(interval))
	return (interval + rank) * 2 / 3
}

// maxGap returns the longest time between two reads that counts in full, given the duration of the
// later one. It is well below the time to live, so that the first read after an outage of the table
// doesn't show an owner as ended that had no chance to write.
func (h *Holder) maxGap(took cottonlanding.Millis) cottonlanding.Millis {
	return maxGapPolls*h.timing.Poll + took
}

// retractOwnerEnded discards a report that the owner's process has ended if the owner wrote a beat
// later than any that could still have been in flight at the time of the report.
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

// recordBeat updates for how long the beat row has been unchanged, from one read of it.
func (h *Holder) recordBeat(beatVersion cottonlanding.Version, read reading) {
	receivedAt := read.sent + read.took
	gap, limit := receivedAt-h.lastReadAt, h.maxGap(read.took)
	h.lastReadAt = receivedAt
	switch {
	case beatVersion != h.beatVersion || h.beatSince == 0:
		h.retractOwnerEnded(read)
		if gap <= limit {
			h.ownerAliveAt = receivedAt
		}
		h.beatVersion, h.beatSince = beatVersion, receivedAt
	case gap > limit:
		h.beatSince += gap - limit
	}
}
