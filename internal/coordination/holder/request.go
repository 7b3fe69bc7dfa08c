package holder

import (
	"context"
	"encoding/json"

	"github.com/cottonlanding/cottonlanding"
)

// A small member becomes the owner when no large one can reach the table, and a large
// one may end up with many cells. Once another has more room for a cell, it asks for it
// by a row that the owner looks at, so that the work doesn't stay where it is crowded.

const (
	// askAfter is how long a member has seen a small owner before it asks: each
	// change of owner costs a few tenths of a second.
	askAfter = 1500 * cottonlanding.Millis(1)
	// requestPoll is how often an owner looks for a request.
	requestPoll = 600 * cottonlanding.Millis(1)
	// easyOwned is how many cells a member may own without being asked for them by one
	// of about the same share: a cell is sized to take a third of a member at most, and
	// each change of owner holds up its work.
	easyOwned = 2
)

// Request is the value of the request row.
type Request struct {
	// Member asks for the cell.
	Member
	// OwnerVersion is the version of the owner row that it asks to be given up.
	OwnerVersion cottonlanding.Version
}

// wants reports whether this member should ask for the cell.
func (h *Holder) wants(view View, rows cellRows, now cottonlanding.Millis) bool {
	h.mu.Lock()
	leaving, mine := h.leaving, h.validUntil > 0
	h.mu.Unlock()
	if leaving || mine || view.Owner.ID == "" || h.Slow() || rows.request.OwnerVersion == view.Version {
		return false
	}
	return now-h.ownerSince >= askAfter && h.crowded(view.Owner.Share, max(rows.beat.Owned, 1))
}

// crowded reports whether the owner has much less of its share for each cell than this
// member would have with one more.
func (h *Holder) crowded(share float64, owned int) bool {
	if owned <= easyOwned && share*similarShare >= h.self.Share {
		return false
	}
	return float64(owned)*h.self.Share > similarShare*float64(h.deps.Owned()+1)*share
}

// ask writes the request; of several members one succeeds.
func (h *Holder) ask(ctx context.Context, view View, requestVersion cottonlanding.Version) {
	write := cottonlanding.Write{
		Key:    h.key(requestRow),
		Expect: requestVersion,
		Value:  encode(Request{Member: h.self, OwnerVersion: view.Version}),
	}
	_, err := h.write(ctx, newTransaction(), write)
	h.log.Info("cell asked for", "Owner", view.Owner.ID, "OwnerShare", view.Owner.Share,
		"Share", h.self.Share, "Error", errorText(err))
}

// lookForRequest passes on a request for this ownership, once.
func (h *Holder) lookForRequest(ctx context.Context) {
	now := h.clock.Now()
	view := h.View()
	if now-h.requestAt < requestPoll || h.heard == view.Version {
		return
	}
	h.requestAt = now
	ctx, cancel := context.WithTimeout(ctx, h.timeout().Duration())
	defer cancel()
	rows, err := h.deps.Table.Read(ctx, h.key(requestRow))
	if err != nil || len(rows) == 0 {
		return // the beat tells of a lost table
	}
	var request Request
	if err := json.Unmarshal(rows[0].Value, &request); err != nil {
		h.log.Error("request row", "Error", err)
		return
	}
	if request.OwnerVersion != view.Version {
		return
	}
	h.heard = view.Version
	h.log.Info("cell is asked for", "By", request.ID, "Share", request.Share)
	h.deps.Asked(request.Member)
}
