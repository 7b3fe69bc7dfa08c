package cottonlanding_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
)

// TestTableInstantsAreConservative guards against bounds that end early. An instant that one process
// writes by the table's clock, and another reads, is never earlier by the other's clock than it was
// meant, however slow the answers are and however the clocks drift.
func TestTableInstantsAreConservative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const begins, shownAtStart = 100_000, 7_000_000 // of true time, from which the clocks of writer and reader are offset
		drift := rapid.IntRange(-9, 9).Draw(t, "DriftPerMille")
		shown := func(at cottonlanding.Millis) cottonlanding.TableInstant {
			passed := at - begins
			return shownAtStart + cottonlanding.TableInstant(passed+passed*cottonlanding.Millis(drift)/1000)
		}
		reading := func(name string, at, offset cottonlanding.Millis) cottonlanding.TableReading {
			requestDelay := cottonlanding.Millis(rapid.IntRange(0, 2000).Draw(t, name+"Out"))
			responseDelay := cottonlanding.Millis(rapid.IntRange(0, 2000).Draw(t, name+"Back"))
			return cottonlanding.TableReading{Shown: shown(at), RequestedAt: at - requestDelay - offset, ReceivedAt: at + responseDelay - offset}
		}
		const writerOffset, readerOffset = 12_345, -54_321
		written := begins + cottonlanding.Millis(rapid.IntRange(0, 60_000).Draw(t, "Written"))
		bound := written + cottonlanding.Millis(rapid.IntRange(-20_000, 20_000).Draw(t, "Bound"))
		read := written + cottonlanding.Millis(rapid.IntRange(0, 30_000).Draw(t, "Read"))
		stored := reading("Writer", written, writerOffset).Latest(bound - writerOffset)
		reader := reading("Reader", read, readerOffset)
		until := reader.Until(stored) + readerOffset
		require.GreaterOrEqual(t, until+2, bound) // all are whole milliseconds
		require.LessOrEqual(t, reader.From(shown(bound))+readerOffset, bound+2)
	})
}
