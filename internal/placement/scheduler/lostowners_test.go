package scheduler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// A job was failed whose task no worker had ever begun, and no worker had crashed: each owner was replaced
// between the commit that placed the task and its start. To the next owner the life that it met
// first was another one than it had known, which was none, and the missing run counted as lost with the life.
func TestOwnerThatKnowsNoLifeCountsNone(t *testing.T) {
	w := newWorld(t, 0, []int{0, 0})
	w.run(2000)
	w.accept(t, job("innocent", 1, 8, 60000))
	for range 2 * mostStarts {
		w.owner().cell.Decide(w.now)
		w.commit(w.owner())
		w.takeOver(t, true) // before the start goes out
		for range 10 {
			w.now += 200
			w.visit(w.owner(), func() fate { return delivered })
		}
	}
	w.run(2000)
	status, _ := w.owner().cell.Job("innocent")
	require.NotEqual(t, cottonlanding.JobFailed, status.Job.State)
}

// TestTaskWhoseWorkersCrashIsGivenUpByTheNextOwner is TestTaskWhoseWorkersCrashIsGivenUp with another owner
// after each crash, which has never met the life that ended.
func TestTaskWhoseWorkersCrashIsGivenUpByTheNextOwner(t *testing.T) {
	w := newWorld(t, 0, []int{0, 0})
	w.run(2000)
	w.accept(t, job("crashes", 1, 8, 60000))
	state, starts := w.restartsUnderOwners(t, "crashes", 0, 12)
	require.Equal(t, cottonlanding.JobFailed, state)
	require.LessOrEqual(t, starts, cottonlanding.Attempt(mostStarts))
}

// restartsUnderOwners is restartsOf with another owner after each restart.
func (w *world) restartsUnderOwners(t *testing.T, name cottonlanding.JobName, ran cottonlanding.Millis, times int) (cottonlanding.JobState, cottonlanding.Attempt) {
	return w.restartsThen(name, ran, times, func() { w.takeOver(t, false) })
}

// TestTaskThatOutlivesItsStartIsKeptByTheNextOwner is TestTaskThatOutlivesItsStartIsKept with another owner
// after each restart. That the task had run for long cleared it in memory only, so that each
// owner went on from the count of the one before, and failed the job at the fifth.
func TestTaskThatOutlivesItsStartIsKeptByTheNextOwner(t *testing.T) {
	w := newWorld(t, 0, []int{0, 0})
	w.run(2000)
	w.accept(t, job("lasts", 1, 8, 600000))
	state, starts := w.restartsUnderOwners(t, "lasts", 12000, 12)
	require.NotEqual(t, cottonlanding.JobFailed, state)
	require.Greater(t, starts, cottonlanding.Attempt(mostStarts))
}
