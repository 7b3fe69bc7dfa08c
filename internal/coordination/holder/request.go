package holder

import (
	"context"
	"encoding/json"

	"github.com/cottonlanding/cottonlanding"
)

// A small member becomes the owner when no large one can reach the table, and a large one may end
// up with many cells. A member with much more share per cell then requests the cell with a row that the
// owner reads, so that cells don't stay on overloaded members.

const (
	// requestDelay is the minimum age of an ownership before another member requests the cell,
	// since each change of owner takes a few tenths of a second.
	requestDelay = 1500 * cottonlanding.Millis(1)
	// maxUncontestedCells is how many cells a member may own before others of about the same share
	// request them: a cell is sized for a third of a member at most, and each change of owner
	// delays its work.
	maxUncontestedCells = 2
)

// Request is the value of the request row.
type Request struct {
	// Member is the one that requests the cell.
	Member
	// OwnerVersion is the version of the owner row whose owner should release the cell.
	OwnerVersion cottonlanding.Version
}

// requestCell requests the cell from its owner if this member should have it.
func (h *Holder) requestCell(ctx context.Context) {
	view := h.View()
	if !h.shouldRequest(view, h.clock.Now()) {
		return
	}
	row, _ := h.deps.Watcher.Row(h.watchedKey(requestRow))
	if h.decodeRequest(row).OwnerVersion != view.Version {
		h.writeRequest(ctx, view, row.Version)
	}
}

// decodeRequest returns the request in a row. A row that can't be decoded counts as no request and
// is overwritten by the next one.
func (h *Holder) decodeRequest(row cottonlanding.Row) Request {
	var request Request
	if row.Version == 0 {
		return request
	}
	if err := json.Unmarshal(row.Value, &request); err != nil {
		h.log.Error("request row", "Version", row.Version, "Error", err)
	}
	return request
}

// shouldRequest reports whether this member should have the cell.
func (h *Holder) shouldRequest(view View, now cottonlanding.Millis) bool {
	h.mu.Lock()
	leaving, isOwner := h.leaving, h.validUntil > 0
	h.mu.Unlock()
	if leaving || isOwner || view.Owner.ID == "" || now-h.ownerRowSince < requestDelay || h.Slow() {
		return false
	}
	return h.ownerOverloaded(view.Owner.Share, max(h.deps.OwnedBy(view.Owner.ID), 1))
}

// ownerOverloaded reports whether the owner, with the given share and number of cells, has much less
// share per cell than this member would have with one cell more.
func (h *Holder) ownerOverloaded(share float64, owned int) bool {
	if owned <= maxUncontestedCells && share*similarShare >= h.self.Share {
		return false
	}
	return float64(owned)*h.self.Share > similarShare*float64(h.deps.Owned()+1)*share
}

// writeRequest writes the request row. If several members write it at once, one succeeds.
func (h *Holder) writeRequest(ctx context.Context, view View, requestVersion cottonlanding.Version) {
	write := cottonlanding.Write{
		Key:    h.watchedKey(requestRow),
		Expect: requestVersion,
		Value:  encode(Request{Member: h.self, OwnerVersion: view.Version}),
	}
	_, err := h.write(ctx, newTransactionID(), write)
	h.log.Info("cell requested", "Owner", view.Owner.ID, "OwnerShare", view.Owner.Share,
		"Share", h.self.Share, "Error", errorText(err))
}

// forwardRequest calls CellRequested for a request of this ownership, once.
func (h *Holder) forwardRequest() {
	view := h.View()
	if h.forwardedVersion == view.Version {
		return
	}
	row, _ := h.deps.Watcher.Row(h.watchedKey(requestRow))
	request := h.decodeRequest(row)
	if request.OwnerVersion != view.Version {
		return
	}
	h.forwardedVersion = view.Version
	h.log.Info("cell request received", "By", request.ID, "Share", request.Share)
	h.deps.CellRequested(request.Member)
}
