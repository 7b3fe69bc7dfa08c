package scheduler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// mostStarts is how often a task may be started whose workers all end soon after.
const mostStarts = 5

// restartsOf ends the life of the task's worker each time that it has run for a span, up to
// a number of times, and returns the job's state and how often the task was started.
func (w *world) restartsOf(name cottonlanding.JobName, ran cottonlanding.Millis, times int) (cottonlanding.JobState, cottonlanding.Attempt) {
	return w.restartsThen(name, ran, times, func() {})
}

// restartsThen is restartsOf with something more done after each restart.
func (w *world) restartsThen(name cottonlanding.JobName, ran cottonlanding.Millis, times int, then func()) (cottonlanding.JobState, cottonlanding.Attempt) {
	for range times {
		w.run(2000 + ran)
		status, _ := w.owner().cell.Job(name)
		for _, h := range w.hosts {
			if h.Info().ID == status.Tasks[0].Worker {
				h.Restart()
			}
		}
		then()
	}
	w.run(2000)
	status, _ := w.owner().cell.Job(name)
	return status.Job.State, status.Tasks[0].Attempt
}

// A task whose worker's life ends each time soon after its start was started without end:
// only failures that a worker reports counted, and a worker that crashes reports none.
func TestTaskWhoseWorkersCrashIsGivenUp(t *testing.T) {
	w := newWorld(t, 0, []int{0, 0})
	w.run(2000)
	w.accept(t, job("crashes", 1, 8, 60000))
	state, starts := w.restartsOf("crashes", 0, 12)
	require.Equal(t, cottonlanding.JobFailed, state)
	require.LessOrEqual(t, starts, cottonlanding.Attempt(mostStarts))
}

// A task that runs for long each time isn't what ends its workers.
func TestTaskThatOutlivesItsStartIsKept(t *testing.T) {
	w := newWorld(t, 0, []int{0, 0})
	w.run(2000)
	w.accept(t, job("lasts", 1, 8, 600000))
	state, starts := w.restartsOf("lasts", 12000, 12)
	require.NotEqual(t, cottonlanding.JobFailed, state)
	require.Greater(t, starts, cottonlanding.Attempt(mostStarts))
}
