package cottonlanding

import (
	"fmt"
	"strconv"
	"strings"
)

// Life identifies one life of a worker, from one start to the next. A worker that crashes may return
// with the same id; its earlier runs, counters and orders belong to another life.
type Life struct {
	Worker WorkerID
	// Born distinguishes the lives of a worker; zero is unknown.
	Born Birth
}

// bornSeparator separates the worker and the birth in the text of a life.
const bornSeparator = "@"

// birthBase is the base of the birth in the text of a life, which is stored with each task that runs:
// eight digits instead of thirteen.
const birthBase = 36

// String returns "worker@birth", or the worker alone if its birth is unknown.
func (l Life) String() string {
	if l.Born == 0 && !strings.Contains(string(l.Worker), bornSeparator) {
		return string(l.Worker)
	}
	return string(l.Worker) + bornSeparator + strconv.FormatInt(int64(l.Born), birthBase)
}

// MarshalText implements encoding.TextMarshaler.
func (l Life) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler for the result of String.
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

// DiffersFrom reports whether both births are known and differ. They are then of two lives, of which
// the one with the smaller birth need not be the earlier one.
func (b Birth) DiffersFrom(other Birth) bool { return b != 0 && other != 0 && b != other }
