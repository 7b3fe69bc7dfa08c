package writer_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/log/writer"
)

// TestGoldenKinds guards against another name or share of a kind of lines, which those who read
// the log tell apart by them.
func TestGoldenKinds(t *testing.T) {
	counts := make(map[writer.Kind]int)
	for at, one := range []struct {
		kind  writer.Kind
		name  string
		share int
	}{
		{writer.General, "General", 250},
		{writer.Requests, "Requests", 100},
		{writer.Tasks, "Tasks", 200},
		{writer.Lasting, "Lasting", 200},
		{writer.Owners, "Owners", 100},
		{writer.Warnings, "Warnings", 150},
	} {
		require.Equal(t, at, int(one.kind))
		require.Equal(t, one.name, one.kind.String())
		require.Equal(t, one.share, writer.Reserved[one.kind])
		counts[one.kind] = at + 1
	}
	require.Len(t, counts, writer.Kinds)
	_, dropped, found := strings.Cut(string(writer.AppendDropped(counts)), `","level"`)
	require.True(t, found)

	var out bytes.Buffer
	lines := writer.New(&out)
	log := slog.New(lines.Handler(&slog.HandlerOptions{ReplaceAttr: func(_ []string, attr slog.Attr) slog.Attr {
		if attr.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return attr
	}})).With("Host", "h1")
	log.Info("general", "Number", 1)
	writer.Of(log, writer.Requests).Warn("request", "Text", "t1")
	lines.Close()
	transcriber.RequireFile(t, "lines.txt", out.String()+dropped)
}
