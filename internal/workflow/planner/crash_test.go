package planner_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// returnsAfter is how long a crashed worker takes to be back at its address.
	returnsAfter = 3 * cottonlanding.Second
	// entryStays is how long the entry of a crashed life is still listed.
	entryStays = 4500 * cottonlanding.Millis(1)
	// promptCrash is how soon a culprit ends its worker on the recorded day.
	promptCrash = 10 * cottonlanding.Millis(1)
)

// crashes plays what becomes of workers that crash: their entries stay for a while, and new
// lives come at their addresses.
type crashes struct {
	*world
	// gone holds when each crashed life was seen to have crashed, back those of them that
	// have a successor.
	gone map[cottonlanding.WorkerID]cottonlanding.Millis
	back map[cottonlanding.WorkerID]bool
}

func newCrashes(w *world, culprits ...cottonlanding.TaskRef) *crashes {
	w.faultyTasks, w.crashAfter = make(map[cottonlanding.TaskRef]bool), promptCrash
	for _, culprit := range culprits {
		w.faultyTasks[culprit] = true
	}
	return &crashes{world: w, gone: make(map[cottonlanding.WorkerID]cottonlanding.Millis), back: make(map[cottonlanding.WorkerID]bool)}
}

// relist brings crashed workers back and drops the entries of their earlier lives.
func (c *crashes) relist() {
	for _, id := range c.runner.TakeCrashed() {
		c.gone[id] = c.now
	}
	changed := false
	for _, info := range slices.Clone(c.workers) {
		since, crashed := c.gone[info.ID]
		if !crashed {
			continue
		}
		if !c.back[info.ID] && c.now-since >= returnsAfter {
			c.back[info.ID], changed = true, true
			c.addLife(info)
		}
		if c.now-since >= entryStays {
			changed = true
			c.workers = slices.DeleteFunc(slices.Clone(c.workers), func(other cottonlanding.WorkerInfo) bool { return other.ID == info.ID })
		}
	}
	if changed {
		c.cell.SetWorkers(slices.Clone(c.workers), c.now)
	}
}

// play lets turns pass for a span.
func (c *crashes) play(span cottonlanding.Millis) {
	for until := c.now + span; c.now < until; {
		c.turn(turnSpan)
		c.relist()
	}
}

// first names the first task of a workflow's step.
func first(id cottonlanding.WorkflowID) cottonlanding.TaskRef {
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
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
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
			c := newCrashes(newWorld(t), first("culprit"))
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
func TestLifeThatEndedIsNotAskedAgain(t *testing.T) {
	c := newCrashes(newWorld(t), first("culprit"))
	c.play(cottonlanding.Second)
	c.submit("culprit", "Urgent", cottonlanding.Step{Tasks: 1, Resources: cottonlanding.Resources{CPU: 2000}, Estimate: 500})
	c.play(returnsAfter + cottonlanding.Second)
	require.NotEmpty(t, c.back, "no worker is back")
	for id := range c.back {
		_, found := c.cell.NextLook(id, c.now)
		require.False(t, found, "worker %s, whose life has ended, would be asked", id)
	}
	for range 3 {
		c.cell.SetWorkers(slices.Clone(c.workers), c.now)
		for id := range c.back {
			_, found := c.cell.NextLook(id, c.now)
			require.False(t, found, "worker %s, whose life has ended, would be asked again", id)
		}
	}
}

// TestRefusedStartIsNoCause: in a soak of real processes an accepted workflow was given up. Half of
// the workers had crashed while its owner stood still; the first that it told each of them
// was a start, to which another life answered. The life that was meant was over before the
// start went out, but a run that was sent just before its worker was lost is a suspect.
func TestRefusedStartIsNoCause(t *testing.T) {
	requireNoCause(t, func(*world, planner.Order) {})
}

// requireNoCause has all starts of an innocent task but the last be refused by other lives, after
// something has come between each start and its answer.
func requireNoCause(t *testing.T, between func(*world, planner.Order)) {
	w := bornWorld(t)
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
