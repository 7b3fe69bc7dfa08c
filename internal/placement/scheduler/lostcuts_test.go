package scheduler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// cutSpan is longer than a lease, and as long as an owner that was cut off goes on.
	cutSpan = 15 * cottonlanding.Second
	// cutsPlayed is more lives than a task may lose that crashes its workers.
	cutsPlayed = 8
)

// TestCutsFailNoJob: workflows were failed for workers that couldn't be reached for longer than a lease, while owners
// changed. A job of `serve` isn't, since a worker that answers in the same life has not crashed.
func TestCutsFailNoJob(t *testing.T) {
	for name, meanwhile := range map[string]func(*world){
		"one owner":     func(*world) {},
		"owners change": func(w *world) { w.takeOver(t, false) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 0, []int{0, 0})
			w.run(2000)
			w.accept(t, job("lasts", 1, 8, 600000))
			for range cutsPlayed {
				w.run(2000)
				for _, h := range w.hosts {
					w.owner().cut[h] = true
				}
				w.run(cutSpan)
				meanwhile(w)
				clear(w.owner().cut)
			}
			w.run(2000)
			status, _ := w.owner().cell.Job("lasts")
			require.NotEqual(t, cottonlanding.JobFailed, status.Job.State)
		})
	}
}

// TestWorkerThatEndsByItselfFailsNoJob: a worker that went down and up by itself each eight seconds failed the job
// whose task had run there for seconds each time, as if that had crashed it at its start.
func TestWorkerThatEndsByItselfFailsNoJob(t *testing.T) {
	for name, play := range map[string]func(*world) (cottonlanding.JobState, cottonlanding.Attempt){
		"one owner": func(w *world) (cottonlanding.JobState, cottonlanding.Attempt) { return w.restartsOf("lasts", 6000, 12) },
		"owners change": func(w *world) (cottonlanding.JobState, cottonlanding.Attempt) {
			return w.restartsUnderOwners(t, "lasts", 6000, 12)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 0, []int{0, 0})
			w.run(2000)
			w.accept(t, job("lasts", 1, 8, 600000))
			state, starts := play(w)
			require.NotEqual(t, cottonlanding.JobFailed, state)
			require.Greater(t, starts, cottonlanding.Attempt(mostStarts))
		})
	}
}
