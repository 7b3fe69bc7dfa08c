package planner_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/admitter"
)

// TestExtremeFiguresDoNotAffectOthers guards against figures of a client near the limits of their types, because of which
// sums overflow and an ordinary workflow beside them is rejected or not done.
func TestExtremeFiguresDoNotAffectOthers(t *testing.T) {
	extremes := []int64{math.MinInt64, math.MinInt64 + 1, -1, 0, 1, 1 << 31, 1 << 53, math.MaxInt64/1000 + 1, math.MaxInt64/2 + 1, math.MaxInt64 - 1, math.MaxInt64}
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 3))
		pick := func() int64 { return extremes[random.IntN(len(extremes))] }
		c := newLoadedCell(t, admitter.Reject{})
		c.cell.SetQueues(cottonlanding.Queues{Version: 2, Queues: map[cottonlanding.QueueName]cottonlanding.Queue{
			"Short":   c.queues["Short"],
			"Filling": {Name: "Filling", Service: "S", Attempts: 3, Stretch: math.MaxFloat64, LatencyTarget: math.MaxInt64, Priority: 2},
		}})
		for at := range 20 {
			step := cottonlanding.Step{
				Tasks: 1 + random.IntN(4),
				Resources: cottonlanding.Resources{CPU: cottonlanding.Millicores(pick()), Memory: cottonlanding.Bytes(pick()),
					Accelerators: cottonlanding.Accelerators(pick())},
				Estimate:      cottonlanding.Millis(pick()),
				LatencyTarget: cottonlanding.Millis(pick()),
				MostPerWorker: int(pick()),
				MayBeAway:     int(pick()),
				Gang:          random.IntN(4) == 0,
				Lasting:       random.IntN(4) == 0,
				Fills:         random.IntN(4) == 0,
				Image:         "extreme",
			}
			w := cottonlanding.Workflow{ID: cottonlanding.WorkflowID(fmt.Sprintf("extreme%d", at)), Queue: "Filling", Steps: []cottonlanding.Step{step, step}}
			w.Steps[1].After = []int{0}
			if random.IntN(3) == 0 {
				w.Schedule = cottonlanding.Schedule{First: pick(), Interval: cottonlanding.Millis(pick()), Rounds: int(pick())}
			}
			c.callers[w.ID] = &caller{workflow: w, at: c.now}
			c.cell.Submit(w, c.now, func(error) {})
		}
		c.load(10*cottonlanding.Second, map[cottonlanding.QueueName]float64{"Short": 2})
		c.load(drainTime, nil)
		for _, id := range c.order {
			require.NoError(t, c.callers[id].err, "seed %d, workflow %s", seed, id)
			require.NotZero(t, c.callers[id].doneAt, "seed %d, workflow %s isn't done", seed, id)
		}
	}
}
