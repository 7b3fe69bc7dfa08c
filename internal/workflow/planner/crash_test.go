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
	// entryRetention is how long the entry of a crashed life is still listed.
	entryRetention = 4500 * cottonlanding.Millis(1)
	// crashDelay is how soon a culprit ends its worker on the recorded day.
	crashDelay = 10 * cottonlanding.Millis(1)
)

// crashWorld plays what becomes of workers that crash: their entries stay for a while, and new
// lives come at their addresses.
type crashWorld struct {
	*world
	// crashedAt holds when each crashed life was seen to have crashed, back those of them that
	// have a successor.
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

// relist brings crashed workers back and drops the entries of their earlier lives.
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

// firstTask names the firstTask task of a workflow's step.
func firstTask(id cottonlanding.WorkflowID) cottonlanding.TaskRef {
	return cottonlanding.TaskRef{Workflow: id}
}

// On a day with tasks that crash every worker that starts them, two such tasks were started
// 37 and 55 times by one owner, each some three seconds after the last, and half of the
// workers were down at any time. It came about in this way: the worker crashes within 10 ms
// and takes its list of ends along; three seconds later another life answers at its address,
// the run is given up, and the task waits again as if it had never run. The cause is that
// only ends which a worker lists as failed count as attempts: what ends the one who would
// report it is counted by nobody. This test proves it, with one owner and no fault but the
// task: its starts have no bound, whatever the kind of work.
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

// On the same day the owner asked 8 lives that had crashed 300 times in two seconds: each
// answer of another life made it forget the life, and the entry, which stays for seconds,
// made it known again. That fills the log and costs calls, and proves a second cause: that a
// life has ended is forgotten sooner than its entry.
func TestEndedLifeIsPolledOnce(t *testing.T) {
	c := newCrashWorld(newWorld(t), firstTask("culprit"))
	c.play(cottonlanding.Second)
	c.submit("culprit", "Urgent", cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 2000}, Estimate: 500})
	c.play(restartDelay + cottonlanding.Second)
	require.NotEmpty(t, c.restarted, "no worker is back")
	for id := range c.restarted {
		_, found := c.cell.NextPoll(id, c.now)
		require.False(t, found, "worker %s, whose life has ended, would be asked", id)
	}
	for range 3 {
		c.cell.SetWorkers(slices.Clone(c.workers), c.now)
		for id := range c.restarted {
			_, found := c.cell.NextPoll(id, c.now)
			require.False(t, found, "worker %s, whose life has ended, would be asked again", id)
		}
	}
}

// TestRefusedStartIsInnocent: in a soak of real processes an accepted workflow was given up. Half of
// the workers had crashed while its owner stood still; the first that it told each of them
// was a start, to which another life answered. The life that was meant was over before the
// start went out, but a run that was sent just before its worker was lost is a suspect.
func TestRefusedStartIsInnocent(t *testing.T) {
	requireInnocent(t, func(*world, planner.Order) {})
}

// requireInnocent has all starts of an innocent task but the last be refused by other lives, after
// something has come between each start and its answer.
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
