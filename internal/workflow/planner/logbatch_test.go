package planner_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
)

// linesWithMessage returns the lines of a JSON log that have a message.
func linesWithMessage(t *rapid.T, log *bytes.Buffer, message string) []map[string]any {
	var out []map[string]any
	decoder := json.NewDecoder(bytes.NewReader(log.Bytes()))
	for decoder.More() {
		var line map[string]any
		require.NoError(t, decoder.Decode(&line))
		if line[slog.MessageKey] == message {
			out = append(out, line)
		}
	}
	return out
}

// TestStoppedRunLogsDelays guards against logs that do not separate how long a stop waited in the owner from how
// long it was in transit.
func TestStoppedRunLogsDelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		var log bytes.Buffer
		w.log = slog.New(slog.NewJSONHandler(&log, nil))
		w.takeOver()
		w.pollAll()
		w.submit("lasting", "Urgent", cottonlanding.Step{Tasks: 1, Lasting: true, Resources: cottonlanding.Resources{CPU: 1000}})
		w.decide(100)
		w.decide(100) // the start goes out once its plan is committed
		require.Equal(t, 1, w.runner.Lasting())
		w.cell.Cancel("lasting", w.now, func(error) {})
		w.now += 300
		for _, order := range w.cell.Orders(w.now) {
			order.SentAt = w.now + 500
			_, err := w.send(order)
			w.now += 700
			w.cell.OrderAnswered(order, 0, err, w.now)
		}
		w.now += 50
		w.pollAll()
		lines := linesWithMessage(t, &log, "stopped run ended")
		require.Len(t, lines, 1)
		require.Equal(t, "lasting.0.0.0", lines[0]["Task"])
		require.Equal(t, "the workflow ended", lines[0]["Reason"])
		require.EqualValues(t, 1050, lines[0]["MarkedBefore"])
		require.EqualValues(t, 250, lines[0]["SentBefore"])
		require.EqualValues(t, 1, lines[0]["Tries"])
	})
}

// TestPlacedTasksAreLoggedTogether guards against a log line for each placed task.
func TestPlacedTasksAreLoggedTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		var log bytes.Buffer
		w.log = slog.New(slog.NewJSONHandler(&log, nil))
		w.takeOver()
		w.pollAll()
		w.submit("bulk", "Bulk", cottonlanding.Step{Tasks: 3, Resources: cottonlanding.Resources{CPU: 1000}})
		w.decide(100)
		lines := linesWithMessage(t, &log, "tasks placed")
		require.Len(t, lines, 1)
		require.Len(t, lines[0]["Tasks"], 3)
		require.Contains(t, lines[0]["Tasks"].([]any)[0], "bulk.0.0.0#1@")
	})
}
