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

// Writer collects lines and writes them from one goroutine. Lines beyond its
// bounds are dropped, counted, and the count is written.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	waiting []byte
	window  time.Time
	lines   int
	dropped int

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

// Write implements io.Writer for a log handler that writes one line a call. It
// never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(w.window) >= time.Second {
		w.window, w.lines = now, 0
	}
	w.lines++
	if w.lines > linesPerSecond || len(w.waiting)+len(line) > maxWaiting {
		w.dropped++
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	return len(line), nil
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
	w.waiting, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"Count\":%d}\n", dropped)
	}
	if len(lines) == 0 {
		return
	}
	_, _ = w.out.Write(lines) // there is nowhere to tell that nobody reads
}
