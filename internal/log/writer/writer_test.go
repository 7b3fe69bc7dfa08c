package writer_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/log/writer"
)

// sink collects what is written; while it is blocked, writes hang.
type sink struct {
	mu      sync.Mutex
	text    bytes.Buffer
	blocked chan struct{}
}

func (s *sink) Write(data []byte) (int, error) {
	if s.blocked != nil {
		<-s.blocked
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(data)
}

func TestLinesComeInOrder(t *testing.T) {
	out := &sink{}
	w := writer.New(out)
	for number := range 100 {
		_, err := fmt.Fprintf(w, "line %d\n", number)
		require.NoError(t, err)
	}
	w.Close()
	lines := strings.Split(strings.TrimSpace(out.text.String()), "\n")
	require.Len(t, lines, 100)
	require.Equal(t, "line 99", lines[99])
}

func TestNeverBlocksAndTellsWhatWasDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // a writer that blocked would end the test at once
		out := &sink{blocked: make(chan struct{})}
		w := writer.New(out)
		write := func() {
			_, err := w.Write([]byte("a line of the log\n"))
			require.NoError(t, err)
		}
		write()
		time.Sleep(200 * time.Millisecond) // the first line hangs on its way out
		began := time.Now()
		for range 20_000 {
			write()
		}
		require.Zero(t, time.Since(began))
		close(out.blocked)
		w.Close()
		const kept = 1499 // of 1,500 a second the first line was one
		require.Equal(t, 1+kept, strings.Count(out.text.String(), "a line of the log\n"))
		require.Contains(t, out.text.String(), `"msg":"log lines dropped","Count":18501`)
	})
}
