package cottonlanding

import (
	"fmt"
	"strconv"
	"strings"
)

// Life names one life of a worker. A worker that has crashed may be back under its id: what it
// ran, has counted or was told before belongs to another life.
type Life struct {
	Worker WorkerID
	// Born tells the lives of a worker apart; zero is unknown.
	Born Birth
}

// bornSeparator stands between the worker and the birth in a life's text.
const bornSeparator = "@"

// birthBase is the base of the birth in a life's text, which stands in the rows of all tasks
// that run: eight digits instead of thirteen.
const birthBase = 36

// String returns "worker@birth", and the worker alone if its birth is unknown.
func (l Life) String() string {
	if l.Born == 0 && !strings.Contains(string(l.Worker), bornSeparator) {
		return string(l.Worker)
	}
	return string(l.Worker) + bornSeparator + strconv.FormatInt(int64(l.Born), birthBase)
}

// MarshalText implements encoding.TextMarshaler.
func (l Life) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText reads what String returned.
func (l *Life) UnmarshalText(text []byte) error {
	at := strings.LastIndex(string(text), bornSeparator)
	if at < 0 {
		*l = Life{Worker: WorkerID(text)}
		return nil
	}
	born, err := strconv.ParseInt(string(text[at+1:]), birthBase, 64)
	if err != nil {
		return fmt.Errorf("life %q: %w", text, err)
	}
	*l = Life{Worker: WorkerID(text[:at]), Born: Birth(born)}
	return nil
}

// DiffersFrom reports whether two births are known and differ. Unequal is another life, and
// smaller isn't older.
func (b Birth) DiffersFrom(other Birth) bool { return b != 0 && other != 0 && b != other }
