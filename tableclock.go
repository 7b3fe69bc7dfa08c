package cottonlanding

// TableInstant is an instant of the table's own clock in milliseconds. It has the same meaning for all
// processes.
type TableInstant int64

// TableReading is what the table's clock showed in one of its answers, with the instants of the
// reader's own clock at which the answer was requested and received.
type TableReading struct {
	Shown                   TableInstant
	RequestedAt, ReceivedAt Millis
}

// tableDriftDivisor bounds the relative drift of the table's clock and the reader's, as a divisor: at
// most 1/50.
const tableDriftDivisor = 50

// Latest returns the latest instant that the table's clock may show, or have shown, at an instant of the
// reader's clock.
func (r TableReading) Latest(at Millis) TableInstant {
	passed := at - r.RequestedAt
	return r.Shown + TableInstant(passed+max(passed, -passed)/tableDriftDivisor)
}

// Until returns the instant of the reader's clock by which the table's clock shows, or showed, the
// given instant at the latest.
func (r TableReading) Until(shown TableInstant) Millis {
	left := Millis(shown - r.Shown)
	return r.ReceivedAt + left + max(left, -left)/tableDriftDivisor
}

// From returns the instant of the reader's clock before which the table's clock can't show, or have
// shown, the given instant.
func (r TableReading) From(shown TableInstant) Millis {
	left := Millis(shown - r.Shown)
	return r.RequestedAt + left - max(left, -left)/tableDriftDivisor
}

// MaxError returns by how much the reading may be off at an instant of the reader's clock.
func (r TableReading) MaxError(now Millis) Millis {
	return r.ReceivedAt - r.RequestedAt + (now-r.ReceivedAt)/tableDriftDivisor
}
