package planner_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// rejectionKeys are the log keys of the counts of rejected workers.
var rejectionKeys = []string{"Unusable", "Barred", "Full", "KeptForOther", "KeptApart", "Due", "WouldDisturb", "AwaitsSample", "Fits"}

// captureLog has a new owner, and those after it, log into a buffer.
func (w *world) captureLog() *bytes.Buffer {
	log := &bytes.Buffer{}
	w.log = slog.New(slog.NewJSONHandler(log, nil))
	w.takeOver()
	return log
}

// logLines returns the lines of a JSON log that have one of the messages.
func logLines(t require.TestingT, log *bytes.Buffer, messages ...string) []map[string]any {
	var out []map[string]any
	decoder := json.NewDecoder(bytes.NewReader(log.Bytes()))
	for decoder.More() {
		var line map[string]any
		require.NoError(t, decoder.Decode(&line))
		if slices.Contains(messages, line[slog.MessageKey].(string)) {
			out = append(out, line)
		}
	}
	return out
}

// waitLines returns the lines that say why a task waits.
func waitLines(t require.TestingT, log *bytes.Buffer, task string) []map[string]any {
	return slices.DeleteFunc(logLines(t, log, "step waits"), func(line map[string]any) bool { return line["Task"] != task })
}

// rejectionsIn returns the nonzero counts of a line.
func rejectionsIn(line map[string]any) map[string]int {
	out := make(map[string]int)
	for _, key := range rejectionKeys {
		if count, _ := line[key].(float64); count > 0 {
			out[key] = int(count)
		}
	}
	return out
}

// refusingPlacement is a placement policy that picks no worker.
type refusingPlacement struct{}

func (refusingPlacement) Place(cottonlanding.TaskView, []cottonlanding.WorkerView) int {
	return cottonlanding.NoWorker
}

// TestWaitLogCountsRejections guards against a wait log with wrong reasons: workers held for another task, or
// passed over by the policy, were counted as workers that the task would disturb.
func TestWaitLogCountsRejections(t *testing.T) {
	filling := cottonlanding.Step{Tasks: 2, Fills: true, Estimate: 500, Resources: cottonlanding.Resources{CPU: 4000, Memory: cottonlanding.Gigabyte}}
	barred := lasting(1, 0, 1000)
	barred.Requires = "Missing"
	for name, example := range map[string]struct {
		step  cottonlanding.Step
		play  func(*world)
		gates map[string]int
	}{
		"leaving":             {lasting(1, 0, 1000), leaveAllButOne, map[string]int{"Unusable": 3, "Full": 1}},
		"label":               {barred, func(*world) {}, map[string]int{"Barred": 4}},
		"tasks per worker":    {lasting(5, 1, 1000), func(*world) {}, map[string]int{"Barred": 4}},
		"full":                {lasting(1, 0, 9000), func(*world) {}, map[string]int{"Full": 4}},
		"held for another":    {short(3000), (*world).holdWorkerForLarge, map[string]int{"Full": 3, "KeptForOther": 1}},
		"reserved for others": {lasting(1, 0, 3000), loseOne, map[string]int{"Unusable": 1, "Full": 3, "Due": 1}},
		"filling":             {filling, func(w *world) { fillAll(w, 7000) }, map[string]int{"WouldDisturb": 4}},
		"policy": {lasting(1, 0, 1000), func(w *world) {
			w.policy.LastingPlacement = refusingPlacement{}
			w.takeOver()
			w.play(cottonlanding.Second)
		}, map[string]int{"Fits": 4}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSpreadWorld(t)
			log := w.captureLog()
			w.play(cottonlanding.Second)
			example.play(w)
			w.submit("later", "Urgent", example.step)
			w.play(1400)
			last := cottonlanding.TaskRef{Workflow: "later", Index: example.step.Tasks - 1}
			lines := waitLines(t, log, last.String())
			if example.step.Fills {
				lines = waitLines(t, log, firstTask("later").String()) // no task has a worker, and only the first is logged
			}
			require.NotEmpty(t, lines)
			require.Equal(t, example.gates, rejectionsIn(lines[0]))
			sum := 0
			for _, count := range rejectionsIn(lines[0]) {
				sum += count
			}
			require.EqualValues(t, lines[0]["Workers"], sum, "each worker is counted once")
		})
	}
}

// leaveAllButOne makes three of the workers leave and fills the last one.
func leaveAllButOne(w *world) {
	for number := range 3 {
		w.leave(number)
	}
	w.submit("lasting", "Urgent", lasting(1, 0, 8000))
	w.play(cottonlanding.Second)
}

// loseOne crashes the worker of a lasting task and adds another worker that has room for it.
func loseOne(w *world) {
	w.submit("lasting", "Urgent", lasting(4, 1, 6000))
	w.play(cottonlanding.Second)
	w.crash(0)
	w.join()
}

// fillAll places a lasting task of the given size on each worker.
func fillAll(w *world, cpu cottonlanding.Millicores) {
	w.submit("lasting", "Urgent", lasting(4, 1, cpu))
	w.play(cottonlanding.Second)
}
