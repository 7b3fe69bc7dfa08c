package scheduler_test

import (
	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/stand/worker"
)

// span is a run in the time of the world.
type span struct {
	entry       worker.Entry
	from, until float64
}

const endless = 1e18

// check is the oracle: no task is in two places at once, attempts only grow.
func (w *world) check(t require.TestingT) {
	byTask := make(map[cottonlanding.TaskID][]span)
	for _, h := range w.hosts {
		require.Zero(t, h.Overfull(), "worker %s was given more than it can carry", h.Info().ID)
		for _, entry := range h.Ledger() {
			s := span{entry: entry, from: h.earliest(entry.From), until: endless}
			if entry.Until >= 0 {
				s.until = h.earliest(entry.Until)
			}
			byTask[entry.Task] = append(byTask[entry.Task], s)
		}
	}
	for task, spans := range byTask {
		for i, a := range spans {
			for _, b := range spans[i+1:] {
				apart := a.until <= b.from+1 || b.until <= a.from+1
				require.True(t, apart, "%s is in two places at once: %+v and %+v", task, a, b)
				require.NotEqual(t, a.entry.Attempt, b.entry.Attempt, "%s ran an attempt twice: %+v and %+v", task, a, b)
			}
		}
	}
}

// checkEnds checks that every accepted job ended exactly once, with results that
// were really produced.
func (w *world) checkEnds(t require.TestingT) {
	finished := make(map[cottonlanding.TaskID]map[cottonlanding.Attempt]bool)
	for _, h := range w.hosts {
		for _, entry := range h.Ledger() {
			if entry.End == string(cottonlanding.Finished) {
				if finished[entry.Task] == nil {
					finished[entry.Task] = make(map[cottonlanding.Attempt]bool)
				}
				finished[entry.Task][entry.Attempt] = true
			}
		}
	}
	for name := range w.accepted {
		status, found := w.owner().cell.Job(name)
		require.True(t, found, "job %s was accepted and is lost", name)
		for _, task := range status.Tasks {
			require.True(t, task.State.Final(), "%s ended with task %+v", name, task)
			if task.State == cottonlanding.TaskDone {
				require.True(t, finished[task.ID][task.Attempt], "%s is done without a run: %+v", name, task)
			}
		}
		if w.cancelled[name] {
			require.Contains(t, []cottonlanding.JobState{cottonlanding.JobCancelled, cottonlanding.JobDone, cottonlanding.JobFailed}, status.Job.State)
		}
	}
}
