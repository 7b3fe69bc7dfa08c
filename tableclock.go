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

// Latest returns the latest instant that the table's clock may show at an instant of the reader's
// clock.
func (r TableReading) Latest(at Millis) TableInstant {
	passed := max(0, at-r.RequestedAt)
	return r.Shown + TableInstant(passed+passed/tableDriftDivisor)
}

// Until returns the instant of the reader's clock by which the table's clock shows the given instant
// at the latest.
func (r TableReading) Until(shown TableInstant) Millis {
	left := max(0, Millis(shown-r.Shown))
	return r.ReceivedAt + left + left/tableDriftDivisor
}

// MaxError returns by how much the reading may be off at an instant of the reader's clock.
func (r TableReading) MaxError(now Millis) Millis {
	return r.ReceivedAt - r.RequestedAt + (now-r.ReceivedAt)/tableDriftDivisor
}
