package holder

import (
	"context"
	"encoding/json"

	"github.com/cottonlanding/cottonlanding"
)

// A small member becomes the owner when no large one can reach the table. Once one
// can, it asks for the partition by a row that the owner looks at, so that the
// work doesn't stay where there is too little room for it.

const (
	requestRow = rowPrefix + "Request"
	// askAfter is how long a member has seen a small owner before it asks: each
	// change of owner costs a few tenths of a second.
	askAfter = 1500 * cottonlanding.Millis(1)
	// requestPoll is how often an owner looks for a request.
	requestPoll = 600 * cottonlanding.Millis(1)
)

// Request is the value of the request row.
type Request struct {
	// Member asks for the partition.
	Member
	// OwnerVersion is the version of the owner row that it asks to be given up.
	OwnerVersion cottonlanding.Version
}

// wants reports whether this member should ask for the partition. requested is the
// version of the owner row for which somebody has asked already.
func (h *Holder) wants(view View, requested cottonlanding.Version, now cottonlanding.Millis) bool {
	h.mu.Lock()
	leaving, mine := h.leaving, h.validUntil > 0
	h.mu.Unlock()
	small := view.Owner.ID != "" && view.Owner.Share*similarShare < h.self.Share
	return small && !leaving && !mine && !h.Slow() && requested != view.Version && now-h.ownerSince >= askAfter
}

// ask writes the request; of several members one succeeds.
func (h *Holder) ask(ctx context.Context, view View, requestVersion cottonlanding.Version) {
	write := cottonlanding.Write{
		Key:    h.partition.Key(requestRow),
		Expect: requestVersion,
		Value:  encode(Request{Member: h.self, OwnerVersion: view.Version}),
	}
	_, err := h.write(ctx, newTransaction(), write)
	h.log.Info("partition asked for", "Partition", h.partition, "Owner", view.Owner.ID, "OwnerShare", view.Owner.Share,
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
	rows, err := h.table.Read(ctx, h.partition.Key(requestRow))
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
	h.log.Info("partition is asked for", "Partition", h.partition, "By", request.ID, "Share", request.Share)
	h.asked(request.Member)
}
