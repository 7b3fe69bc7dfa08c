package holder

import "github.com/cottonlanding/cottonlanding"

// An owner grants leases, which outlast it. Its successor must know when they have ended, and can't ask. So each beat
// says until when the leases last that the owner may grant before its next beat, and a successor's first beat repeats
// what the last beat of its predecessor said. The owner keeps to what its last confirmed beat said.
//
// Beats say it as a span after an instant of the past, because an instant by another clock is the more exact the less
// time lies between it and the reading of that clock.

// Leases says that all leases have ended a span after an instant of the owner's clock. The zero value says nothing.
type Leases struct {
	Since, Span cottonlanding.Millis
}

// End returns when the leases have ended.
func (l Leases) End() cottonlanding.Millis { return l.Since + l.Span }

// statedLeases is what a beat says of leases, with the instants of this member's clock at which they may end.
type statedLeases struct {
	since            cottonlanding.TableInstant
	span             cottonlanding.Millis
	earliest, latest cottonlanding.Millis
}

// end is the instant by the table's clock, to compare two beats.
func (s statedLeases) end() cottonlanding.TableInstant {
	return s.since + cottonlanding.TableInstant(s.span)
}

// LeasesEnd returns the instant by which the leases that this member grants must end, zero if it isn't the owner or
// if there is no limit, since its beats don't say any.
func (h *Holder) LeasesEnd() cottonlanding.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.validUntil == 0 {
		return 0
	}
	return h.leasesEnd
}

// readTableClock returns a reading of the table's clock, and false if there is none.
func (h *Holder) readTableClock() (cottonlanding.TableReading, bool) {
	if h.deps.TableClock == nil {
		return cottonlanding.TableReading{}, false
	}
	return h.deps.TableClock()
}

// nextLeases returns what the next beat says: what the owner asks for, unless the last beat said more.
func (h *Holder) nextLeases() statedLeases {
	reading, known := h.readTableClock()
	if !known || h.deps.Leases == nil {
		return h.beatLeases
	}
	wanted := h.deps.Leases()
	next := statedLeases{since: reading.Latest(wanted.Since), span: wanted.Span, earliest: wanted.End()}
	if wanted == (Leases{}) || next.end() <= h.beatLeases.end() {
		return h.beatLeases
	}
	return next
}

// lastLeases returns when the leases of all owners so far end, by the beat that was read last, and nothing if there was no
// owner or that isn't known. The last of them owned the cell until ownedUntil at the latest.
func (h *Holder) lastLeases(ownedUntil cottonlanding.Millis) statedLeases {
	reading, known := h.readTableClock()
	last, untimed := h.beatLeases, ownedUntil+h.timing.UntimedLeases
	switch {
	case h.beatVersion == 0 || last.span == 0 && h.timing.UntimedLeases == 0:
		return statedLeases{}
	case !known:
		return statedLeases{latest: untimed}
	case last.span == 0:
		return statedLeases{
			since: reading.Latest(ownedUntil), span: h.timing.UntimedLeases, earliest: untimed, latest: untimed,
		}
	}
	last.earliest, last.latest = reading.From(last.since)+last.span, reading.Until(last.since)+last.span
	return last
}
