package runner

import "github.com/cottonlanding/cottonlanding"

// Fate is what becomes of a run.
type Fate struct {
	// Lasts is its work, with what was done before the checkpoint that it continues from.
	Lasts cottonlanding.Millis
	// Forever runs until it is stopped.
	Forever bool
	Fails   bool
	// Crashes ends the worker with all that it runs once the run has lasted that long.
	Crashes bool
	// Saves is the work after which the run makes another checkpoint; zero makes none.
	Saves cottonlanding.Millis
}

// activeRun is a run that goes on, with the checkpoint and the work that it began from.
type activeRun struct {
	began cottonlanding.Millis
	fate  Fate
	text  cottonlanding.Checkpoint
	from  cottonlanding.Millis
}

// worked is how much work of its task a run and those before it have done.
func (a *activeRun) worked(now cottonlanding.Millis) cottonlanding.Millis {
	work := a.from + now - a.began
	if a.fate.Forever {
		return work
	}
	return min(work, max(a.fate.Lasts, a.from))
}

// ends returns when a run that isn't stopped does.
func (a *activeRun) ends() cottonlanding.Millis {
	return a.began + max(a.fate.Lasts-a.from, 0)
}

func (r *Runner) percent(run *activeRun) int {
	if run.fate.Forever {
		return 100
	}
	return int(100 * run.worked(r.clock.Now()) / max(run.fate.Lasts, 1))
}
