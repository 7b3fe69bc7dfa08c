// Package writer writes log lines without ever blocking those who log.
package writer

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/ticker"
)

const (
	// flushEvery is how long lines wait to be written together.
	flushEvery cottonlanding.Millis = 100
	// linesPerSecond bounds the lines, so that logging can't take the processor
	// from the work: five times the usual traffic fits.
	linesPerSecond = 1500
	// maxWaiting bounds the bytes that wait to be written.
	maxWaiting = 1 << 20
)

var (
	lineShares = newShares(linesPerSecond)
	byteShares = newShares(maxWaiting)
)

// Writer collects lines and writes them from one goroutine. Lines beyond its
// bounds are dropped, counted by kind, and the counts are written.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	waiting []byte
	window  time.Time
	// lines is what was taken of lineShares in this window, bytes what waits of byteShares.
	lines   use
	bytes   use
	dropped [kinds]int

	stop  chan struct{}
	ended chan struct{}
}

// New starts to write to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, stop: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		w.run()
	}()
	return w
}

// Write implements io.Writer for a log handler that writes one line a call, of no kind: it takes of all shares. It
// never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.write(General, line, (*use).takeAny)
	return len(line), nil
}

// write takes a line of a kind as far as its shares allow. It never blocks.
func (w *Writer) write(kind Kind, line []byte, take func(*use, Kind, int, shares) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(w.window) >= time.Second {
		w.window, w.lines = now, use{}
	}
	if !take(&w.lines, kind, 1, lineShares) || !take(&w.bytes, kind, len(line), byteShares) {
		w.dropped[kind]++
		return
	}
	w.waiting = append(w.waiting, line...)
}

// Close writes what waits.
func (w *Writer) Close() {
	close(w.stop)
	<-w.ended
}

func (w *Writer) run() {
	turns := ticker.New(flushEvery)
	defer turns.Stop()
	for {
		select {
		case <-turns.Next():
			w.flush()
		case <-w.stop:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines, dropped := w.waiting, w.dropped
	w.waiting, w.bytes, w.dropped = nil, use{}, [kinds]int{}
	w.mu.Unlock()
	lines = appendDropped(lines, dropped)
	if len(lines) == 0 {
		return
	}
	_, _ = w.out.Write(lines) // there is nowhere to tell that nobody reads
}

// appendDropped appends a line that tells how many lines were dropped, of each kind, if any were.
func appendDropped(lines []byte, dropped [kinds]int) []byte {
	sum, counts := 0, ""
	for kind, count := range dropped {
		if count > 0 {
			sum += count
			counts += fmt.Sprintf(",%q:%d", Kind(kind), count)
		}
	}
	if sum == 0 {
		return lines
	}
	return fmt.Appendf(lines, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"Count\":%d%s}\n",
		time.Now().Format(time.RFC3339Nano), sum, counts)
}
