package planner_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// flappingDivisor is the fraction, as a divisor, of the workers that restart on their own, each after
	// minFlapInterval to twice that.
	flappingDivisor = 6
	minFlapInterval = 1500 * cottonlanding.Millis(1)
	// crashWaveOdds is one in how many faults crashes two fifths of the workers at once, partitionOdds one in how
	// many cuts off four fifths for longer than a lease while the owner changes.
	crashWaveOdds, partitionOdds = 6, 3
	// minEnds is how many workers must have ended under a task before its workflow may be given up.
	minEnds = 2
)

// massFaultHistory plays a history whose workers flap, crash in waves and are cut off while owners change.
type massFaultHistory struct {
	*restartHistory
	flapAt map[cottonlanding.WorkerID]cottonlanding.Millis
}

func newMassFaultHistory(t *testing.T, seed int64, withFaultyTasks bool) *massFaultHistory {
	r := &restartHistory{
		history:      newHistory(t, seed, "fair", faultOdds),
		restartAt:    make(map[cottonlanding.WorkerID]cottonlanding.Millis),
		leavingUntil: make(map[cottonlanding.WorkerID]cottonlanding.Millis),
	}
	r.faultless = !withFaultyTasks
	for at := range r.workers {
		r.restartWorker(at)
	}
	r.takeOver()
	out := &massFaultHistory{restartHistory: r, flapAt: make(map[cottonlanding.WorkerID]cottonlanding.Millis)}
	for at, info := range r.workers {
		if at%flappingDivisor == 0 {
			out.flapAt[info.ID] = out.nextFlap()
		}
	}
	r.restartWorkers = func() {
		out.flap()
		out.injectMassFault()
		r.restartCrashed()
	}
	return out
}

func (h *massFaultHistory) nextFlap() cottonlanding.Millis {
	return h.now + minFlapInterval + cottonlanding.Millis(h.random.Intn(int(minFlapInterval)))
}

// flap ends the lives whose time has come.
func (h *massFaultHistory) flap() {
	for _, info := range h.workers {
		if at, flaps := h.flapAt[info.ID]; flaps && h.now >= at {
			h.flapAt[info.ID] = h.nextFlap()
			h.crash(info.ID)
		}
	}
}

func (h *massFaultHistory) crash(id cottonlanding.WorkerID) {
	if h.crashedAt[id] == 0 {
		h.runner.Crash(id)
		h.crashedAt[id] = h.now
	}
}

// injectMassFault occasionally crashes or cuts off many workers at once.
func (h *massFaultHistory) injectMassFault() {
	if h.random.Intn(faultOdds) > 0 {
		return
	}
	if h.random.Intn(crashWaveOdds) == 0 {
		for _, info := range h.workers {
			if h.random.Intn(5) < 2 {
				h.crash(info.ID)
			}
		}
	}
	if h.random.Intn(partitionOdds) == 0 {
		for _, info := range h.workers {
			if h.random.Intn(5) < 4 {
				h.cutOff(info.ID, partitionSpan)
			}
		}
		h.takeOver()
	}
}

// requireMinEnds checks that each workflow that was given up has a task under which at least minEnds workers ended.
func (h *history) requireMinEnds(t *testing.T) {
	for _, id := range h.submitted {
		if state, _ := h.cell.State(id); state != cottonlanding.WorkflowFailed {
			continue
		}
		most := 0
		for index := range maxTasks {
			most = max(most, h.runner.EndsUnder(cottonlanding.TaskRef{Workflow: id, Index: index}))
		}
		require.GreaterOrEqual(t, most, minEnds, "workflow %s was given up without enough ended workers", id)
	}
}

// TestInnocentWorkflowsSurviveFaults guards against giving up workflows without a cause. It plays innocent work of
// all kinds on workers that flap, crash in waves, are cut off, leave and come back under their ids while owners are
// killed, cut off and stand still.
//
//	go test ./internal/workflow/planner -run TestInnocentWorkflowsSurviveFaults -args -blame.histories 1000
func TestInnocentWorkflowsSurviveFaults(t *testing.T) {
	t.Parallel()
	submitted := 0
	for at := range *blameHistories {
		seed := *blameFirst + int64(at)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			h := newMassFaultHistory(t, seed, false)
			h.run()
			require.Empty(t, h.runner.Violations())
			require.Empty(t, h.wronglyGivenUp(), "innocent workflows are given up")
			h.requireFinal(t)
			submitted += len(h.submitted)
		})
	}
	t.Logf("%d workflows without a faulty task", submitted)
}

// TestFaultyTasksAreBounded plays the faults of TestInnocentWorkflowsSurviveFaults with faulty tasks. None may be
// started three times more after three crashes, and no workflow may be given up without two workers that ended under
// it.
//
//	go test ./internal/workflow/planner -run TestFaultyTasksAreBounded -args -blame.histories 1000
func TestFaultyTasksAreBounded(t *testing.T) {
	t.Parallel()
	crashed, faultyTasks, atTwo, innocent, submitted := 0, 0, 0, 0, 0
	for at := range *blameHistories {
		seed := *blameFirst + int64(at)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			h := newMassFaultHistory(t, seed, true)
			h.run()
			require.Empty(t, h.runner.Violations())
			h.requireFinal(t)
			h.requireMinEnds(t)
			a, b, c := h.cost()
			crashed, faultyTasks, atTwo = crashed+a, faultyTasks+b, atTwo+c
			innocent, submitted = innocent+len(h.wronglyGivenUp()), submitted+len(h.submitted)
		})
	}
	t.Logf("%d faulty tasks crashed %.2f workers each, %d of them at most two; %d of %d workflows were given up without one",
		faultyTasks, float64(crashed)/float64(max(1, faultyTasks)), atTwo, innocent, submitted)
}
