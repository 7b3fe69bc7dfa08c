package planner_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// restartDelay is how long a crashed worker takes to be back at its address.
	restartDelay = 3 * cottonlanding.Second
	// entryRetention is how long the entry of a crashed life stays listed.
	entryRetention = 4500 * cottonlanding.Millis(1)
	// crashDelay is how soon a faulty task crashes its worker.
	crashDelay = 10 * cottonlanding.Millis(1)
)

// crashWorld plays workers that crash: their list entries stay for a while, and new lives appear at their addresses.
type crashWorld struct {
	*world
	// crashedAt holds when each crash was seen, restarted the crashed lives at whose address another has started.
	crashedAt map[cottonlanding.WorkerID]cottonlanding.Millis
	restarted map[cottonlanding.WorkerID]bool
}

func newCrashWorld(w *world, faultyTasks ...cottonlanding.TaskRef) *crashWorld {
	w.faultyTasks, w.crashAfter = make(map[cottonlanding.TaskRef]bool), crashDelay
	for _, task := range faultyTasks {
		w.faultyTasks[task] = true
	}
	return &crashWorld{world: w, crashedAt: make(map[cottonlanding.WorkerID]cottonlanding.Millis), restarted: make(map[cottonlanding.WorkerID]bool)}
}

// relist restarts crashed workers and removes the entries of their earlier lives.
func (c *crashWorld) relist() {
	for _, id := range c.runner.TakeCrashed() {
		c.crashedAt[id] = c.now
	}
	changed := false
	for _, info := range slices.Clone(c.workers) {
		since, crashed := c.crashedAt[info.ID]
		if !crashed {
			continue
		}
		if !c.restarted[info.ID] && c.now-since >= restartDelay {
			c.restarted[info.ID], changed = true, true
			c.addLife(info)
		}
		if c.now-since >= entryRetention {
			changed = true
			c.workers = slices.DeleteFunc(slices.Clone(c.workers), func(other cottonlanding.WorkerInfo) bool { return other.ID == info.ID })
		}
	}
	if changed {
		c.cell.SetWorkers(slices.Clone(c.workers), c.now)
	}
}

// play lets turns pass for a span.
func (c *crashWorld) play(span cottonlanding.Millis) {
	for until := c.now + span; c.now < until; {
		c.turn(turnSpan)
		c.relist()
	}
}

// firstTask returns the first task of a workflow's only step.
func firstTask(id cottonlanding.WorkflowID) cottonlanding.TaskRef {
	return cottonlanding.TaskRef{Workflow: id}
}

// TestFaultyTaskIsGivenUp guards against unbounded starts of a task that crashes each worker that starts it. The
// worker crashes within 10 ms and loses its list of ends, so that no failure is listed; three seconds later another
// life answers at its address and the run is given up. Each such loss must count as an attempt, or the task keeps
// crashing workers without end.
func TestFaultyTaskIsGivenUp(t *testing.T) {
	short := cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}, Estimate: 500}
	lasting, filling, gang, optional, saved := short, short, short, short, short
	lasting.Lasting = true
	filling.Fills, filling.Image = true, "fills"
	gang.Gang, gang.Tasks = true, 3
	optional.Lasting, optional.MayBeAway = true, 1
	saved.Checkpoints = true
	for name, step := range map[string]cottonlanding.Step{
		"short": short, "lasting": lasting, "filling": filling, "gang": gang, "optional": optional, "checkpoints": saved,
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashWorld(newWorld(t), firstTask("culprit"))
			c.play(cottonlanding.Second)
			c.submit("culprit", "Urgent", step)
			c.submit("innocent", "Urgent", short)
			c.play(cottonlanding.Minute)
			require.Empty(t, c.runner.Violations())
			state, _ := c.cell.State("culprit")
			require.Equal(t, cottonlanding.WorkflowFailed, state)
			state, _ = c.cell.State("innocent")
			require.Equal(t, cottonlanding.WorkflowSucceeded, state)
		})
	}
}

// TestEndedLifeIsPolledOnce guards against polling ended lives again and again, which fills the log and costs calls:
// the answer of another life has the owner forget the life, and its list entry, which stays for seconds, must not make
// it known again.
func TestEndedLifeIsPolledOnce(t *testing.T) {
	c := newCrashWorld(newWorld(t), firstTask("culprit"))
	c.play(cottonlanding.Second)
	c.submit("culprit", "Urgent", cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 2000}, Estimate: 500})
	c.play(restartDelay + cottonlanding.Second)
	require.NotEmpty(t, c.restarted, "no worker was restarted")
	for id := range c.restarted {
		_, found := c.cell.NextPoll(id, c.now)
		require.False(t, found, "worker %s would be polled after its life ended", id)
	}
	for range 3 {
		c.cell.SetWorkers(slices.Clone(c.workers), c.now)
		for id := range c.restarted {
			_, found := c.cell.NextPoll(id, c.now)
			require.False(t, found, "worker %s would be polled again after its life ended", id)
		}
	}
}

// TestRefusedStartIsInnocent guards against giving up an innocent workflow: workers crash while their owner stands
// still, and the first that it sends to each of them is a start, which another life refuses. The intended life was
// over before the start was sent, but a run sent just before its worker is lost is a suspect.
func TestRefusedStartIsInnocent(t *testing.T) {
	requireInnocent(t, func(*world, planner.Order) {})
}

// requireInnocent has all starts of an innocent task but the last refused by other lives, after between has run
// between each start and its answer.
func requireInnocent(t *testing.T, between func(*world, planner.Order)) {
	w := newWorldWithBirths(t)
	w.submit("innocent", "Urgent", quick(1))
	for range len(w.workers) - 1 {
		w.commit()
		starts := w.cell.Orders(w.now)
		require.Len(t, starts, 1)
		starts[0].SentAt = w.now
		w.now++
		between(w, starts[0])
		w.cell.OrderAnswered(starts[0], 0, cottonlanding.ErrOtherLife, w.now)
		require.Zero(t, w.cell.Counts().FailedByCrashes)
	}
	w.play(3 * cottonlanding.Second)
	w.requireState("innocent", cottonlanding.WorkflowSucceeded)
	require.Empty(t, w.runner.Violations())
}
