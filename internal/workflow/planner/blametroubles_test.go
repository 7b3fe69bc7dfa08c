package planner_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// flapShare is the part of the workers, as a divisor, that go down and up by themselves, each flapSpan
	// to twice that.
	flapShare = 6
	flapSpan  = 1500 * cottonlanding.Millis(1)
	// waveOdds is one in how many troubles crashes two fifths of the workers at once, cutOdds cuts off four
	// fifths for longer than a lease while an owner ends.
	waveOdds, cutOdds = 6, 3
	// fewestEnds is how many workers must have ended under a task for its workflow to be given up. Source:
	// the rule on tasks that crash their workers.
	fewestEnds = 2
)

// troubles plays a history whose workers flap, crash in waves and are cut off beside changes of owner.
type troubles struct {
	*rebirths
	flapAt map[cottonlanding.WorkerID]cottonlanding.Millis
}

func newTroubles(t *testing.T, seed int64, culprits bool) *troubles {
	r := &rebirths{
		history:    newHistory(t, seed, "fair", troubleOdds),
		backAt:     make(map[cottonlanding.WorkerID]cottonlanding.Millis),
		staysUntil: make(map[cottonlanding.WorkerID]cottonlanding.Millis),
	}
	r.sound = !culprits
	for at := range r.workers {
		r.rebirth(at)
	}
	r.takeOver()
	out := &troubles{rebirths: r, flapAt: make(map[cottonlanding.WorkerID]cottonlanding.Millis)}
	for at, info := range r.workers {
		if at%flapShare == 0 {
			out.flapAt[info.ID] = out.nextFlap()
		}
	}
	r.revive = func() {
		out.flap()
		out.trouble()
		r.comeBack()
	}
	return out
}

func (h *troubles) nextFlap() cottonlanding.Millis {
	return h.now + flapSpan + cottonlanding.Millis(h.random.Intn(int(flapSpan)))
}

// flap ends the lives whose time has come.
func (h *troubles) flap() {
	for _, info := range h.workers {
		if at, flaps := h.flapAt[info.ID]; flaps && h.now >= at {
			h.flapAt[info.ID] = h.nextFlap()
			h.crash(info.ID)
		}
	}
}

func (h *troubles) crash(id cottonlanding.WorkerID) {
	if h.gone[id] == 0 {
		h.runner.Crash(id)
		h.gone[id] = h.now
	}
}

// trouble crashes or cuts off many workers at once, now and then.
func (h *troubles) trouble() {
	if h.random.Intn(troubleOdds) > 0 {
		return
	}
	if h.random.Intn(waveOdds) == 0 {
		for _, info := range h.workers {
			if h.random.Intn(5) < 2 {
				h.crash(info.ID)
			}
		}
	}
	if h.random.Intn(cutOdds) == 0 {
		for _, info := range h.workers {
			if h.random.Intn(5) < 4 {
				h.darken(info.ID, cutFor)
			}
		}
		h.takeOver()
	}
}

// requireCause checks that no workflow was given up under which fewer workers have ended than the rule asks.
func (h *history) requireCause(t *testing.T) {
	for _, id := range h.submitted {
		if state, _ := h.cell.State(id); state != cottonlanding.WorkflowFailed {
			continue
		}
		most := 0
		for index := range mostTasks {
			most = max(most, h.runner.EndsUnder(cottonlanding.TaskRef{Workflow: id, Index: index}))
		}
		require.GreaterOrEqual(t, most, fewestEnds, "workflow %s is given up", id)
	}
}

// TestNoWorkflowIsGivenUpWithoutCause plays innocent work of all kinds on workers that flap, crash in waves, are
// cut off, leave and come back under their names while owners are killed, cut off and stand still. A
// workflow that was given up there was the incident.
//
//	go test ./internal/workflow/planner -run TestNoWorkflowIsGivenUp -args -blame.histories 1000
func TestNoWorkflowIsGivenUpWithoutCause(t *testing.T) {
	t.Parallel()
	submitted := 0
	for at := range *blameHistories {
		seed := *blameFirst + int64(at)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			h := newTroubles(t, seed, false)
			h.run()
			require.Empty(t, h.runner.Violations())
			require.Empty(t, h.givenUp(), "innocent workflows are given up")
			h.requireFinal(t)
			submitted += len(h.submitted)
		})
	}
	t.Logf("%d workflows, none of them a culprit", submitted)
}

// TestCulpritsAreBoundedAmongTroubles is the other side: among the same troubles, no culprit is started three
// times more after three crashes, and no workflow is given up without two workers that ended under it.
//
//	go test ./internal/workflow/planner -run TestCulpritsAreBounded -args -blame.histories 1000
func TestCulpritsAreBoundedAmongTroubles(t *testing.T) {
	t.Parallel()
	crashed, culprits, atTwo, innocent, submitted := 0, 0, 0, 0, 0
	for at := range *blameHistories {
		seed := *blameFirst + int64(at)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			h := newTroubles(t, seed, true)
			h.run()
			require.Empty(t, h.runner.Violations())
			h.requireFinal(t)
			h.requireCause(t)
			a, b, c := h.cost()
			crashed, culprits, atTwo = crashed+a, culprits+b, atTwo+c
			innocent, submitted = innocent+len(h.givenUp()), submitted+len(h.submitted)
		})
	}
	t.Logf("%d culprits crashed %.2f workers each, %d of them two at most; %d of %d workflows were given up without a culprit",
		culprits, float64(crashed)/float64(max(1, culprits)), atTwo, innocent, submitted)
}
