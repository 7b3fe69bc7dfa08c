package writer_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/log/writer"
)

// linesPerSecond is the bound of all lines.
const linesPerSecond = 1500

// flood logs more of a kind than the bound allows.
func flood(log *slog.Logger, message string) {
	for number := range 2 * linesPerSecond {
		log.Info(message, "Number", number)
	}
}

// counts returns how often messages are in the text.
func counts(text string, messages ...string) map[string]int {
	out := make(map[string]int)
	for _, message := range messages {
		out[message] = strings.Count(text, fmt.Sprintf(`"msg":%q`, message))
	}
	return out
}

// TestFloodsLeaveOthersTheirLines guards against a second so busy with calls and tasks that the lines about lasting
// tasks, owners and warnings are lost in it.
func TestFloodsLeaveOthersTheirLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &sink{}
		lines := writer.New(out)
		log := slog.New(lines.Handler(nil))
		flood(writer.Of(log, writer.Requests), "call answered")
		flood(writer.Of(log, writer.Tasks), "tasks placed")
		for number := range 90 {
			writer.Of(log, writer.Lasting).Info("lasting task down", "Number", number)
			writer.Of(log, writer.Owners).Info("owner changed", "Number", number)
			log.Warn("worker lost", "Number", number)
			log.Info("table regained", "Number", number)
		}
		lines.Close()
		text := out.text.String()
		require.Equal(t, map[string]int{"lasting task down": 90, "owner changed": 90, "worker lost": 90, "table regained": 90},
			counts(text, "lasting task down", "owner changed", "worker lost", "table regained"))
		require.Equal(t, map[string]int{"call answered": 600, "tasks placed": 200}, counts(text, "call answered", "tasks placed"))
		require.Contains(t, text, `"msg":"log lines dropped","Count":5200,"Requests":2400,"Tasks":2800}`)
	})
}

// TestKindsShareOneBound guards against shares that come to more lines in sum than the bound.
func TestKindsShareOneBound(t *testing.T) {
	all := []writer.Kind{writer.General, writer.Requests, writer.Tasks, writer.Lasting, writer.Owners, writer.Warnings}
	for _, first := range all {
		synctest.Test(t, func(t *testing.T) {
			out := &sink{}
			lines := writer.New(out)
			log := slog.New(lines.Handler(nil))
			flood(writer.Of(log, first), "line")
			for _, kind := range all {
				flood(writer.Of(log, kind), "line")
			}
			time.Sleep(1100 * time.Millisecond)
			flood(log, "later") // the next second has its own shares
			lines.Close()
			require.Equal(t, map[string]int{"line": linesPerSecond, "later": 750}, counts(out.text.String(), "line", "later"))
		})
	}
}

// TestLongLinesLeaveOthersTheirBytes guards against long lines of one kind that fill what may wait while nobody reads.
func TestLongLinesLeaveOthersTheirBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &sink{blocked: make(chan struct{})}
		lines := writer.New(out)
		log := slog.New(lines.Handler(nil))
		log.Info("first")
		time.Sleep(200 * time.Millisecond) // it hangs on its way out
		for range 5 {
			time.Sleep(time.Second)
			for range 200 {
				writer.Of(log, writer.Tasks).Info("tasks placed", "Tasks", strings.Repeat("x", 10_000))
			}
			writer.Of(log, writer.Lasting).Info("lasting task down")
		}
		close(out.blocked)
		lines.Close()
		text := out.text.String()
		require.Equal(t, 5, counts(text, "lasting task down")["lasting task down"])
		require.Less(t, len(text), 1<<20)
		require.Contains(t, text, `"Tasks":9`)
	})
}

// TestKindsKeepWhatALoggerHas guards against lines of a kind that lack their host or cell, or are of another level.
func TestKindsKeepWhatALoggerHas(t *testing.T) {
	out := &sink{}
	lines := writer.New(out)
	log := slog.New(lines.Handler(&slog.HandlerOptions{Level: slog.LevelInfo})).With("Host", "h1")
	kind := writer.Of(log, writer.Lasting).With("Cell", 3)
	kind.Debug("not shown")
	kind.WithGroup("G").Info("line", "Key", "Value")
	writer.Of(kind, writer.Tasks).Info("line", "Key", "Value")
	require.False(t, kind.Enabled(context.Background(), slog.LevelDebug))
	lines.Close()
	text := out.text.String()
	require.Contains(t, text, `"msg":"line","Host":"h1","Cell":3,"G":{"Key":"Value"}}`)
	require.Contains(t, text, `"msg":"line","Host":"h1","Cell":3,"Key":"Value"}`)
	require.NotContains(t, text, "not shown")
}

// TestLoggersWithoutKindsStay: what doesn't write to a Writer logs as before.
func TestLoggersWithoutKindsStay(t *testing.T) {
	var text strings.Builder
	log := slog.New(slog.NewTextHandler(&text, nil))
	require.Same(t, log, writer.Of(log, writer.Lasting))
	writer.Of(log, writer.Lasting).Error("line", "Error", errors.New("why"))
	require.Contains(t, text.String(), "line")
}
