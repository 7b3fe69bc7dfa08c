package cottonlanding

// TableInstant is an instant of the table's own clock in milliseconds. It means the same to all processes.
type TableInstant int64

// TableReading is what the table's clock showed in one of its answers, which was asked for and came at two instants of
// the reader's own clock.
type TableReading struct {
	Shown                   TableInstant
	RequestedAt, ReceivedAt Millis
}

// tableDriftDivisor bounds the part, as a divisor, by which the table's clock and the reader's run apart.
const tableDriftDivisor = 50

// Latest returns what the table's clock shows at most at an instant of the reader's clock.
func (r TableReading) Latest(at Millis) TableInstant {
	passed := max(0, at-r.RequestedAt)
	return r.Shown + TableInstant(passed+passed/tableDriftDivisor)
}

// Until returns the instant of the reader's clock by which the table's clock surely shows as much.
func (r TableReading) Until(shown TableInstant) Millis {
	left := max(0, Millis(shown-r.Shown))
	return r.ReceivedAt + left + left/tableDriftDivisor
}

// MaxError returns by how much the reading may be off at an instant of the reader's clock.
func (r TableReading) MaxError(now Millis) Millis {
	return r.ReceivedAt - r.RequestedAt + (now-r.ReceivedAt)/tableDriftDivisor
}
